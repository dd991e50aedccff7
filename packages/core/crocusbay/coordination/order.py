"""Orders: non-idempotent requests that run at most once, even when sent again.

Conditional writes to the platform decide which attempt may send an order upstream:
only the one that wrote the record in state STARTED, and only once.
"""

import datetime
import uuid
from dataclasses import dataclass, replace

import anyio
import xxhash

from crocusbay.coordination.context import Context
from crocusbay.coordination.mailbox import Mailbox
from crocusbay.coordination.runtime import DeploymentRuntime
from crocusbay.protocol.codec import from_json, to_json
from crocusbay.protocol.platform import (
    Conflicted,
    StoredObject,
    WriteRefused,
    WriteUnknown,
    Written,
)
from crocusbay.protocol.upstream import SubRequest, SubResponse, order_target
from crocusbay.state import Cause, EventKind, MayHaveRun, NotRun, Ran, Verdict
from crocusbay.state.keys import order_key
from crocusbay.state.order import OrderRecord, OrderState
from crocusbay.transport import PlatformClient

RETRY_AFTER_SECONDS = 0.5
PLATFORM_RETRY_AFTER_SECONDS = 2.0
LATE_RESPONSE_GRACE_SECONDS = 10.0
RECORD_WRITE_ATTEMPTS = 8
RECORD_WRITE_BACKOFF_SECONDS = 0.25
RECORD_WRITE_BACKOFF_MAX_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class OrderRequest:
    """Describe one order; the deadline is on the monotonic clock."""

    request_id: str
    service: str
    order_id: str
    body: bytes
    deadline: float

    @property
    def digest(self) -> str:
        """Return a hash of the order's service and body."""
        return xxhash.xxh3_128_hexdigest(self.service.encode() + b"\0" + self.body)


class OrderIdConflictError(Exception):
    """Report an order id that was used before with different content."""


@dataclass(frozen=True, slots=True)
class _Claim:
    """Right to send an order upstream: the record that grants it and its version."""

    record: OrderRecord
    version: int


