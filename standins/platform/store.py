"""Key-value store with revisions, leases and snapshots; without I/O, callers pass the time."""

from __future__ import annotations

from msgspec import Struct

MAX_VALUE_BYTES = 1_000_000


class StoreError(Exception):
    """Base class of the errors that the store reports to callers."""


class RevisionMismatchError(StoreError):
    """Raised when a key does not have the expected revision."""


class UnknownLeaseError(StoreError):
    """Raised when a lease does not exist or has expired."""


class ValueTooLargeError(StoreError):
    """Raised when a value is longer than ``MAX_VALUE_BYTES``."""


class KeyValue(Struct, frozen=True):
    """A key with its value, the revision of its last change, and its lease or None."""

    key: str
    value: bytes
    revision: int
    lease_id: str | None = None


class Lease(Struct, frozen=True):
    """A lease: its time to live and the time at which it expires."""

    ttl_ms: int
    deadline_ms: float


class Snapshot(Struct, frozen=True):
    """A copy of the whole store, as in a backup."""

    revision: int
    key_values: dict[str, KeyValue]
    deleted: dict[str, int]
    leases: dict[str, Lease]


class Store:
    """Keys with compare-and-swap, leases with attached keys, and restorable snapshots.

    Each change increments the revision. Callers call :meth:`expire_leases` before other methods.
    """

    __slots__ = ("_deleted", "_key_values", "_leases", "_next_lease", "_revision")

    def __init__(self) -> None:
        self._revision = 0
        self._key_values: dict[str, KeyValue] = {}
        self._deleted: dict[str, int] = {}
        self._leases: dict[str, Lease] = {}
        self._next_lease = 1

    def get(self, key: str) -> KeyValue | None:
        """Return ``key`` with its value, or None if it does not exist."""
        return self._key_values.get(key)

    def list(self, prefix: str) -> list[KeyValue]:
        """Return the keys that start with ``prefix`` and their values, sorted by key."""
        return [self._key_values[key] for key in sorted(self._key_values) if key.startswith(prefix)]

    def prefix_revision(self, prefix: str) -> int:
        """Return the revision of the last change under ``prefix``, or 0."""
        current = (item.revision for item in self.list(prefix))
        deleted = (revision for key, revision in self._deleted.items() if key.startswith(prefix))
        return max((*current, *deleted), default=0)

    def put(self, key: str, value: bytes, *, expected_revision: int, lease_id: str | None) -> int:
        """Set ``key`` if its revision is ``expected_revision`` (0: absent); return the new one."""
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLargeError(f"{len(value)} bytes; at most {MAX_VALUE_BYTES} are allowed")
        self._check_revision(key, expected_revision)
        if lease_id is not None:
            self._get_lease(lease_id)
        self._revision += 1
        self._deleted.pop(key, None)
        self._key_values[key] = KeyValue(key, value, self._revision, lease_id)
        return self._revision

    def delete(self, key: str, *, expected_revision: int) -> int:
        """Remove ``key`` if its revision is ``expected_revision``; return the new revision."""
        self._check_revision(key, expected_revision)
        return self._remove(key)

    def grant_lease(self, ttl_ms: int, *, now_ms: float) -> str:
        """Create a lease that expires after ``ttl_ms`` unless renewed; return its id."""
        lease_id = f"lease-{self._next_lease}"
        self._next_lease += 1
        self._leases[lease_id] = Lease(ttl_ms, now_ms + ttl_ms)
        return lease_id

    def renew_lease(self, lease_id: str, *, now_ms: float) -> int:
        """Restart the time to live of a lease; return it in milliseconds."""
        lease = self._get_lease(lease_id)
        self._leases[lease_id] = Lease(lease.ttl_ms, now_ms + lease.ttl_ms)
        return lease.ttl_ms

    def revoke_lease(self, lease_id: str) -> None:
        """Remove a lease and its keys."""
        self._get_lease(lease_id)
        self._end_lease(lease_id)

    def expire_leases(self, *, now_ms: float) -> bool:
        """Remove expired leases and their keys; return whether there were any."""
        ended = [name for name, lease in self._leases.items() if lease.deadline_ms <= now_ms]
        for lease_id in ended:
            self._end_lease(lease_id)
        return bool(ended)

    def snapshot(self) -> Snapshot:
        """Return a copy of the whole state."""
        return Snapshot(
            self._revision, dict(self._key_values), dict(self._deleted), dict(self._leases)
        )

    def rewind(self, snapshot: Snapshot, *, now_ms: float) -> None:
        """Restore ``snapshot``; later keys, leases and revisions are lost.

        Revision numbers are reused, and leases of the snapshot restart their time to live.
        """
        self._revision = snapshot.revision
        self._key_values = dict(snapshot.key_values)
        self._deleted = dict(snapshot.deleted)
        self._leases = {
            lease_id: Lease(lease.ttl_ms, now_ms + lease.ttl_ms)
            for lease_id, lease in snapshot.leases.items()
        }

    def _check_revision(self, key: str, expected: int) -> None:
        item = self._key_values.get(key)
        actual = item.revision if item else 0
        if actual != expected:
            raise RevisionMismatchError(f"{key} has revision {actual}, expected {expected}")

    def _get_lease(self, lease_id: str) -> Lease:
        try:
            return self._leases[lease_id]
        except KeyError:
            raise UnknownLeaseError(f"{lease_id} does not exist or has ended") from None

    def _end_lease(self, lease_id: str) -> None:
        del self._leases[lease_id]
        attached = [key for key, item in self._key_values.items() if item.lease_id == lease_id]
        for key in attached:
            self._remove(key)

    def _remove(self, key: str) -> int:
        self._revision += 1
        if self._key_values.pop(key, None) is not None:
            self._deleted[key] = self._revision
        return self._revision
