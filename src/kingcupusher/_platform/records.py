"""Records that the services of the platform return."""

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
    """Result of a watch: the last revision under the prefix and, if it changed, all values."""

    revision: int
    changed: bool
    values: list[VersionedValue]


class Lease(Struct, frozen=True):
    """A lease that is guaranteed to exist until ``deadline_ms`` on the monotonic clock.

    The time to live counts from before the grant or renewal was sent, so that the deadline is
    never later than the time at which the service ends the lease.
    """

    lease_id: str
    deadline_ms: float


class VmState(Enum):
    """Whether a VM is in service or about to be removed."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRecord(Struct, frozen=True):
    """One VM of the VM list."""

    vm_id: str
    zone: str
    service: str
    address: Address
    state: VmState
