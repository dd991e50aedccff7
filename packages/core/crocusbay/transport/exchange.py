"""Exchange: one sub-request to one server, and its verdict."""

from collections.abc import Callable

from crocusbay.protocol.upstream import SubRequest
from crocusbay.state import Cause, MayHaveRun, NotRun, Verdict


class Exchange:
    """Track one sub-request to one server; deliver at most one verdict."""

    __slots__ = ("sub_request", "is_sent", "is_done", "sent_at", "_deliver")

    def __init__(
        self, sub_request: SubRequest, deliver: Callable[["Exchange", Verdict], None]
    ) -> None:
        self.sub_request = sub_request
        self.is_sent = False
        self.is_done = False
        self.sent_at = 0.0
        self._deliver = deliver

    def finish(self, verdict: Verdict) -> None:
        """Deliver the verdict unless the exchange is already done."""
        if self.is_done:
            return
        self.is_done = True
        self._deliver(self, verdict)

    def fail(self, cause: Cause, *, retry_after: float = 0.0, detail: str = "") -> None:
        """Deliver MayHaveRun if the request was sent, else NotRun.

        `retry_after` is in seconds.
        """
        kind = MayHaveRun if self.is_sent else NotRun
        self.finish(kind(cause, retry_after, detail))

    def abandon(self) -> None:
        """Discard any later verdict; a request not sent yet is never sent."""
        self.is_done = True
