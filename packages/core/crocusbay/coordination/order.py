"""Orders: non-idempotent requests that run at most once, whoever sends them again.

The platform's conditional writes decide which attempt may send an order upstream:
only the one that wrote the record as started, and only once.
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
PLATFORM_RETRY_SECONDS = 2.0
LATE_ANSWER_SECONDS = 10.0
FINISH_TRIES = 8
FINISH_PAUSE_SECONDS = 0.25
FINISH_PAUSE_MAX_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class OrderRequest:
    """Describe one order; the deadline is on the monotonic clock."""

    request: str
    service: str
    order: str
    body: bytes
    deadline: float

    @property
    def digest(self) -> str:
        """Return the identity of the order's content."""
        return xxhash.xxh3_128_hexdigest(self.service.encode() + b"\0" + self.body)


class DifferentOrderError(Exception):
    """Report an order whose id was used before with another content."""


@dataclass(frozen=True, slots=True)
class _Claim:
    """Hold the right to send an order, and the version of its record."""

    record: OrderRecord
    version: int


class OrderDesk:
    """Run orders of all deployments on this host."""

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
        """Return the verdict; raise DifferentOrderError if the id is taken."""
        claim = await self._claim(runtime, order)
        if not isinstance(claim, _Claim):
            return claim
        mailbox = Mailbox(self._context.timers)
        verdict = await self._send(runtime, order, mailbox)
        self._record(EventKind.ORDER_RECORDED, runtime, order, type(verdict).__name__)
        key = order_key(runtime.name, order.order)
        self._tasks.start_soon(self._finish, key, claim, verdict, mailbox)
        return verdict

    async def _claim(
        self, runtime: DeploymentRuntime, order: OrderRequest
    ) -> _Claim | Verdict:
        """Write the record as started by the deadline, or give the order up."""
        key = order_key(runtime.name, order.order)
        record = OrderRecord(
            order=order.order,
            digest=order.digest,
            host=self._context.host,
            attempt=uuid.uuid4().hex,
            state=OrderState.STARTED,
            time=datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
        )
        with anyio.move_on_after(order.deadline - self._context.timers.now()):
            return await self._write_claim(key, record, order)
        return self._withdraw_later(key, record)

    async def _write_claim(
        self, key: str, record: OrderRecord, order: OrderRequest
    ) -> _Claim | Verdict:
        """Write the record; settle a lost answer by reading it back."""
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
                        return self._withdraw_later(key, record)
                    current = stored.ok
                case Conflicted(current):
                    if current is None:
                        return self._withdraw_later(key, record)
            existing = _decode_record(current)
            if existing.attempt == record.attempt:
                return _Claim(record, current.version)
            verdict = _judge_existing(existing, order)
            if verdict is not None:
                return verdict
            version = current.version

    def _withdraw_later(self, key: str, record: OrderRecord) -> Verdict:
        self._tasks.start_soon(self._withdraw, key, record)
        return _platform_unavailable("the order's record could not be settled")

    async def _send(
        self, runtime: DeploymentRuntime, order: OrderRequest, mailbox: Mailbox
    ) -> Verdict:
        """Send to one server after another until one may have run the order."""
        sub = SubRequest(
            order.request,
            "POST",
            order_target(order.order),
            order.deadline,
            order.body,
            is_idempotent=False,
            patience=LATE_ANSWER_SECONDS,
        )
        runtime.count("needed")
        tried: set[str] = set()
        verdict: Verdict = NotRun(Cause.DEADLINE)
        while self._context.timers.now() < order.deadline:
            server = runtime.choose(order.service, frozenset(tried))
            if server is None:
                verdict = verdict if tried else NotRun(Cause.NO_UPSTREAM)
                break
            runtime.count("retry" if tried else "primary")
            tried.add(server.upstream.name)
            exchange = server.send(sub, lambda s, e, v: mailbox.put(v))
            verdicts = await mailbox.take_until(order.deadline)
            if not verdicts and exchange.is_sent:
                server.pool.close_if_overdue(exchange)
                return MayHaveRun(Cause.DEADLINE, RETRY_AFTER_SECONDS)
            if not verdicts:
                server.abandon(exchange)
                verdict = NotRun(Cause.DEADLINE)
                break
            verdict = verdicts[0]
            if not isinstance(verdict, NotRun):
                break
        return _with_retry_after(verdict)

    async def _finish(
        self, key: str, claim: _Claim, verdict: Verdict, mailbox: Mailbox
    ) -> None:
        """Write how the order ended, trying again through an outage."""
        if isinstance(verdict, MayHaveRun) and verdict.cause is Cause.DEADLINE:
            verdict = await self._await_late_answer(mailbox, verdict)
        record = replace(claim.record, **_ending(verdict))
        pause = FINISH_PAUSE_SECONDS
        for _ in range(FINISH_TRIES):
            result = await self._platform.write(key, to_json(record), claim.version)
            if isinstance(result, Written | Conflicted):
                return
            await self._context.timers.sleep(pause)
            pause = min(FINISH_PAUSE_MAX_SECONDS, 2 * pause)

    async def _await_late_answer(self, mailbox: Mailbox, verdict: Verdict) -> Verdict:
        """Return the verdict that comes after the deadline, if one does.

        The caller has its answer already; the record serves its next request.
        """
        until = self._context.timers.now() + 2 * LATE_ANSWER_SECONDS
        verdicts = await mailbox.take_until(until)
        return verdicts[0] if verdicts else verdict

    async def _withdraw(self, key: str, record: OrderRecord) -> None:
        """Mark an attempt that was given up as not run, once its record shows up."""
        pause = FINISH_PAUSE_SECONDS
        for _ in range(FINISH_TRIES):
            await self._context.timers.sleep(pause)
            pause = min(FINISH_PAUSE_MAX_SECONDS, 2 * pause)
            stored = await self._platform.read(key)
            if stored.is_error():
                continue
            if stored.ok is None:
                continue
            if _decode_record(stored.ok).attempt != record.attempt:
                return
            ended = replace(record, state=OrderState.NOT_RUN)
            result = await self._platform.write(key, to_json(ended), stored.ok.version)
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
            request=order.request,
            deployment=runtime.name,
            detail=f"{order.order} {detail}",
        )


