"""The target groups that this entry coordinates (docs/design.md 4.2)."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from kingcupusher._membership.bounds import (
    ACTIVE_PEER_WINDOW_MS,
    OUTAGE_REPORT_AGE_MS,
    TAKEOVER_DELAY_MS,
)
from kingcupusher._membership.confirmation import ConfigConfirmation
from kingcupusher._membership.groups import validate_group
from kingcupusher._membership.peers import PeerRegistry
from kingcupusher._membership.registered_entries import RegisteredEntries


@dataclass(slots=True)
class _HeldGroup:
    term: int
    active_from_ms: float


class CoordinatorRole:
    """Decides for which groups this entry is the active coordinator.

    The lease deadline counts from before the renewal was sent, so the lease expires here before
    it expires at the key-value service.
    """

    __slots__ = ("_confirmation", "_held_groups", "_peers", "_registered", "lease_expires_ms")

    def __init__(
        self, peers: PeerRegistry, registered: RegisteredEntries, confirmation: ConfigConfirmation
    ) -> None:
        self._peers = peers
        self._registered = registered
        self._confirmation = confirmation
        self._held_groups: dict[int, _HeldGroup] = {}
        self.lease_expires_ms = -inf

    def on_lease(self, *, until_ms: float) -> None:
        """Record a grant or renewal of the entry's lease."""
        self.lease_expires_ms = max(self.lease_expires_ms, until_ms)

    def on_lease_lost(self) -> None:
        """Record the end of the lease, which also deletes all keys attached to it."""
        self.lease_expires_ms = -inf
        self._held_groups.clear()

    def on_group_acquired(self, group: int, *, term: int, now_ms: float) -> None:
        """Record that the key of ``group`` was written; ``term`` is its revision."""
        self._held_groups[validate_group(group)] = _HeldGroup(term, now_ms + TAKEOVER_DELAY_MS)

    def on_group_lost(self, group: int) -> None:
        """Record that the key of ``group`` is free or held by another entry."""
        self._held_groups.pop(group, None)

    def term_of(self, group: int) -> int:
        """Return the term of a held group."""
        return self._held_groups[group].term

    def active_groups(self, *, now_ms: float) -> frozenset[int]:
        """Return the groups for which this entry is the active coordinator now."""
        if now_ms >= self.active_until_ms(now_ms=now_ms):
            return frozenset()
        return frozenset(g for g, h in self._held_groups.items() if now_ms >= h.active_from_ms)

    def is_active_for(self, group: int, *, now_ms: float) -> bool:
        """Return whether this entry is the active coordinator of ``group`` now."""
        held_group = self._held_groups.get(group)
        if held_group is None or now_ms < held_group.active_from_ms:
            return False
        return now_ms < self.active_until_ms(now_ms=now_ms)

    def active_until_ms(self, *, now_ms: float) -> float:
        """Return when this entry ceases to be an active coordinator."""
        if now_ms < self.lease_expires_ms:
            return self.lease_expires_ms
        return self._outage_active_until_ms(now_ms)

    def _outage_active_until_ms(self, now_ms: float) -> float:
        """Return until when no other entry can have taken over after the lease expired.

        All registered entries must have been heard recently, must report the service as
        unreachable, and must have had no response from it since the lease may have expired:
        otherwise one of them could hold a key of this entry. The same holds for entries that are
        heard without a registration and for those whose registration ended recently.
        """
        if self.lease_expires_ms == -inf or self._confirmation.is_platform_reachable(now_ms=now_ms):
            return -inf
        reports = self._peers.reports(since_ms=now_ms - ACTIVE_PEER_WINDOW_MS)
        heard = {report.sender for report in reports.values()}
        if not self._registered.others(now_ms=now_ms) <= heard:
            return -inf
        if any(
            report.platform_reachable or report.last_platform_response_ms > self.lease_expires_ms
            for report in reports.values()
        ):
            return -inf
        return min((r.as_of_ms for r in reports.values()), default=now_ms) + OUTAGE_REPORT_AGE_MS
