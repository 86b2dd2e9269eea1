"""State of the key-value service: keys, revisions, leases and snapshots; no I/O and no clock."""

from __future__ import annotations

from msgspec import Struct

MAX_VALUE_BYTES = 1_000_000


class StoreError(Exception):
    """Base of the refusals of the store."""


class RevisionMismatchError(StoreError):
    """Raised when a key does not have the expected revision."""


class UnknownLeaseError(StoreError):
    """Raised when a lease does not exist or has ended."""


class ValueTooLargeError(StoreError):
    """Raised when a value is longer than ``MAX_VALUE_BYTES``."""


class Entry(Struct, frozen=True):
    """One key with its value, the revision of its last change and its lease, if any."""

    key: str
    value: bytes
    revision: int
    lease_id: str | None = None


class LeaseState(Struct, frozen=True):
    """One lease: its time to live and the instant at which it ends."""

    ttl_ms: int
    deadline_ms: float


class Snapshot(Struct, frozen=True):
    """A copy of the whole store, as a backup would hold it."""

    revision: int
    entries: dict[str, Entry]
    deleted: dict[str, int]
    leases: dict[str, LeaseState]


class Store:
    """Keys with compare-and-swap, leases with attached keys, and restorable snapshots.

    Every change takes the next revision. Callers pass the time and call :meth:`expire` first.
    """

    __slots__ = ("_deleted", "_entries", "_leases", "_next_lease", "_revision")

    def __init__(self) -> None:
        self._revision = 0
        self._entries: dict[str, Entry] = {}
        self._deleted: dict[str, int] = {}
        self._leases: dict[str, LeaseState] = {}
        self._next_lease = 1

    def get(self, key: str) -> Entry | None:
        """Return the entry of ``key``, or None if there is none."""
        return self._entries.get(key)

    def list(self, prefix: str) -> list[Entry]:
        """Return the entries whose keys start with ``prefix``, sorted by key."""
        return [self._entries[key] for key in sorted(self._entries) if key.startswith(prefix)]

    def prefix_revision(self, prefix: str) -> int:
        """Return the revision of the last change under ``prefix``, 0 if there was none."""
        current = (entry.revision for entry in self.list(prefix))
        deleted = (revision for key, revision in self._deleted.items() if key.startswith(prefix))
        return max((*current, *deleted), default=0)

    def put(self, key: str, value: bytes, *, expected_revision: int, lease_id: str | None) -> int:
        """Replace the value of ``key`` if it has ``expected_revision`` (0: does not exist)."""
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLargeError(f"{len(value)} bytes; at most {MAX_VALUE_BYTES} are allowed")
        self._check_revision(key, expected_revision)
        if lease_id is not None:
            self._lease(lease_id)
        self._revision += 1
        self._deleted.pop(key, None)
        self._entries[key] = Entry(key, value, self._revision, lease_id)
        return self._revision

    def delete(self, key: str, *, expected_revision: int) -> int:
        """Remove ``key`` if it has ``expected_revision``."""
        self._check_revision(key, expected_revision)
        return self._remove(key)

    def grant_lease(self, ttl_ms: int, *, now_ms: float) -> str:
        """Create a lease that ends ``ttl_ms`` from now unless it is renewed."""
        lease_id = f"lease-{self._next_lease}"
        self._next_lease += 1
        self._leases[lease_id] = LeaseState(ttl_ms, now_ms + ttl_ms)
        return lease_id

    def renew_lease(self, lease_id: str, *, now_ms: float) -> int:
        """Start the time to live of a lease again and return it."""
        lease = self._lease(lease_id)
        self._leases[lease_id] = LeaseState(lease.ttl_ms, now_ms + lease.ttl_ms)
        return lease.ttl_ms

    def revoke_lease(self, lease_id: str) -> None:
        """End a lease and remove its keys."""
        self._lease(lease_id)
        self._end_lease(lease_id)

    def expire(self, *, now_ms: float) -> bool:
        """End the leases whose time is over; return whether there were any."""
        ended = [name for name, lease in self._leases.items() if lease.deadline_ms <= now_ms]
        for lease_id in ended:
            self._end_lease(lease_id)
        return bool(ended)

    def snapshot(self) -> Snapshot:
        """Return a copy of the whole state."""
        return Snapshot(
            self._revision, dict(self._entries), dict(self._deleted), dict(self._leases)
        )

    def rewind(self, snapshot: Snapshot, *, now_ms: float) -> None:
        """Return to ``snapshot``: later keys, leases and revisions are lost.

        Revision numbers are used again. Leases of the snapshot start their time to live again.
        """
        self._revision = snapshot.revision
        self._entries = dict(snapshot.entries)
        self._deleted = dict(snapshot.deleted)
        self._leases = {
            lease_id: LeaseState(lease.ttl_ms, now_ms + lease.ttl_ms)
            for lease_id, lease in snapshot.leases.items()
        }

    def _check_revision(self, key: str, expected: int) -> None:
        entry = self._entries.get(key)
        actual = entry.revision if entry else 0
        if actual != expected:
            raise RevisionMismatchError(f"{key} has revision {actual}, expected {expected}")

    def _lease(self, lease_id: str) -> LeaseState:
        try:
            return self._leases[lease_id]
        except KeyError:
            raise UnknownLeaseError(f"{lease_id} does not exist or has ended") from None

    def _end_lease(self, lease_id: str) -> None:
        del self._leases[lease_id]
        attached = [key for key, entry in self._entries.items() if entry.lease_id == lease_id]
        for key in attached:
            self._remove(key)

    def _remove(self, key: str) -> int:
        self._revision += 1
        if self._entries.pop(key, None) is not None:
            self._deleted[key] = self._revision
        return self._revision
