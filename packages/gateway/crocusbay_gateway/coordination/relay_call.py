"""Relay call: one query to a relay, and the exchanges that wait for its answers."""

from collections.abc import Callable, Sequence

from crocusbay.state import Cause, MayHaveRun, NotRun, Ran
from crocusbay.transport.timers import Timer
from crocusbay_gateway.coordination.relay import ROUND_SECONDS
from crocusbay_gateway.protocol import RelayAnswer
from crocusbay_gateway.state import ServerAnswer
from crocusbay_gateway.transport import Exchange


class RelayedExchange:
    """Stand for the connection that carries one exchange of a call."""

    __slots__ = ("current", "_call", "_send")

    def __init__(self, call: "RelayCall", send: int, exchange: Exchange) -> None:
        self.current: Exchange | None = exchange
        self._call = call
        self._send = send

    def close(self, cause: Cause = Cause.CANCELLED) -> None:
        """End the exchange; the other host is told to leave its server."""
        exchange = self.take()
        if exchange is not None:
            self._call.leave(self._send)
            exchange.fail(cause)

    def take(self) -> Exchange | None:
        """Return the exchange if it has not ended, and let go of it."""
        exchange, self.current = self.current, None
        return exchange


class RelayCall:
    """Hold one query until all of its sends have ended."""

    def __init__(
        self,
        number: int,
        exchanges: Sequence[Exchange],
        now: float,
        on_left: Callable[["RelayCall"], None],
    ) -> None:
        self.number = number
        self.overdue: Timer | None = None
        self._on_left = on_left
        self._left: list[int] = []
        self._carriers = [
            RelayedExchange(self, send, exchange)
            for send, exchange in enumerate(exchanges)
        ]
        for carrier, exchange in zip(self._carriers, exchanges, strict=True):
            exchange.connection = carrier
            exchange.is_sent = True
            exchange.sent_at = now

    @property
    def is_heard(self) -> bool:
        """Return whether the other host has answered anything."""
        return self.overdue is None

    @property
    def is_done(self) -> bool:
        """Return whether every send has ended."""
        return all(carrier.current is None for carrier in self._carriers)

    def take(self, answer: RelayAnswer) -> None:
        """Hand out what has come."""
        self.stop_timer()
        for part in answer.parts:
            exchange = self._take(part.send)
            if exchange is not None:
                exchange.took = part.elapsed + ROUND_SECONDS
                exchange.finish(
                    Ran(ServerAnswer(200, b"", (), part.records, part.signature))
                )
        for failure in answer.failures:
            exchange = self._take(failure.send)
            if exchange is not None:
                exchange.is_sent = failure.is_sent
                kind = MayHaveRun if failure.may_have_run else NotRun
                exchange.finish(kind(failure.cause, detail=failure.detail))

    def leave(self, send: int) -> None:
        """Note a send that is of no use any more; those of one moment go together."""
        self._left.append(send)
        if len(self._left) == 1:
            self._on_left(self)

    def take_left(self) -> tuple[int, ...]:
        """Return the sends that were left and not told of yet."""
        left, self._left = self._left, []
        return tuple(left)

    def fail(self) -> None:
        """End what is left: the other host may have sent it."""
        self.stop_timer()
        for carrier in self._carriers:
            exchange = carrier.take()
            if exchange is not None:
                exchange.fail(Cause.CANCELLED, "relay lost")

    def stop_timer(self) -> None:
        """Cancel the timer of the first answer."""
        if self.overdue is not None:
            self.overdue.cancel()
            self.overdue = None

    def _take(self, send: int) -> Exchange | None:
        return self._carriers[send].take() if send < len(self._carriers) else None