class OrderCoordinator:
    """Run the orders of all deployments on this host."""

    def __init__(
        self,
        platform: PlatformClient,
        context: Context,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._platform = platform
        self._context = context
        self._tasks = tasks

    async def run(self, runtime: DeploymentRuntime, order: OrderRequest) -> Verdict:
        """Return the verdict.

        Raise OrderIdConflictError if the id was used before with other content.
        """
        claim = await self._claim(runtime, order)
        if not isinstance(claim, _Claim):
            return claim
        mailbox = Mailbox(self._context.timers)
        verdict = await self._send(runtime, order, mailbox)
        self._record(EventKind.ORDER_RECORDED, runtime, order, type(verdict).__name__)
        key = order_key(runtime.name, order.order_id)
        self._tasks.start_soon(self._write_final_state, key, claim, verdict, mailbox)
        return verdict

    async def _claim(
        self, runtime: DeploymentRuntime, order: OrderRequest
    ) -> _Claim | Verdict:
        """Write the STARTED record by the deadline, or schedule its withdrawal."""
        key = order_key(runtime.name, order.order_id)
        record = OrderRecord(
            order=order.order_id,
            digest=order.digest,
            host=self._context.host,
            attempt=uuid.uuid4().hex,
            state=OrderState.STARTED,
            time=datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
        )
        with anyio.move_on_after(order.deadline - self._context.timers.now()):
            return await self._write_claim(key, record, order)
        return self._schedule_withdrawal(key, record)

    async def _write_claim(
        self, key: str, record: OrderRecord, order: OrderRequest
    ) -> _Claim | Verdict:
        """Write the record; if the response is lost, read the record back."""
        version = 0
        while True:
            result = await self._platform.write(key, to_json(record), version)
            match result:
                case Written(version):
                    return _Claim(record, version)
                case WriteRefused(reason):
                    return _platform_unavailable(reason)
                case WriteUnknown():
                    stored = await self._platform.read(key)
                    if stored.is_error():
                        self._tasks.start_soon(self._withdraw, key, record)
                        return _platform_unavailable(stored.error)
                    if stored.ok is None:
                        return self._schedule_withdrawal(key, record)
                    current = stored.ok
                case Conflicted(current):
                    if current is None:
                        return self._schedule_withdrawal(key, record)
            existing = _decode_record(current)
            if existing.attempt == record.attempt:
                return _Claim(record, current.version)
            verdict = _verdict_of_existing(existing, order)
            if verdict is not None:
                return verdict
            version = current.version

    def _schedule_withdrawal(self, key: str, record: OrderRecord) -> Verdict:
        self._tasks.start_soon(self._withdraw, key, record)
        return _platform_unavailable("the order's record could not be settled")

    async def _send(
        self, runtime: DeploymentRuntime, order: OrderRequest, mailbox: Mailbox
    ) -> Verdict:
        """Try one server after another until one may have run the order."""
        sub_request = SubRequest(
            order.request_id,
            "POST",
            order_target(order.order_id),
            order.deadline,
            order.body,
            is_idempotent=False,
            grace=LATE_RESPONSE_GRACE_SECONDS,
        )
        runtime.count_requests("needed")
        tried: set[str] = set()
        verdict: Verdict = NotRun(Cause.DEADLINE)
        while self._context.timers.now() < order.deadline:
            server = runtime.choose_server(order.service, frozenset(tried))
            if server is None:
                verdict = verdict if tried else NotRun(Cause.NO_UPSTREAM)
                break
            runtime.count_requests("retry" if tried else "primary")
            tried.add(server.upstream.name)
            exchange = server.send(sub_request, lambda s, e, v: mailbox.put(v))
            verdicts = await mailbox.get_until(order.deadline)
            if not verdicts and exchange.is_sent:
                server.pool.close_when_overdue(exchange)
                return MayHaveRun(Cause.DEADLINE, RETRY_AFTER_SECONDS)
            if not verdicts:
                server.abandon(exchange)
                verdict = NotRun(Cause.DEADLINE)
                break
            verdict = verdicts[0]
            if not isinstance(verdict, NotRun):
                break
        return _with_retry_after(verdict)

    async def _write_final_state(
        self, key: str, claim: _Claim, verdict: Verdict, mailbox: Mailbox
    ) -> None:
        """Write the final state of the order; retry if the platform is unavailable."""
        if isinstance(verdict, MayHaveRun) and verdict.cause is Cause.DEADLINE:
            verdict = await self._await_late_verdict(mailbox, verdict)
        record = replace(claim.record, **_final_state_fields(verdict))
        backoff = RECORD_WRITE_BACKOFF_SECONDS
        for _ in range(RECORD_WRITE_ATTEMPTS):
            result = await self._platform.write(key, to_json(record), claim.version)
            if isinstance(result, Written | Conflicted):
                return
            await self._context.timers.sleep(backoff)
            backoff = min(RECORD_WRITE_BACKOFF_MAX_SECONDS, 2 * backoff)

    async def _await_late_verdict(self, mailbox: Mailbox, verdict: Verdict) -> Verdict:
        """Return a verdict that arrives after the deadline, else the given one.

        The caller already has a reply; the record answers its next request.
        """
        until = self._context.timers.now() + 2 * LATE_RESPONSE_GRACE_SECONDS
        verdicts = await mailbox.get_until(until)
        return verdicts[0] if verdicts else verdict

    async def _withdraw(self, key: str, record: OrderRecord) -> None:
        """Mark an abandoned attempt as NOT_RUN once its record becomes visible."""
        backoff = RECORD_WRITE_BACKOFF_SECONDS
        for _ in range(RECORD_WRITE_ATTEMPTS):
            await self._context.timers.sleep(backoff)
            backoff = min(RECORD_WRITE_BACKOFF_MAX_SECONDS, 2 * backoff)
            stored = await self._platform.read(key)
            if stored.is_error():
                continue
            if stored.ok is None:
                continue
            if _decode_record(stored.ok).attempt != record.attempt:
                return
            withdrawn = replace(record, state=OrderState.NOT_RUN)
            result = await self._platform.write(
                key, to_json(withdrawn), stored.ok.version
            )
            if isinstance(result, Written | Conflicted):
                return

    def _record(
        self,
        kind: EventKind,
        runtime: DeploymentRuntime,
        order: OrderRequest,
        detail: str,
    ) -> None:
        self._context.timeline.record(
            kind,
            request=order.request_id,
            deployment=runtime.name,
            detail=f"{order.order_id} {detail}",
        )


def _platform_unavailable(reason: str) -> Verdict:
    return NotRun(Cause.PLATFORM_UNAVAILABLE, PLATFORM_RETRY_AFTER_SECONDS, reason)


def _decode_record(stored: StoredObject) -> OrderRecord:
    decoded = from_json(bytes(stored.value), OrderRecord)
    if decoded.is_error():
        raise ValueError(f"{stored.key} is not a valid order record: {decoded.error}")
    return decoded.ok


def _verdict_of_existing(existing: OrderRecord, order: OrderRequest) -> Verdict | None:
    """Return the verdict of an earlier attempt, or None if it did not run."""
    if existing.digest != order.digest:
        raise OrderIdConflictError(order.order_id)
    match existing.state:
        case OrderState.RAN:
            return Ran(SubResponse(200, existing.answer.encode()))
        case OrderState.NOT_RUN:
            return None
        case OrderState.STARTED:
            return MayHaveRun(Cause.IN_PROGRESS, RETRY_AFTER_SECONDS)
        case OrderState.UNKNOWN:
            return MayHaveRun(Cause.RESET, 0.0, "an earlier attempt may have run")


def _final_state_fields(verdict: Verdict) -> dict[str, str]:
    match verdict:
        case Ran(response):
            return {"state": OrderState.RAN, "answer": response.body.decode()}
        case NotRun():
            return {"state": OrderState.NOT_RUN}
        case MayHaveRun():
            return {"state": OrderState.UNKNOWN}


def _with_retry_after(verdict: Verdict) -> Verdict:
    if isinstance(verdict, NotRun) and not verdict.retry_after:
        return replace(verdict, retry_after=RETRY_AFTER_SECONDS)
    return verdict
