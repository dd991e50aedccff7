"""Emulated hosts: the real gateway, run as code of a node that may be harmed."""

import asyncio
import os
import signal
from contextvars import copy_context
from dataclasses import dataclass

import anyio
from sniffio import current_async_library_cvar

from crocusbay.transport.timers import TimerService
from crocusbay_gateway.gateway import Gateway
from crocusbay_gateway.log import DecisionLog
from crocusbay_platform.main import make_gateway
from crocusbay_standins.emulator.loop import VirtualLoop, current_node
from crocusbay_standins.emulator.node import Node
from crocusbay_standins.soak.hosts import SoakHost

# The time of day when the virtual clock stands at zero (seconds).
FIRST_TIME_OF_DAY = 1_000_000_000.0


@dataclass
class EmulatedHost(SoakHost):
    """Run one host on a node of its own; its log is appended to a file."""

    # How far its time of day is from the true one (seconds).
    clock_error: float = 0.0
    node: Node | None = None
    gateway: Gateway | None = None
    _task: asyncio.Task | None = None

    @property
    def is_running(self) -> bool:
        """Return whether the host is there."""
        return self._task is not None and not self._task.done()

    def time_of_day(self) -> float:
        """Return what this host takes for the time of day (seconds)."""
        return FIRST_TIME_OF_DAY + self._loop.time() + self.clock_error

    def start(self) -> None:
        """Start the host, unless it runs."""
        if self.is_running:
            return
        self._loop: VirtualLoop = asyncio.get_running_loop()
        self.node = Node(self.settings.ip)
        self.is_paused = False
        context = copy_context()
        context.run(current_node.set, self.node)
        # As anyio.run does, for the callbacks of protocols.
        context.run(current_async_library_cvar.set, "asyncio")
        self._task = self._loop.create_task(self._run(), context=context)

    def signal(self, number: signal.Signals) -> None:
        """Do what the system does at a signal."""
        if not self.is_running:
            return
        if number == signal.SIGSTOP:
            self.node.is_paused = self.is_paused = True
        elif number == signal.SIGCONT and self.is_paused:
            self.is_paused = False
            self._loop.resume(self.node)
        elif number == signal.SIGTERM and self.gateway is not None:
            self.gateway.leave()

    def end(self) -> None:
        """Kill the host: its code runs no more, its connections are reset."""
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
            log = DecisionLog(self.name, descriptor, self._loop.time, self.time_of_day)
            incarnation = int(self.time_of_day() * 1e9)
            async with anyio.create_task_group() as tasks:
                self.gateway = make_gateway(
                    self.settings, timers, log, incarnation, tasks.start_soon
                )
                await self.gateway.run()
                tasks.cancel_scope.cancel()
        finally:
            self._loop.network.kill(self.node)
            os.close(descriptor)
