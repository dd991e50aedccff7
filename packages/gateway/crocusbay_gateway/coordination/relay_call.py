"""One query to a relay and the exchanges that wait for its answers."""

from collections.abc import Callable, Sequence

from crocusbay.state import Cause, MayHaveRun, NotRun, Ran
from crocusbay.transport.timers import Timer
from crocusbay_gateway.coordination.relay_policy import ROUND_TRIP_SECONDS
from crocusbay_gateway.protocol import RelayResponse
from crocusbay_gateway.state import ServerResponse
from crocusbay_gateway.transport import Exchange


class RelayChannel:
    """Represent the connection that carries one exchange of a relay call."""

    __slots__ = ("current_exchange", "_call", "_send")

    def __init__(self, call: "RelayCall", send: int, exchange: Exchange) -> None:
        self.current_exchange: Exchange | None = exchange
        self._call = call
        self._send = send

    def close(self, cause: Cause = Cause.CANCELLED) -> None:
        """Fail the exchange and have the relay cancel its request to the server."""
        exchange = self.detach()
        if exchange is not None:
            self._call.cancel_send(self._send)
            exchange.fail(cause)

    def detach(self) -> Exchange | None:
        """Detach and return the exchange, or return None if it has ended."""
        exchange, self.current_exchange = self.current_exchange, None
        return exchange


class RelayCall:
    """Track one query to a relay until all of its sends have ended."""

    def __init__(
        self,
        number: int,
        exchanges: Sequence[Exchange],
        now: float,
        on_cancelled: Callable[["RelayCall"], None],
    ) -> None:
        self.number = number
        self.answer_timer: Timer | None = None
        self._on_cancelled = on_cancelled
        self._cancelled_sends: list[int] = []
        self._carriers = [
            RelayChannel(self, send, exchange)
            for send, exchange in enumerate(exchanges)
        ]
        for carrier, exchange in zip(self._carriers, exchanges, strict=True):
            exchange.channel = carrier
            exchange.is_sent = True
            exchange.sent_at = now

    @property
    def has_answer(self) -> bool:
        """Return whether the relay has sent any answer."""
        return self.answer_timer is None

    @property
    def is_done(self) -> bool:
        """Return whether every send has ended."""
        return all(carrier.current_exchange is None for carrier in self._carriers)

    def handle_answer(self, answer: RelayResponse) -> None:
        """Deliver the parts and failures of an answer to their exchanges."""
        self.stop_timer()
        for part in answer.parts:
            exchange = self._detach(part.send)
            if exchange is not None:
                exchange.server_time = part.elapsed + ROUND_TRIP_SECONDS
                exchange.finish(
                    Ran(ServerResponse(200, b"", (), part.records, part.signature))
                )
        for failure in answer.failures:
            exchange = self._detach(failure.send)
            if exchange is not None:
                exchange.is_sent = failure.is_sent
                kind = MayHaveRun if failure.may_have_run else NotRun
                exchange.finish(kind(failure.cause, detail=failure.detail))

    def cancel_send(self, send: int) -> None:
        """Record a send to cancel; sends cancelled in one step share one message."""
        self._cancelled_sends.append(send)
        if len(self._cancelled_sends) == 1:
            self._on_cancelled(self)

    def pop_cancelled_sends(self) -> tuple[int, ...]:
        """Return and clear the cancelled sends not yet reported to the relay."""
        cancelled, self._cancelled_sends = self._cancelled_sends, []
        return tuple(cancelled)

    def fail(self) -> None:
        """Fail the open exchanges, whose requests the relay may have sent."""
        self.stop_timer()
        for carrier in self._carriers:
            exchange = carrier.detach()
            if exchange is not None:
                exchange.fail(Cause.CANCELLED, "connection to relay lost")

    def stop_timer(self) -> None:
        """Cancel the timeout of the first answer."""
        if self.answer_timer is not None:
            self.answer_timer.cancel()
            self.answer_timer = None

    def _detach(self, send: int) -> Exchange | None:
        return self._carriers[send].detach() if send < len(self._carriers) else None
