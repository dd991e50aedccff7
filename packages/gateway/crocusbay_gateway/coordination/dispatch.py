"""Dispatch of the sub-requests of one scatter-gather, directly or through relays."""

from collections.abc import Callable, Sequence

from crocusbay_gateway.coordination.attempt import Attempt, RouteLatency
from crocusbay_gateway.coordination.context import Context
from crocusbay_gateway.coordination.relay import (
    MIN_RELAYED_EXTRAS,
    MIN_RELAYED_PARTS,
    MIN_RELAYED_TOP_K,
    flush_delay,
    group_by_data_centre,
)
from crocusbay_gateway.coordination.relay_call import RelayCall
from crocusbay_gateway.coordination.relay_client import RelayClient
from crocusbay_gateway.protocol import RelayedSubRequest
from crocusbay_gateway.state import CallerRequest


class AttemptDispatcher:
    """Send attempts directly, or through a relay in the server's data centre."""

    def __init__(
        self,
        context: Context,
        request: CallerRequest,
        top_k: int,
        give_up_at: float,
        fingerprint: str,
        deliver_together: Callable[[Callable[[], None]], None],
    ) -> None:
        self._context = context
        self._request = request
        self._top_k = top_k
        self._give_up_at = give_up_at
        self._fingerprint = fingerprint
        self._deliver_together = deliver_together
        self._call_by_attempt: dict[Attempt, RelayCall] = {}

    @property
    def relayed_count(self) -> int:
        """Return the number of attempts sent through relays."""
        return len(self._call_by_attempt)

    def send_first(self, attempts: Sequence[Attempt], latency: RouteLatency) -> None:
        """Send the first attempt of every shard."""
        flush_after = flush_delay(latency.median.value, latency.hedge_delay)
        self._send(attempts, MIN_RELAYED_PARTS, flush_after, merges_parts=True)

    def send_extras(self, attempts: Sequence[Attempt]) -> None:
        """Send hedges or retries; relays return their responses without batching.

        Their parts may not be used, so relays don't compare other parts with them.
        """
        self._send(attempts, MIN_RELAYED_EXTRAS, 0.0, merges_parts=False)

    def is_awaiting_relay(self, attempt: Attempt) -> bool:
        """Return whether an attempt was relayed and its relay has not responded yet."""
        call = self._call_by_attempt.get(attempt)
        return call is not None and not call.has_response

    def _send(
        self,
        attempts: Sequence[Attempt],
        min_group_size: int,
        flush_after: float,
        *,
        merges_parts: bool,
    ) -> None:
        """Relay groups of `min_group_size` or more attempts; send others directly."""
        attempts_by_data_centre = group_by_data_centre(
            (
                (attempt.server.entry.data_centre, attempt)
                for attempt in attempts
                if attempt.server.is_remote and self._top_k >= MIN_RELAYED_TOP_K
            ),
            min_group_size,
        )
        relayed: set[Attempt] = set()
        for data_centre, group in attempts_by_data_centre.items():
            relay = self._context.relays.choose(data_centre)
            if relay is not None:
                relayed.update(group)
                self._relay(relay, group, flush_after, merges_parts=merges_parts)
        for attempt in attempts:
            if attempt not in relayed:
                attempt.send()

    def _relay(
        self,
        relay: RelayClient,
        group: list[Attempt],
        flush_after: float,
        *,
        merges_parts: bool,
    ) -> None:
        sub_requests = [
            (
                RelayedSubRequest(each.server.entry.service, each.server.entry.name),
                each.exchange,
            )
            for each in group
        ]
        for attempt in group:
            attempt.exchange.relay = relay.name
        remaining_time = self._give_up_at - self._context.timers.now()
        call = relay.send_query(
            self._request,
            sub_requests,
            remaining_time,
            flush_after,
            self._top_k,
            self._fingerprint,
            merges_parts=merges_parts,
            deliver_together=self._deliver_together,
        )
        self._call_by_attempt.update(dict.fromkeys(group, call))
        self._context.metrics.remote_bytes.add(call.query_bytes, "relay-query")
