"""Tasks whose unexpected errors end them alone, not the process."""

from collections.abc import Awaitable, Callable

from crocusbay.transport.timers import TimerService

# Between an unexpected error of a service and its restart.
RESTART_DELAY_SECONDS = 0.5

OnError = Callable[[str, Exception], None]
Task = Callable[..., Awaitable]


class Supervisor:
    """Start tasks in a task group, and report their unexpected errors.

    `on_error` is called with the name of the task and the error.
    """

    def __init__(
        self, spawn: Callable, timers: TimerService, on_error: OnError
    ) -> None:
        self._spawn = spawn
        self._timers = timers
        self._on_error = on_error

    def start_soon(self, task: Task, *args) -> None:
        """Start a task, such as of one connection; an error ends it."""
        self._spawn(self._run, task, args)

    def start_service(self, service: Task, *args) -> None:
        """Start a task that lasts as long as the process; it restarts after errors."""
        self._spawn(self._run_service, service, args)

    async def _run(self, task: Task, args: tuple) -> bool:
        """Run a task; return whether it ended without an error."""
        try:
            await task(*args)
        except Exception as error:
            self._on_error(_name_of(task), error)
            return False
        return True

    async def _run_service(self, service: Task, args: tuple) -> None:
        while not await self._run(service, args):
            await self._timers.sleep(RESTART_DELAY_SECONDS)


def _name_of(task: Task) -> str:
    return getattr(task, "__qualname__", repr(task))
