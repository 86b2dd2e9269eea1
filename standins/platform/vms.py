"""VM list that shows changes after a delay."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class VmState(Enum):
    """Whether a VM serves or is about to be removed."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(Struct, frozen=True, forbid_unknown_fields=True):
    """One item of the VM list."""

    vm_id: str
    zone: str
    service: str
    address: str
    state: VmState = VmState.LIVE


class _Version(Struct, frozen=True):
    visible_at_ms: float
    vms: list[Vm]


class LaggingVmList:
    """VM list whose changes become visible to callers after ``lag_ms``."""

    __slots__ = ("_lag_ms", "_versions")

    def __init__(self, *, lag_ms: float) -> None:
        self._lag_ms = lag_ms
        self._versions = [_Version(float("-inf"), [])]

    def set(self, vms: list[Vm], *, now_ms: float) -> None:
        """Replace the list; callers see the change after the lag."""
        self._versions.append(_Version(now_ms + self._lag_ms, vms))

    def latest(self) -> list[Vm]:
        """Return the list that was set last."""
        return self._versions[-1].vms

    def visible(self, *, now_ms: float) -> list[Vm]:
        """Return the list that is visible to callers at ``now_ms``."""
        while len(self._versions) > 1 and self._versions[1].visible_at_ms <= now_ms:
            del self._versions[0]
        return self._versions[0].vms
