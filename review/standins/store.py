"""Stand-in for the platform's store: objects, revisions and watches."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

from standins.http import encode_message, read_message

PAGE_SIZE = 500


class Store:
    """Serve objects by kind and name; the operator and servers write directly."""

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[int, str, dict]] = []
        self.changed = asyncio.Event()
        self.address = ""
        # While this is cleared, calls wait for their response.
        self.is_available = asyncio.Event()
        self.is_available.set()

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, ip, 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])

    def put(self, kind: str, name: str, spec) -> dict:
        """Write an object and return it."""
        kept = self.objects.setdefault(kind, {}).get(name)
        if kept is not None and kept["spec"] == spec:
            return kept
        self.revision += 1
        created = kept["meta"]["created-rev"] if kept else self.revision
        stored = {
            "meta": {
                "name": name,
                "revision": self.revision,
                "created-rev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind][name] = stored
        self._add_event(kind, {"object": stored, "deleted": False})
        return stored

    def delete(self, kind: str, name: str) -> dict | None:
        """Remove an object and return it."""
        kept = self.objects.get(kind, {}).pop(name, None)
        if kept is None:
            return None
        self.revision += 1
        kept = {**kept, "meta": {**kept["meta"], "revision": self.revision}}
        self._add_event(kind, {"object": kept, "deleted": True})
        return kept

    def _add_event(self, kind: str, event: dict) -> None:
        self.events.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                first, _, body = await read_message(reader)
                method, target, _ = first.split(" ")
                status, answer = await self._handle(method, target, body)
                await self.is_available.wait()
                writer.write(
                    encode_message(
                        f"HTTP/1.1 {status} X",
                        {"Content-Type": "application/json"},
                        json.dumps(answer).encode(),
                    )
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _handle(self, method: str, target: str, body: bytes) -> tuple[int, dict]:
        split = urlsplit(target)
        query = {key: each[0] for key, each in parse_qs(split.query).items()}
        _, _, kind, *rest = split.path.split("/")
        name = unquote(rest[0]) if rest else ""
        content = json.loads(body) if body else {}
        name = name or content.get("meta", {}).get("name", "")
        kept = self.objects.get(kind, {}).get(name)
        if method == "GET" and name:
            return (200, kept) if kept else (404, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET":
            items = sorted(
                (
                    each
                    for each in self.objects.get(kind, {}).values()
                    if each["meta"]["name"] > query.get("after", "")
                ),
                key=lambda each: each["meta"]["name"],
            )
            return 200, {
                "items": items[:PAGE_SIZE],
                "has-more": len(items) > PAGE_SIZE,
                "current-rev": self.revision,
            }
        expected = content.get("meta", {}).get("revision") or query.get("revision")
        if method == "POST" and kept is not None:
            return 409, kept
        if method in ("PUT", "DELETE") and kept is None:
            return 404, {}
        if expected and int(expected) != kept["meta"]["revision"]:
            return 409, kept
        if method == "DELETE":
            return 200, self.delete(kind, name)
        return 200, self.put(kind, name, content.get("spec"))

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, dict]:
        after = int(query["watch"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query.get("wait-ms", 0)) / 1000
        while True:
            events = [
                event
                for revision, each_kind, event in self.events
                if revision > after and each_kind == kind
            ]
            left = end - loop.time()
            if events or left <= 0:
                return 200, {"events": events, "current-rev": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue
