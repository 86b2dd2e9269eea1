"""What the platform's services return."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from kingcupusher._core.address import Address


class VersionedValue(Struct, frozen=True):
    """A value of the key-value service with the revision of its last change."""

    key: str
    value: bytes
    revision: int
    lease_id: str | None = None


class WatchResult(Struct, frozen=True):
    """What a watch saw: the last revision under the prefix and, if it changed, all its values."""

    revision: int
    changed: bool
    values: list[VersionedValue]


class Lease(Struct, frozen=True):
    """A lease that certainly exists until ``deadline_ms`` on the monotonic clock.

    The deadline counts from before the grant or renewal was sent, so that it never lies after
    the instant at which the service ends the lease.
    """

    lease_id: str
    deadline_ms: float


class VmState(Enum):
    """Whether a VM serves or is about to be removed."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRecord(Struct, frozen=True):
    """One VM of the VM list."""

    vm_id: str
    zone: str
    service: str
    address: Address
    state: VmState
