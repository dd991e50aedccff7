"""Stand-in for the store of the platform: objects, revisions and watches."""

import asyncio
import random
from dataclasses import dataclass
from enum import StrEnum
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec

from crocusbay_gateway.protocol import encode_reply
from crocusbay_gateway.state import Configuration, Reply, ServerEntry
from crocusbay_platform.configuration import encode_configuration
from crocusbay_platform.names import (
    AFTER_PARAMETER,
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    ERA_HEADER,
    OBJECTS_PATH,
    REVISION_PARAMETER,
    SERVERS_KIND,
    WAIT_MS_PARAMETER,
    WATCH_PARAMETER,
)
from crocusbay_platform.objects import (
    ChangeEvent,
    ChangeList,
    ObjectMetadata,
    ObjectPage,
    StoredObject,
)
from crocusbay_platform.servers import encode_server_entry
from crocusbay_standins.soak.tcp_server import listen

PAGE_SIZE_OBJECTS = 50
MAX_HISTORY_EVENTS = 400
# Entries of servers that are not written again expire after a restore.
SERVER_LEASE_SECONDS = 1.5


class Outage(StrEnum):
    """How the store fails its clients."""

    NONE = "none"
    UNAVAILABLE = "busy"
    TOO_MANY_REQUESTS = "many"
    RESET = "reset"
    SILENT = "silent"


_STATUS_BY_OUTAGE = {Outage.UNAVAILABLE: 503, Outage.TOO_MANY_REQUESTS: 429}


@dataclass(frozen=True, slots=True)
class _Copy:
    """Content of the store at a time of the loop (seconds)."""

    taken_at: float
    revision: int
    objects_by_kind: dict[str, dict[str, StoredObject]]
    entry_by_name: dict[str, ServerEntry]


