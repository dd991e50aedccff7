"""Stand-in for the platform's metadata store, with one address for each host."""

import asyncio
import json
import time
from collections import deque
from collections.abc import Callable
from urllib.parse import parse_qs, unquote, urlsplit

from standins_2.messages import Message, encode_response, read_message

HISTORY_EVENTS = 5_000
PAGE_OBJECTS = 500


class Store:
    """Hold objects by kind and name; `mode_by_host` tells how each host is served.

    A mode is "up", "reset", "busy" or "silent". `on_call` is called with the host, the
    method, the kind and the response of each call that is served.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.mode_by_host: dict[str, str] = {}
        self.on_call: Callable[[str, str, str, dict], None] = lambda *call: None
        self.address_by_host: dict[str, str] = {}
        self._objects: dict[str, dict[str, dict]] = {}
        self._history: deque[tuple[int, str, dict]] = deque(maxlen=HISTORY_EVENTS)
        self._changed = asyncio.Event()
        self._writers: dict[str, set[asyncio.StreamWriter]] = {}
        self._pending_watches: dict[str, int] = {}

    def pending_watches(self, kind: str) -> int:
        """Return how many watches of a kind wait for a change."""
        return self._pending_watches.get(kind, 0)

    async def add_host(self, host: str, ip: str = "127.0.0.1") -> str:
        """Listen on an address for one host, and return it."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(host, reader, writer)

        server = await asyncio.start_server(serve, ip, 0)
        self.mode_by_host[host] = "up"
        self._writers[host] = set()
        port = server.sockets[0].getsockname()[1]
        self.address_by_host[host] = f"{ip}:{port}"
        return self.address_by_host[host]

    def set_mode(self, mode: str, hosts: list[str] | None = None) -> None:
        """Change how hosts are served, all by default."""
        for host in hosts or list(self.mode_by_host):
            self.mode_by_host[host] = mode
            if mode == "reset":
                for writer in list(self._writers[host]):
                    writer.transport.abort()
        self._wake()

    def put(self, kind: str, name: str, spec: object) -> dict:
        """Write an object unless that changes nothing; return it."""
        known = self._objects.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["meta"]["created-rev"] if known else self.revision
        meta = {
            "name": name,
            "revision": self.revision,
            "created-rev": created,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"meta": meta, "spec": spec, "status": None}
        self._objects[kind][name] = stored
        self._add_event(kind, {"object": stored, "deleted": False})
        return stored

    def delete(self, kind: str, name: str) -> dict | None:
        """Remove an object, and return it."""
        stored = self._objects.get(kind, {}).pop(name, None)
        if stored is None:
            return None
        self.revision += 1
        meta = {**stored["meta"], "revision": self.revision}
        deleted = {**stored, "meta": meta}
        self._add_event(kind, {"object": deleted, "deleted": True})
        return deleted

    def _add_event(self, kind: str, event: dict) -> None:
        self._history.append((self.revision, kind, event))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, host: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers[host].add(writer)
        try:
            while True:
                request = await read_message(reader)
                mode = self.mode_by_host[host]
                if mode == "reset":
                    writer.transport.abort()
                    return
                if mode == "silent":
                    # No response follows on this connection.
                    await reader.read()
                    return
                status, value = 503, {}
                if mode == "up":
                    status, value = await self._handle(host, request)
                if self.mode_by_host[host] != mode:
                    writer.transport.abort()
                    return
                headers = {"Content-Type": "application/json"}
                body = json.dumps(value).encode()
                writer.write(encode_response(status, headers, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers[host].discard(writer)
            writer.close()

    async def _handle(self, host: str, request: Message) -> tuple[int, dict]:
        method, target, _ = request.start
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        parts = [unquote(each) for each in url.path.strip("/").split("/")]
        kind = parts[1]
        name = parts[2] if len(parts) > 2 else ""
        match method:
            case "GET" if "watch" in query:
                status, value = await self._watch(host, kind, query)
            case "GET" if name:
                stored = self._objects.get(kind, {}).get(name)
                status, value = (404, {}) if stored is None else (200, stored)
            case "GET":
                status, value = 200, self._page(kind, query.get("after", ""))
            case _:
                status, value = self._write(method, kind, name, query, request.body)
        self.on_call(host, method, kind, value)
        return status, value

    def _write(
        self, method: str, kind: str, name: str, query: dict, body: bytes
    ) -> tuple[int, dict]:
        sent = json.loads(body) if body else {}
        meta = sent.get("meta", {})
        name = name or meta.get("name", "")
        stored = self._objects.get(kind, {}).get(name)
        if method == "POST":
            if stored is not None:
                return 409, stored
            return 200, self.put(kind, name, sent.get("spec"))
        if stored is None:
            return 404, {}
        revision = int(meta.get("revision") or query.get("revision") or 0)
        if revision and revision != stored["meta"]["revision"]:
            return 409, stored
        if method == "DELETE":
            return 200, self.delete(kind, name)
        return 200, self.put(kind, name, sent.get("spec"))

    async def _watch(self, host: str, kind: str, query: dict) -> tuple[int, dict]:
        pending = self._pending_watches
        pending[kind] = pending.get(kind, 0) + 1
        try:
            return await self._wait_for_events(host, kind, query)
        finally:
            pending[kind] -= 1

    async def _wait_for_events(
        self, host: str, kind: str, query: dict
    ) -> tuple[int, dict]:
        after = int(query["watch"])
        until = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while True:
            events = [e for rev, k, e in self._history if rev > after and k == kind]
            left = until - time.monotonic()
            if events or left <= 0 or self.mode_by_host[host] != "up":
                return 200, {"events": events, "current-rev": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _page(self, kind: str, after: str) -> dict:
        objects = self._objects.get(kind, {})
        names = sorted(name for name in objects if name > after)
        return {
            "items": [objects[name] for name in names[:PAGE_OBJECTS]],
            "has-more": len(names) > PAGE_OBJECTS,
            "current-rev": self.revision,
        }
