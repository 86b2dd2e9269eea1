"""Which target groups this entry may act for (page 4.2)."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from kingcupusher._membership.bounds import HEARD_MS, OUTAGE_REPORT_MS, TAKEOVER_MS
from kingcupusher._membership.confirmation import ConfigConfirmation
from kingcupusher._membership.fleet import Fleet
from kingcupusher._membership.groups import check_group
from kingcupusher._membership.peers import PeerBook


@dataclass(slots=True)
class _Holding:
    term: int
    act_from_ms: float


class CoordinatorRole:
    """Decides from the entry's lease and the reports of its peers.

    The deadline of the lease counts from before the renewal was sent, so it ends here before it
    ends at the service.
    """

    __slots__ = ("_confirmation", "_fleet", "_holdings", "_peers", "lease_until_ms")

    def __init__(self, peers: PeerBook, fleet: Fleet, confirmation: ConfigConfirmation) -> None:
        self._peers = peers
        self._fleet = fleet
        self._confirmation = confirmation
        self._holdings: dict[int, _Holding] = {}
        self.lease_until_ms = -inf

    def on_lease(self, *, until_ms: float) -> None:
        """Note a grant or renewal of the entry's lease."""
        self.lease_until_ms = max(self.lease_until_ms, until_ms)

    def on_lease_lost(self) -> None:
        """Note that the lease ended; all keys attached to it are gone."""
        self.lease_until_ms = -inf
        self._holdings.clear()

    def on_acquired(self, group: int, *, term: int, now_ms: float) -> None:
        """Note that the key of ``group`` was written; ``term`` is its revision."""
        self._holdings[check_group(group)] = _Holding(term, now_ms + TAKEOVER_MS)

    def on_lost(self, group: int) -> None:
        """Note that the key of ``group`` belongs to nobody or to another entry."""
        self._holdings.pop(group, None)

    def term_of(self, group: int) -> int:
        """Return the term of a held group."""
        return self._holdings[group].term

    def acting(self, *, now_ms: float) -> frozenset[int]:
        """Return the groups that this entry may act for now."""
        if now_ms >= self.until_ms(now_ms=now_ms):
            return frozenset()
        return frozenset(g for g, h in self._holdings.items() if now_ms >= h.act_from_ms)

    def acts_for(self, group: int, *, now_ms: float) -> bool:
        """Return whether this entry may act for ``group`` now."""
        holding = self._holdings.get(group)
        if holding is None or now_ms < holding.act_from_ms:
            return False
        return now_ms < self.until_ms(now_ms=now_ms)

    def until_ms(self, *, now_ms: float) -> float:
        """Return the instant at which the permission to act ends."""
        if now_ms < self.lease_until_ms:
            return self.lease_until_ms
        return self._outage_until_ms(now_ms)

    def _outage_until_ms(self, now_ms: float) -> float:
        """Return until when nobody can have taken over after the lease ended.

        All registered entries must have been heard, must report the service as unreachable, and
        must have had no response from it since the lease may have ended: one that had could hold
        a key of this entry. An entry that is heard without being registered, or whose
        registration ended lately, counts in the same way.
        """
        if self.lease_until_ms == -inf or self._confirmation.is_platform_reachable(now_ms=now_ms):
            return -inf
        reports = self._peers.reports(since_ms=now_ms - HEARD_MS)
        heard = {report.sender for report in reports.values()}
        if not self._fleet.others(now_ms=now_ms) <= heard:
            return -inf
        if any(
            report.platform_reachable or report.last_contact_ms > self.lease_until_ms
            for report in reports.values()
        ):
            return -inf
        return min((r.as_of_ms for r in reports.values()), default=now_ms) + OUTAGE_REPORT_MS
