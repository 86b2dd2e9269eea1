"""Shares of one entry in the load probes that targets take from all entries together."""

from __future__ import annotations

from msgspec import Struct


class ProbeShares(Struct, frozen=True):
    """Probes a second that one entry may send to one target, and to all targets of a service."""

    per_target_per_s: float
    per_service_per_s: float


def probe_shares(per_s: float, *, entries: int, targets: int, near_count: int) -> ProbeShares:
    """Return the shares of an entry if each of ``targets`` takes ``per_s`` probes a second.

    An entry prefers ``near_count`` of the targets, so that in a large fleet a target is near to a
    part of the entries only. These divide its rate; the share in the sum over all targets bounds
    what the entries send if they prefer other targets than expected.
    """
    entries = max(1, entries)
    users = entries * min(1.0, near_count / max(1, targets))
    return ProbeShares(per_s / max(1.0, users), per_s * targets / entries)
