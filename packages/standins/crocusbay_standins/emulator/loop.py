"""Event loop on a virtual clock: when nothing is left to run, time jumps ahead."""

import asyncio
import selectors
from collections.abc import Callable
from contextvars import Context, ContextVar, copy_context

from crocusbay_standins.emulator.network import Network
from crocusbay_standins.emulator.node import Node

# The node whose code runs; unset for what stands outside all of them.
current_node: ContextVar[Node | None] = ContextVar("current_node", default=None)


class DeadlockError(Exception):
    """Report that nothing is left that could happen."""


class _JumpingSelector(selectors.SelectSelector):
    """Let time jump where a selector would wait."""

    def __init__(self, advance: Callable[[float], None]) -> None:
        super().__init__()
        self._advance = advance

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise DeadlockError("nothing is left that could happen")
        if timeout > 0:
            self._advance(timeout)
        return []


class _NodeCall:
    """Run a callback of a node unless it was killed; while it is paused, later."""

    __slots__ = ("node", "callback", "context", "handle")

    def __init__(self, node: Node, callback: Callable, context: Context) -> None:
        self.node = node
        self.callback = callback
        self.context = context
        self.handle: asyncio.Handle | None = None

    def __call__(self, *args) -> None:
        if self.node.is_dead or self.handle.cancelled():
            return
        if self.node.is_paused:
            self.node.held.append((self, args))
        else:
            self.callback(*args)


class VirtualLoop(asyncio.BaseEventLoop):
    """Run everything in one thread on a virtual clock and an emulated network."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self._now = 0.0
        self._selector = _JumpingSelector(self._advance)
        self.errors: list[str] = []
        self.network = Network(self, seed, current_node.get)
        self.set_exception_handler(self._note_error)

    def time(self) -> float:
        """Return the virtual time (seconds)."""
        return self._now

    def call_soon(
        self, callback: Callable, *args, context: Context | None = None
    ) -> asyncio.Handle:
        """Run a callback next, as code of the node whose context it has."""
        context = copy_context() if context is None else context
        call = self._node_call(callback, context)
        handle = super().call_soon(call, *args, context=context)
        if isinstance(call, _NodeCall):
            call.handle = handle
        return handle

    def call_at(
        self, when: float, callback: Callable, *args, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Run a callback at a moment, as code of the node whose context it has."""
        context = copy_context() if context is None else context
        call = self._node_call(callback, context)
        handle = super().call_at(when, call, *args, context=context)
        if isinstance(call, _NodeCall):
            call.handle = handle
        return handle

    def resume(self, node: Node) -> None:
        """Let a paused node go on with what it missed."""
        node.is_paused = False
        held, node.held = node.held, []
        for call, args in held:
            super().call_soon(call, *args, context=call.context)

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
        return self.network.bind(protocol_factory, *local_addr)

    def _node_call(self, callback: Callable, context: Context) -> Callable:
        node = context.get(current_node)
        return callback if node is None else _NodeCall(node, callback, context)

    def _advance(self, seconds: float) -> None:
        self._now += seconds

    def _process_events(self, events: list) -> None:
        """Do nothing: no event comes from outside (called by the base class)."""

    def _note_error(self, loop: asyncio.AbstractEventLoop, context: dict) -> None:
        # Tasks and futures of a killed node are left as they were.
        if context["message"].startswith(("Exception in", "Task exception")):
            error = context.get("exception")
            self.errors.append(f"{context['message']}: {error!r}")
