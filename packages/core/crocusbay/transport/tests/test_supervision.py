import anyio
import pytest

from crocusbay.transport import supervision
from crocusbay.transport.supervision import Supervisor
from crocusbay.transport.timers import TimerService

pytestmark = pytest.mark.anyio

TIMEOUT_SECONDS = 10.0


async def fail(message):
    raise ValueError(message)


class FailingService:
    """Fail a number of times, then run until cancelled."""

    def __init__(self, failures):
        self.failures = failures
        self.is_running = anyio.Event()

    async def run(self):
        if self.failures:
            self.failures -= 1
            raise KeyError("x")
        self.is_running.set()
        await anyio.sleep_forever()


async def test_error_ends_its_task_alone(monkeypatch):
    monkeypatch.setattr(supervision, "RESTART_DELAY_SECONDS", 0.01)
    errors = []
    timers = TimerService()
    service = FailingService(failures=2)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(timers.run)
        supervisor = Supervisor(
            tasks.start_soon, timers, lambda task, error: errors.append((task, error))
        )
        supervisor.start_soon(fail, "a")
        supervisor.start_service(service.run)
        with anyio.fail_after(TIMEOUT_SECONDS):
            await service.is_running.wait()
        tasks.cancel_scope.cancel()
    names = sorted(task for task, _ in errors)
    assert names == ["FailingService.run", "FailingService.run", "fail"]


async def test_error_of_a_timer_does_not_stop_the_others():
    errors = []
    timers = TimerService()
    timers.on_error = lambda callback, error: errors.append(error)
    fired = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(timers.run)
        timers.at(timers.now(), lambda: [].pop())
        timers.at(timers.now() + 0.01, fired.set)
        with anyio.fail_after(TIMEOUT_SECONDS):
            await fired.wait()
        tasks.cancel_scope.cancel()
    assert [type(error) for error in errors] == [IndexError]
