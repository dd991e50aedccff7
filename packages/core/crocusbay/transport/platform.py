"""Client of the platform's object API."""

from collections.abc import Callable

import httpx
import logbook
from expression import Error, Ok, Result

from crocusbay.protocol.codec import from_json
from crocusbay.protocol.lists import decode_hosts, decode_objects
from crocusbay.protocol.platform import (
    Conflicted,
    HostList,
    ObjectList,
    StoredObject,
    WriteRefused,
    WriteResult,
    WriteUnknown,
    Written,
)
from crocusbay.protocol.upstream import CLOCK_HEADER
from crocusbay.state import HybridClock, parse_stamp

CALL_TIMEOUT_SECONDS = 2.0
WATCH_TIMEOUT_SECONDS = 20.0
MAX_OBJECT_BYTES = 1_000_000
# Lists hold all objects of some prefixes.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
VERSION_HEADER = "crocusbay-if-version"

_log = logbook.Logger("crocusbay.platform")


class PlatformClient:
    """Call the platform; failures are values that say what may have been written."""

    def __init__(self, address: str, clock: HybridClock) -> None:
        self._clock = clock
        self._http = httpx.AsyncClient(
            base_url=f"http://{address}",
            timeout=CALL_TIMEOUT_SECONDS,
            trust_env=False,
            # An encoded body may be far larger than what is received.
            headers={"Accept-Encoding": "identity"},
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def read(self, key: str) -> Result[StoredObject | None, str]:
        """Return the object, None if it does not exist, or why the read failed."""
        result = await self._get(f"/objects/{key}")
        if result.is_error():
            return Error(result.error)
        if result.ok.status_code == httpx.codes.NOT_FOUND:
            return Ok(None)
        return _decode(result.ok, StoredObject)

    async def list_after(
        self, prefixes: tuple[str, ...], after: int
    ) -> Result[ObjectList, str]:
        """Return the objects with the prefixes changed after a revision."""
        result = await self._get("/objects", prefix=prefixes, after=after)
        return result.bind(lambda response: _decode_list(response, decode_objects))

    async def watch(
        self, prefixes: tuple[str, ...], after: int
    ) -> Result[ObjectList, str]:
        """Long-poll for changes after a revision; the list is empty on time-out."""
        result = await self._get(
            "/watch",
            timeout=WATCH_TIMEOUT_SECONDS + CALL_TIMEOUT_SECONDS,
            prefix=prefixes,
            after=after,
            wait_ms=int(WATCH_TIMEOUT_SECONDS * 1000),
        )
        return result.bind(lambda response: _decode_list(response, decode_objects))

    async def list_hosts(self) -> Result[HostList, str]:
        """Return the platform's list of hosts, which lags behind their state."""
        result = await self._get("/hosts")
        return result.bind(lambda response: _decode_list(response, decode_hosts))

    async def write(self, key: str, value: bytes, if_version: int) -> WriteResult:
        """Write an object if its version is `if_version`, where 0 means absent."""
        if len(value) > MAX_OBJECT_BYTES:
            return WriteRefused(f"{key} has {len(value)} bytes of {MAX_OBJECT_BYTES}")
        headers = {
            VERSION_HEADER: str(if_version),
            CLOCK_HEADER: str(self._clock.now()),
        }
        try:
            response = await self._request(
                "PUT", f"/objects/{key}", content=value, headers=headers
            )
        except httpx.ConnectError as error:
            return WriteRefused(f"the platform can't be reached: {error}")
        except httpx.ConnectTimeout:
            return WriteRefused("the platform can't be reached in time")
        except httpx.HTTPError as error:
            return WriteUnknown(f"no response to the write: {type(error).__name__}")
        self._observe(response)
        return _to_write_result(response)

    async def _get(
        self, path: str, timeout: float = CALL_TIMEOUT_SECONDS, **query
    ) -> Result[httpx.Response, str]:
        headers = {CLOCK_HEADER: str(self._clock.now())}
        try:
            response = await self._request(
                "GET", path, params=query, headers=headers, timeout=timeout
            )
        except httpx.HTTPError as error:
            return Error(f"{path}: {type(error).__name__}")
        self._observe(response)
        if response.status_code in (httpx.codes.OK, httpx.codes.NOT_FOUND):
            return Ok(response)
        return Error(f"{path}: status {response.status_code}")

    async def _request(self, method: str, path: str, **options) -> httpx.Response:
        """Return a response; raise HTTPError if there is none, or one without end."""
        content = bytearray()
        async with self._http.stream(method, path, **options) as response:
            async for chunk in response.aiter_raw():
                content += chunk
                if len(content) > MAX_RESPONSE_BYTES:
                    raise httpx.ReadError(f"over {MAX_RESPONSE_BYTES} bytes")
        return httpx.Response(
            response.status_code,
            headers=response.headers,
            content=bytes(content),
            request=response.request,
        )

    def _observe(self, response: httpx.Response) -> None:
        self._clock.observe(parse_stamp(response.headers.get(CLOCK_HEADER, "")))


def _decode(response: httpx.Response, target_type: type) -> Result:
    return from_json(response.content, target_type)


def _decode_list(response: httpx.Response, decode: Callable) -> Result:
    """Return a list, and log why some of its items can't be used."""
    try:
        items, problems = decode(response.content)
    except ValueError as error:
        return Error(str(error))
    for problem in problems:
        _log.error("item-ignored", path=response.url.path, fault=problem)
    return Ok(items)


def _to_write_result(response: httpx.Response) -> WriteResult:
    match response.status_code:
        case httpx.codes.OK:
            decoded = from_json(response.content, Written)
        case httpx.codes.CONFLICT:
            decoded = from_json(response.content, Conflicted)
        case httpx.codes.TOO_MANY_REQUESTS | httpx.codes.SERVICE_UNAVAILABLE:
            return WriteRefused(f"the platform answered {response.status_code}")
        case _:
            return WriteUnknown(f"the platform answered {response.status_code}")
    return decoded.default_with(
        lambda _: WriteUnknown("malformed response to the write")
    )