class StandInStore:
    """Store of objects by kind and name, served over HTTP."""

    def __init__(self, rng: random.Random) -> None:
        self.revision = 1
        self.era = 1
        self._rng = rng
        self.request_count = 0
        self.outage = Outage.NONE
        # Response delay, and the ratio of writes that are applied but get no response.
        self.response_delay_seconds = 0.0
        self.lost_share = 0.0
        self._objects_by_kind: dict[str, dict[str, StoredObject]] = {}
        self._entry_by_name: dict[str, ServerEntry] = {}
        self._history: list[tuple[int, str, ChangeEvent]] = []
        self._compacted_revision = 0
        self._written_at_by_server: dict[str, float] = {}
        self._copies: list[_Copy] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server

    async def start(self) -> str:
        """Listen on a free port; return the address as "ip:port"."""
        self._server, address = await listen(self._serve)
        return address

    def close(self) -> None:
        """Stop accepting connections."""
        self._server.close()

    def object_names(self, kind: str) -> set[str]:
        """Return the names of the objects of a kind."""
        return set(self._objects_by_kind.get(kind, {}))

    def put_configuration(self, configuration: Configuration) -> None:
        """Write the configuration, as the operator does."""
        self.put_raw_configuration(encode_configuration(configuration))

    def put_raw_configuration(self, spec: bytes) -> None:
        """Write the configuration object with any content."""
        self.put_raw(CONFIGURATION_KIND, CONFIGURATION_NAME, spec)

    def put_raw(self, kind: str, name: str, spec: bytes) -> None:
        """Write an object with any content, as another writer may."""
        self._put(kind, name, msgspec.Raw(spec))

    def put_server(self, entry: ServerEntry, seq: int) -> None:
        """Write the entry of a server, except in an outage or if it is unchanged."""
        stored_object = self._objects_by_kind.get(SERVERS_KIND, {}).get(entry.name)
        is_unchanged = (
            stored_object is not None and self._entry_by_name.get(entry.name) == entry
        )
        if self.outage is not Outage.NONE:
            return
        self._written_at_by_server[entry.name] = asyncio.get_running_loop().time()
        if not is_unchanged:
            self._entry_by_name[entry.name] = entry
            spec = msgspec.Raw(encode_server_entry(entry, seq))
            self._put(SERVERS_KIND, entry.name, spec)

    def remove_server(self, name: str) -> None:
        """Delete the entry of a server if there is one."""
        self._delete(SERVERS_KIND, name)

    def expire_servers(self) -> None:
        """Delete the entries of all servers, as when their leases expire."""
        for name in list(self._objects_by_kind.get(SERVERS_KIND, {})):
            self.remove_server(name)

    def restore(self, age_seconds: float) -> None:
        """Go back to a copy of some age; revisions after it are given out again.

        Servers and operators have to write again; entries of other servers expire.
        """
        now = asyncio.get_running_loop().time()
        while len(self._copies) > 1 and self._copies[-1].taken_at > now - age_seconds:
            self._copies.pop()
        copy = self._copies[-1]
        self.era += 1
        self.revision = copy.revision
        self._objects_by_kind = _copy_objects(copy.objects_by_kind)
        self._entry_by_name = dict(copy.entry_by_name)
        self._history = [each for each in self._history if each[0] <= copy.revision]
        self._compacted_revision = min(self._compacted_revision, copy.revision)
        self._wake_watches()
        asyncio.get_running_loop().call_later(
            SERVER_LEASE_SECONDS, self._expire_servers_unwritten_since, now
        )

    def _expire_servers_unwritten_since(self, start: float) -> None:
        for name in list(self._objects_by_kind.get(SERVERS_KIND, {})):
            if self._written_at_by_server.get(name, float("-inf")) < start:
                self.remove_server(name)

    def compact(self) -> None:
        """Drop all past events, so that watches must list again."""
        self._history.clear()
        self._compacted_revision = self.revision
        self._wake_watches()

    def _put(self, kind: str, name: str, spec: msgspec.Raw) -> StoredObject:
        stored = StoredObject(ObjectMetadata(name, self.revision + 1), spec)
        self._objects_by_kind.setdefault(kind, {})[name] = stored
        self._append_event(kind, ChangeEvent(stored))
        return stored

    def _delete(self, kind: str, name: str) -> StoredObject | None:
        """Delete an object if there is one; its revision is that of the deletion."""
        stored = self._objects_by_kind.get(kind, {}).pop(name, None)
        if stored is None:
            return None
        deleted = StoredObject(ObjectMetadata(name, self.revision + 1), stored.spec)
        self._append_event(kind, ChangeEvent(deleted, deleted=True))
        return deleted

    def _append_event(self, kind: str, event: ChangeEvent) -> None:
        self.revision += 1
        self._history.append((self.revision, kind, event))
        while len(self._history) > MAX_HISTORY_EVENTS:
            self._compacted_revision = self._history.pop(0)[0]
        self._copies.append(
            _Copy(
                asyncio.get_running_loop().time(),
                self.revision,
                _copy_objects(self._objects_by_kind),
                dict(self._entry_by_name),
            )
        )
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                method, target, body = await read_request(reader)
                self.request_count += 1
                if self.outage is Outage.RESET:
                    writer.transport.abort()
                    return
                if self.outage is Outage.SILENT:
                    continue
                await asyncio.sleep(self.response_delay_seconds)
                status, value = await self._handle_request(method, target, body)
                if method != "GET" and self._rng.random() < self.lost_share:
                    continue
                headers = ((ERA_HEADER, str(self.era).encode()),)
                reply = Reply(status, headers, msgspec.json.encode(value))
                writer.write(encode_reply(reply))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            writer.close()

    async def _handle_request(self, method: str, target: str, body: bytes):
        if self.outage in _STATUS_BY_OUTAGE:
            return _STATUS_BY_OUTAGE[self.outage], {}
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        kind = url.path.removeprefix(OBJECTS_PATH).split("/")[1]
        if method in ("POST", "PUT"):
            sent = msgspec.json.decode(body, type=StoredObject)
            is_stored = sent.meta.name in self._objects_by_kind.get(kind, {})
            if method == "POST" and is_stored:
                return 409, {}
            if method == "PUT" and not is_stored:
                return 404, {}
            if self._is_conflict(kind, sent.meta.name, sent.meta.revision):
                return 409, self._objects_by_kind[kind].get(sent.meta.name, {})
            return 200, self._put(kind, sent.meta.name, sent.spec)
        name = unquote(url.path.removeprefix(f"{OBJECTS_PATH}/{kind}")).lstrip("/")
        if method == "DELETE":
            revision = int(query.get(REVISION_PARAMETER, 0))
            if self._is_conflict(kind, name, revision):
                return 409, self._objects_by_kind[kind].get(name, {})
            deleted = self._delete(kind, name)
            return (404, {}) if deleted is None else (200, deleted)
        if name:
            stored = self._objects_by_kind.get(kind, {}).get(name)
            return (404, {}) if stored is None else (200, stored)
        if WATCH_PARAMETER in query:
            return await self._watch(
                kind, int(query[WATCH_PARAMETER]), int(query[WAIT_MS_PARAMETER])
            )
        return 200, self._page(kind, query.get(AFTER_PARAMETER, ""))

    def _is_conflict(self, kind: str, name: str, revision: int) -> bool:
        """Return whether an object has changed since a revision that a call carries."""
        stored = self._objects_by_kind.get(kind, {}).get(name)
        return bool(revision and stored and stored.meta.revision != revision)

    async def _watch(self, kind: str, after: int, wait_ms: int):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_ms / 1000
        while True:
            if not self._compacted_revision <= after <= self.revision:
                return 410, {}
            events = tuple(
                e for rev, k, e in self._history if rev > after and k == kind
            )
            if events or loop.time() >= deadline:
                return 200, ChangeList(self.revision, events)
            try:
                await asyncio.wait_for(self._changed.wait(), deadline - loop.time())
            except TimeoutError:
                continue

    def _page(self, kind: str, after: str) -> ObjectPage:
        objects = sorted(
            self._objects_by_kind.get(kind, {}).values(), key=lambda o: o.meta.name
        )
        rest = [each for each in objects if each.meta.name > after]
        return ObjectPage(
            self.revision,
            tuple(rest[:PAGE_SIZE_OBJECTS]),
            len(rest) > PAGE_SIZE_OBJECTS,
        )


def _copy_objects(
    objects_by_kind: dict[str, dict[str, StoredObject]],
) -> dict[str, dict[str, StoredObject]]:
    return {kind: dict(objects) for kind, objects in objects_by_kind.items()}


async def read_request(reader: asyncio.StreamReader) -> tuple[str, str, bytes]:
    """Return the method, target and body of the next HTTP request."""
    method, target, _, body = await read_message(reader)
    return method, target, body


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, str, dict[bytes, bytes], bytes]:
    """Return the next HTTP message: two words of the start line, headers and body.

    Header names are in lower case. Raise asyncio.IncompleteReadError at the end of the
    stream.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].split(b"\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(b":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get(b"content-length", b"0")))
    one, two, *_ = first.decode().split(" ")
    return one, two, headers, body
