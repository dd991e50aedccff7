"""One query to a relay and the exchanges that wait for its responses."""

from collections.abc import Callable, Sequence

from crocusbay.state import Cause, MayHaveRun, NotRun, Ran
from crocusbay.transport.timers import Timer
from crocusbay_gateway.coordination.relay import ROUND_TRIP_SECONDS
from crocusbay_gateway.protocol import RelayedFailure, RelayResponse
from crocusbay_gateway.state import ServerResponse
from crocusbay_gateway.transport import Exchange


class RelayChannel:
    """Carry one exchange of a relay call, as a server connection does otherwise."""

    __slots__ = ("current_exchange", "_call", "_index")

    def __init__(self, call: "RelayCall", index: int, exchange: Exchange) -> None:
        self.current_exchange: Exchange | None = exchange
        self._call = call
        self._index = index

    def close(self, cause: Cause = Cause.CANCELLED) -> None:
        """Fail the exchange and have the relay cancel its request to the server."""
        exchange = self.detach()
        if exchange is not None:
            self._call.cancel_sub_request(self._index)
            exchange.fail(cause)

    def detach(self) -> Exchange | None:
        """Detach and return the exchange, or return None if it has ended."""
        exchange, self.current_exchange = self.current_exchange, None
        return exchange


def _deliver_at_once(deliver: Callable[[], None]) -> None:
    """Deliver results to exchanges that don't depend on each other."""
    deliver()


class RelayCall:
    """Track one query to a relay until all of its sub-requests have ended.

    `deliver_together` is called with a function that delivers all results of one
    response; nothing may be decided between them.
    """

    def __init__(
        self,
        query_id: int,
        exchanges: Sequence[Exchange],
        now: float,
        on_cancelled: Callable[["RelayCall"], None],
        *,
        merges_parts: bool,
        deliver_together: Callable[[Callable[[], None]], None] = _deliver_at_once,
    ) -> None:
        self.query_id = query_id
        self.query_bytes = 0
        self._merges_parts = merges_parts
        self._may_lack_records = False
        self.response_timer: Timer | None = None
        self._on_cancelled = on_cancelled
        self._deliver_together = deliver_together
        self._cancelled_indices: list[int] = []
        self._channels = [
            RelayChannel(self, index, exchange)
            for index, exchange in enumerate(exchanges)
        ]
        for channel, exchange in zip(self._channels, exchanges, strict=True):
            exchange.channel = channel
            exchange.is_sent = True
            exchange.sent_at = now

    @property
    def has_response(self) -> bool:
        """Return whether the relay has sent any response."""
        return self.response_timer is None

    @property
    def is_done(self) -> bool:
        """Return whether every sub-request has ended."""
        return all(channel.current_exchange is None for channel in self._channels)

    def handle_response(self, response: RelayResponse) -> None:
        """Deliver the parts and failures of a response to their exchanges.

        Parts may lack records that the relay dropped because of a part that comes with
        them or came before. If that one was cancelled meanwhile, they fail.
        """
        self.cancel_response_timer()
        self._deliver_together(lambda: self._deliver(response))

    def _deliver(self, response: RelayResponse) -> None:
        exchanges = [self._detach(part.sub_request_index) for part in response.parts]
        if self._merges_parts and None in exchanges:
            self._may_lack_records = True
        for part, exchange in zip(response.parts, exchanges, strict=True):
            if exchange is not None and self._may_lack_records:
                exchange.fail(Cause.CANCELLED, "relay compared a cancelled part")
            elif exchange is not None:
                exchange.server_time = part.elapsed + ROUND_TRIP_SECONDS
                exchange.finish(
                    Ran(ServerResponse(200, b"", (), part.records, part.signature))
                )
        for failure in response.failures:
            exchange = self._detach(failure.sub_request_index)
            if exchange is not None:
                exchange.is_sent = failure.is_sent
                exchange.finish(_verdict_of(failure))

    def cancel_sub_request(self, index: int) -> None:
        """Record a cancellation; those made at the same moment share one message."""
        self._cancelled_indices.append(index)
        if len(self._cancelled_indices) == 1:
            self._on_cancelled(self)

    def pop_cancelled_sub_requests(self) -> tuple[int, ...]:
        """Return and clear the cancellations not yet sent to the relay."""
        cancelled, self._cancelled_indices = self._cancelled_indices, []
        return tuple(cancelled)

    def fail(self) -> None:
        """Fail the exchanges in flight, which the relay may have sent to servers."""
        self.cancel_response_timer()
        for channel in self._channels:
            exchange = channel.detach()
            if exchange is not None:
                exchange.fail(Cause.CANCELLED, "connection to relay lost")

    def cancel_response_timer(self) -> None:
        """Cancel the timeout of the first response."""
        if self.response_timer is not None:
            self.response_timer.cancel()
            self.response_timer = None

    def _detach(self, index: int) -> Exchange | None:
        return self._channels[index].detach() if index < len(self._channels) else None


def _verdict_of(failure: RelayedFailure) -> MayHaveRun | NotRun:
    if failure.may_have_run:
        return MayHaveRun(failure.cause, detail=failure.detail)
    return NotRun(failure.cause, failure.rest_time, detail=failure.detail)
