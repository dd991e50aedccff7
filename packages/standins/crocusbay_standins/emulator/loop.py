"""Event loop on a virtual clock that advances to the next timer when idle."""

import asyncio
import selectors
from collections.abc import Callable
from contextvars import Context, ContextVar, copy_context

from crocusbay_standins.emulator.network import Network
from crocusbay_standins.emulator.node import Node

# Node on whose behalf the current callback runs; None outside all nodes.
current_node: ContextVar[Node | None] = ContextVar("current_node", default=None)


class DeadlockError(Exception):
    """Signal that the loop has no ready callback and no timer."""


class _VirtualClockSelector(selectors.SelectSelector):
    """Advance the virtual clock by the timeout instead of waiting for I/O."""

    def __init__(self, advance: Callable[[float], None]) -> None:
        super().__init__()
        self._advance = advance

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise DeadlockError("no callback or timer is scheduled")
        if timeout > 0:
            self._advance(timeout)
        return []


class _NodeCallback:
    """Run a callback of a node; skip it once killed, defer it while paused."""

    __slots__ = ("node", "callback", "context", "handle")

    def __init__(self, node: Node, callback: Callable, context: Context) -> None:
        self.node = node
        self.callback = callback
        self.context = context
        self.handle: asyncio.Handle | None = None

    def __call__(self, *args) -> None:
        if self.node.is_killed or self.handle.cancelled():
            return
        if self.node.is_paused:
            self.node.deferred_callbacks.append((self, args))
        else:
            self.callback(*args)


class VirtualClockLoop(asyncio.BaseEventLoop):
    """Run all nodes in one thread on a virtual clock and an emulated network."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self._now = 0.0
        self._selector = _VirtualClockSelector(self._advance)
        self.unhandled_errors: list[str] = []
        # Time from which a datagram endpoint receives until its creator goes on.
        self.bind_delay_seconds = 0.0
        self.network = Network(self, seed, current_node.get)
        self.set_exception_handler(self._record_error)

    def time(self) -> float:
        """Return the virtual time (seconds)."""
        return self._now

    def call_soon(
        self, callback: Callable, *args, context: Context | None = None
    ) -> asyncio.Handle:
        """Schedule a callback on behalf of the node in its context."""
        context = copy_context() if context is None else context
        node_callback = self._wrap_callback(callback, context)
        handle = super().call_soon(node_callback, *args, context=context)
        if isinstance(node_callback, _NodeCallback):
            node_callback.handle = handle
        return handle

    def call_at(
        self, when: float, callback: Callable, *args, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback at virtual time `when` (seconds), for its node."""
        context = copy_context() if context is None else context
        node_callback = self._wrap_callback(callback, context)
        handle = super().call_at(when, node_callback, *args, context=context)
        if isinstance(node_callback, _NodeCallback):
            node_callback.handle = handle
        return handle

    def resume(self, node: Node) -> None:
        """Resume a paused node and schedule its deferred callbacks."""
        node.is_paused = False
        deferred, node.deferred_callbacks = node.deferred_callbacks, []
        for node_callback, args in deferred:
            super().call_soon(node_callback, *args, context=node_callback.context)

    async def create_server(self, protocol_factory, host=None, port=None, **options):
        """Listen on the emulated network."""
        return self.network.listen(protocol_factory, host, port)

    async def create_connection(
        self, protocol_factory, host=None, port=None, **options
    ):
        """Connect on the emulated network."""
        return await self.network.connect(protocol_factory, host, port)

    async def create_datagram_endpoint(
        self, protocol_factory, local_addr=None, **options
    ):
        """Bind a datagram endpoint on the emulated network."""
        endpoint = self.network.bind(protocol_factory, *local_addr)
        await asyncio.sleep(self.bind_delay_seconds)
        return endpoint

    def record_unexpected_error(self, task: str, error: Exception) -> None:
        """Record an error that a host has caught."""
        self.unhandled_errors.append(f"{task}: {error!r}")

    def _wrap_callback(self, callback: Callable, context: Context) -> Callable:
        node = context.get(current_node)
        return callback if node is None else _NodeCallback(node, callback, context)

    def _advance(self, seconds: float) -> None:
        self._now += seconds

    def _process_events(self, events: list) -> None:
        """Ignore I/O events: there are none (required by the base class)."""

    def _record_error(self, loop: asyncio.AbstractEventLoop, context: dict) -> None:
        # Other messages concern tasks and futures that a killed node left pending.
        if context["message"].startswith(("Exception in", "Task exception")):
            error = context.get("exception")
            self.unhandled_errors.append(f"{context['message']}: {error!r}")
