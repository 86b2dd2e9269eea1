"""Checks of the requirements during a simulation."""

# ruff: noqa: D102, ARG002

from __future__ import annotations

from math import inf

from kingcupusher._membership import PermissionKind
from testing.membership_fleet.model import COLD_CONCURRENCY, ORDER_LIMIT_MS, REPORT_LIMIT_MS


class ViolationError(AssertionError):
    """A requirement was violated."""


class Checks:
    """Mixin of the world: a violated requirement raises :class:`ViolationError`."""

    def check_coordinators(self):
        for group in self.groups:
            acting = [
                e
                for e in self.entries
                if e.is_running and e.membership.coordinator_role.is_active_for(group, now_ms=e.now)
            ]
            if len(acting) > 1 and not self._is_isolated_newcomer(*acting[:2]):
                names = [e.identity for e in acting]
                raise ViolationError(
                    f"group {group} has the coordinators {names} at {self.now:.0f}"
                )

    def _is_isolated_newcomer(self, one, other):
        """Return whether one joined after the other lost the store, without a link between them."""
        first, last = sorted((one, other), key=lambda e: e.last_response_at)
        since = self.now - REPORT_LIMIT_MS
        is_new = last.identity not in first.known_ids
        return is_new and self.network.was_bad_since(first, last, since)

    def check_send(self, entry, target, kind):
        self.sent[entry.identity.seat, target.target_id] += 1
        self._check_zone(entry, target)
        self._check_leaving(entry, target)
        self._check_cold(entry, target, kind)

    def _check_zone(self, entry, target):
        since = self.zone_out_since.get(target.zone, inf)
        if self.now > since + ORDER_LIMIT_MS and self._could_have_orders(entry):
            raise ViolationError(
                f"{entry.identity} sent to {target.target_id} in a zone taken out at {since}"
            )

    def _could_have_orders(self, entry):
        """Return False in the residual case that docs/design.md documents.

        Most entries are cut off from the store, and those that have the zone order are cut off
        from them.
        """
        if self.reaches_store(entry) and self.now > self.store_reachable_since + ORDER_LIMIT_MS:
            return True
        if entry.config is self.store.config or not self._are_most_cut_off(entry):
            return True
        return any(
            other.is_running
            and other.config is self.store.config
            and self.now > other.config_at + REPORT_LIMIT_MS
            and not self.network.was_bad_since(entry, other, self.now - ORDER_LIMIT_MS)
            for other in self.entries
            if other is not entry
        )

    def _are_most_cut_off(self, entry):
        """Return whether most of its registered entries are, or were recently, cut off."""
        if self.now <= self.store_reachable_since + ORDER_LIMIT_MS:
            return True
        seats = {identity.seat for identity in entry.registered}
        return self.is_store_down or len(seats & self.cut_off_seats) > len(seats) // 2

    def _check_leaving(self, entry, target):
        since, observer = target.first_drain_sign or (inf, None)
        if self.now <= since + ORDER_LIMIT_MS:
            return
        # Without a link to the observer, an entry may get the drain from the VM list only.
        if observer is entry or not self.network.was_bad_since(observer, entry, since):
            raise ViolationError(
                f"{entry.identity} sent to {target.target_id}, draining since {since} as seen by "
                f"{observer.identity}, at {self.now:.0f}"
            )

    def _check_cold(self, entry, target, kind):
        if not target.is_cold:
            return
        has_closed = entry.closed_at[target.target_id] >= target.cold_since
        if kind is PermissionKind.RAMP and has_closed and target.grants_ended_at == inf:
            target.grants_ended_at = self.now
        in_flight = [r for r in target.requests if r.sent_at >= target.grants_ended_at]
        if target.grants_ended_at < inf and len(in_flight) >= COLD_CONCURRENCY:
            raise ViolationError(
                f"{entry.identity} sent by {kind} to {target.target_id} at {self.now:.0f}, cold "
                f"since {target.cold_since:.0f}, with requests of "
                f"{[r.entry.identity for r in in_flight]}"
            )

    def check_probe(self, target):
        if self.now < target.last_probe + 1_000.0 / self.probes_per_s - 1e-6:
            raise ViolationError(f"{target.target_id} was probed twice within the interval")
        target.last_probe = self.now
