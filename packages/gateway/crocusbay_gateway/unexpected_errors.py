"""Report of errors that no part of the process expected."""

import traceback
from collections.abc import Callable

from crocusbay_gateway.log import EventLog
from crocusbay_gateway.metrics import GatewayMetrics

MAX_STACK_CHARACTERS = 2_000


class UnexpectedErrors:
    """Log each error with its stack, and count it by where it was caught."""

    def __init__(self, log: EventLog, metrics: GatewayMetrics) -> None:
        self._log = log
        self._metrics = metrics
        self._subscribers: list[Callable[[str, Exception], None]] = []

    def subscribe(self, on_error: Callable[[str, Exception], None]) -> None:
        """Register a callback for each error."""
        self._subscribers.append(on_error)

    def record(self, task: str, error: Exception, request_id: str = "") -> None:
        """Report an error that ended a task, a message, a request or a callback."""
        stack = "".join(traceback.format_exception(error))
        self._metrics.unexpected_errors.inc(task)
        self._log.error(
            "unexpected-error",
            task=task,
            request=request_id,
            error=repr(error)[:MAX_STACK_CHARACTERS],
            # The end of the stack tells where the error was raised.
            stack=stack[-MAX_STACK_CHARACTERS:],
        )
        for on_error in self._subscribers:
            on_error(task, error)
