"""Exchange: one sub-request on its way to one server and its verdict back."""

from collections.abc import Callable

from crocusbay.protocol.upstream import SubRequest
from crocusbay.state import Cause, MayHaveRun, NotRun, Verdict


class Exchange:
    """Carry one sub-request; deliver exactly one verdict."""

    __slots__ = ("sub", "is_sent", "is_done", "sent_at", "_deliver")

    def __init__(
        self, sub: SubRequest, deliver: Callable[["Exchange", Verdict], None]
    ) -> None:
        self.sub = sub
        self.is_sent = False
        self.is_done = False
        self.sent_at = 0.0
        self._deliver = deliver

    def finish(self, verdict: Verdict) -> None:
        """Deliver the verdict, unless one was delivered before."""
        if self.is_done:
            return
        self.is_done = True
        self._deliver(self, verdict)

    def fail(self, cause: Cause, *, retry_after: float = 0.0, detail: str = "") -> None:
        """Deliver a failure that says whether the request may have run."""
        kind = MayHaveRun if self.is_sent else NotRun
        self.finish(kind(cause, retry_after, detail))

    def abandon(self) -> None:
        """Stop waiting: a later verdict is dropped, an unsent request is not sent."""
        self.is_done = True
