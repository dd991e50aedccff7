"""Emulated hosts: the real gateway, run on behalf of an emulated node."""

import asyncio
import os
import signal
from contextvars import copy_context
from dataclasses import dataclass

import anyio
from sniffio import current_async_library_cvar

from crocusbay.transport.timers import TimerService
from crocusbay_gateway.gateway import Gateway
from crocusbay_gateway.log import EventLog
from crocusbay_platform.main import make_gateway
from crocusbay_standins.emulator.loop import VirtualClockLoop, current_node
from crocusbay_standins.emulator.node import Node
from crocusbay_standins.soak.hosts import SoakHost

# Wall-clock time at zero of the virtual clock (seconds since the Unix epoch).
WALL_CLOCK_START_SECONDS = 1_000_000_000.0


@dataclass
class EmulatedHost(SoakHost):
    """Run a host on its own node, appending its log to a file."""

    # Offset of its wall clock from the true time (seconds).
    clock_offset: float = 0.0
    node: Node | None = None
    gateway: Gateway | None = None
    _task: asyncio.Task | None = None

    @property
    def is_running(self) -> bool:
        """Return whether the task of the host is still active."""
        return self._task is not None and not self._task.done()

    def wall_clock_time(self) -> float:
        """Return the wall-clock time of this host (seconds since the Unix epoch)."""
        return WALL_CLOCK_START_SECONDS + self._loop.time() + self.clock_offset

    def start(self) -> None:
        """Start the host on a new node; do nothing if it is running."""
        if self.is_running:
            return
        self._loop: VirtualClockLoop = asyncio.get_running_loop()
        self.start_times.append(self._loop.time())
        self.node = Node(self.settings.ip)
        self.is_paused = False
        context = copy_context()
        context.run(current_node.set, self.node)
        # anyio.run sets this too; protocol callbacks rely on it.
        context.run(current_async_library_cvar.set, "asyncio")
        self._task = self._loop.create_task(self._run(), context=context)

    def send_signal(self, number: signal.Signals) -> None:
        """Emulate the effect of SIGSTOP, SIGCONT or SIGTERM."""
        if not self.is_running:
            return
        if number == signal.SIGSTOP:
            self.node.is_paused = self.is_paused = True
        elif number == signal.SIGCONT and self.is_paused:
            self.is_paused = False
            self._loop.resume(self.node)
        elif number == signal.SIGTERM and self.gateway is not None:
            self.gateway.start_leaving()

    def kill(self) -> None:
        """Kill the host: its callbacks are skipped, its connections reset."""
        if self.is_running:
            self._loop.network.kill(self.node)
            self._task = None

    async def _run(self) -> None:
        descriptor = os.open(
            self.folder / f"{self.name}.log",
            os.O_WRONLY | os.O_APPEND | os.O_CREAT,
            0o644,
        )
        try:
            timers = TimerService(self._loop.time)
            log = EventLog(self.name, descriptor, self._loop.time, self.wall_clock_time)
            incarnation = int(self.wall_clock_time() * 1e9)
            async with anyio.create_task_group() as tasks:
                self.gateway = make_gateway(
                    self.settings, timers, log, incarnation, tasks.start_soon
                )
                self.gateway.errors.subscribe(self._loop.record_unexpected_error)
                await self.gateway.run()
                tasks.cancel_scope.cancel()
        finally:
            self._loop.network.kill(self.node)
            os.close(descriptor)
