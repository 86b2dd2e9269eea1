"""VM list that shows each change only after a lag."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class VmState(Enum):
    """Whether a VM serves or is about to be removed."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(Struct, frozen=True, forbid_unknown_fields=True):
    """One VM as the platform lists it."""

    vm_id: str
    zone: str
    service: str
    address: str
    state: VmState = VmState.LIVE


class _Version(Struct, frozen=True):
    visible_ms: float
    vms: list[Vm]


class LaggingVmList:
    """The VM list as callers see it, ``lag_ms`` behind what was set."""

    __slots__ = ("_lag_ms", "_versions")

    def __init__(self, *, lag_ms: float) -> None:
        self._lag_ms = lag_ms
        self._versions = [_Version(float("-inf"), [])]

    def set(self, vms: list[Vm], *, now_ms: float) -> None:
        """Replace the list; callers see it after the lag."""
        self._versions.append(_Version(now_ms + self._lag_ms, vms))

    def latest(self) -> list[Vm]:
        """Return the list that was set last."""
        return self._versions[-1].vms

    def visible(self, *, now_ms: float) -> list[Vm]:
        """Return the list that callers see at ``now_ms``."""
        while len(self._versions) > 1 and self._versions[1].visible_ms <= now_ms:
            del self._versions[0]
        return self._versions[0].vms