def _platform_unavailable(reason: str) -> Verdict:
    return NotRun(Cause.PLATFORM_UNAVAILABLE, PLATFORM_RETRY_SECONDS, reason)


def _decode_record(stored: StoredObject) -> OrderRecord:
    decoded = from_json(bytes(stored.value), OrderRecord)
    if decoded.is_error():
        raise ValueError(f"{stored.key} holds no order record: {decoded.error}")
    return decoded.ok


def _judge_existing(existing: OrderRecord, order: OrderRequest) -> Verdict | None:
    """Return the verdict that an earlier attempt left, or None if it did not run."""
    if existing.digest != order.digest:
        raise DifferentOrderError(order.order)
    match existing.state:
        case OrderState.RAN:
            return Ran(SubResponse(200, existing.answer.encode()))
        case OrderState.NOT_RUN:
            return None
        case OrderState.STARTED:
            return MayHaveRun(Cause.IN_PROGRESS, RETRY_AFTER_SECONDS)
        case OrderState.UNKNOWN:
            return MayHaveRun(Cause.RESET, 0.0, "an earlier attempt may have run")


def _ending(verdict: Verdict) -> dict[str, str]:
    match verdict:
        case Ran(answer):
            return {"state": OrderState.RAN, "answer": answer.body.decode()}
        case NotRun():
            return {"state": OrderState.NOT_RUN}
        case MayHaveRun():
            return {"state": OrderState.UNKNOWN}


def _with_retry_after(verdict: Verdict) -> Verdict:
    if isinstance(verdict, NotRun) and not verdict.retry_after:
        return replace(verdict, retry_after=RETRY_AFTER_SECONDS)
    return verdict
