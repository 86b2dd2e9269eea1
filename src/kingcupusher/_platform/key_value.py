"""Client of the key-value service."""

from __future__ import annotations

from urllib.parse import quote, urlencode

from msgspec import Struct

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._platform.calls import JsonClient
from kingcupusher._platform.errors import NotFoundError
from kingcupusher._platform.records import Lease, VersionedValue, WatchResult

# The service responds within milliseconds; after this time no response is expected.
CALL_TIMEOUT_MS = 1_500.0


class _PutBody(Struct, frozen=True):
    value: bytes
    expected_revision: int
    lease_id: str | None


class _GrantBody(Struct, frozen=True):
    ttl_ms: int


class _WriteResponse(Struct, frozen=True):
    revision: int


class _LeaseResponse(Struct, frozen=True):
    lease_id: str
    ttl_ms: int


class _WatchResponse(Struct, frozen=True):
    revision: int
    changed: bool
    entries: list[VersionedValue]


class _EmptyResponse(Struct, frozen=True):
    pass


class KeyValueClient:
    """Calls the key-value service at one address, with one connection per call."""

    __slots__ = ("_client",)

    def __init__(self, address: Address, *, timeout_ms: float = CALL_TIMEOUT_MS) -> None:
        self._client = JsonClient(address, timeout_ms)

    async def get(self, key: str) -> VersionedValue | None:
        """Return the value of ``key``, or None if the key does not exist."""
        try:
            return await self._client.read(_key_path(key), VersionedValue)
        except NotFoundError:
            return None

    async def list(self, prefix: str) -> list[VersionedValue]:
        """Return the values whose keys start with ``prefix``, sorted by key."""
        path = "/v1/keys?" + urlencode({"prefix": prefix})
        return await self._client.read(path, list[VersionedValue])

    async def put(
        self, key: str, value: bytes, *, expected_revision: int, lease_id: str | None = None
    ) -> int:
        """Write ``value`` if ``key`` has ``expected_revision`` (0: the key must not exist).

        Returns the new revision. With ``lease_id`` the key is removed when that lease ends.
        """
        body = _PutBody(value, expected_revision, lease_id)
        response = await self._client.write("PUT", _key_path(key), body, _WriteResponse)
        return response.revision

    async def delete(self, key: str, *, expected_revision: int) -> None:
        """Remove ``key`` if it has ``expected_revision``."""
        path = f"{_key_path(key)}?" + urlencode({"expected_revision": expected_revision})
        await self._client.write("DELETE", path, None, _WriteResponse)

    async def watch(self, prefix: str, *, after_revision: int, timeout_ms: float) -> WatchResult:
        """Wait until the last revision under ``prefix`` differs from ``after_revision``.

        Start with 0 and pass the revision of each result to the next call. A rewound store
        returns a lower revision. After ``timeout_ms`` the result has ``changed`` False.
        """
        query = {
            "prefix": prefix,
            "after_revision": after_revision,
            "timeout_ms": round(timeout_ms),
        }
        path = "/v1/watch?" + urlencode(query)
        result = await self._client.read(path, _WatchResponse, extra_timeout_ms=timeout_ms)
        return WatchResult(result.revision, result.changed, result.entries)

    async def grant_lease(self, ttl_ms: int) -> Lease:
        """Create a lease that ends ``ttl_ms`` from now unless it is renewed."""
        sent_ms = now_ms()
        response = await self._client.write(
            "POST", "/v1/leases", _GrantBody(ttl_ms), _LeaseResponse
        )
        return Lease(response.lease_id, sent_ms + response.ttl_ms)

    async def renew_lease(self, lease: Lease) -> Lease:
        """Restart the time to live of ``lease``; raise LeaseLostError if it has ended.

        After any other error the lease still ends no earlier than its old deadline.
        """
        sent_ms = now_ms()
        response = await self._client.write("PUT", _lease_path(lease), None, _LeaseResponse)
        return Lease(response.lease_id, sent_ms + response.ttl_ms)

    async def revoke_lease(self, lease: Lease) -> None:
        """End ``lease`` and remove its keys."""
        await self._client.write("DELETE", _lease_path(lease), None, _EmptyResponse)


def _key_path(key: str) -> str:
    return f"/v1/keys/{quote(key)}"


def _lease_path(lease: Lease) -> str:
    return f"/v1/leases/{quote(lease.lease_id)}"
