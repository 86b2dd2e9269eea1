"""Checks of the requirements while the fleet runs."""

# ruff: noqa: D102, ARG002

from __future__ import annotations

from math import inf

from kingcupusher._membership import PermissionKind
from testing.membership_fleet.model import COLD_CONCURRENCY, ORDER_LIMIT_MS, REPORT_LIMIT_MS


class ViolationError(AssertionError):
    """A requirement was broken."""


class Checks:
    """Mixin of the world: a broken requirement raises :class:`ViolationError`."""

    def check_coordinators(self):
        for group in self.groups:
            acting = [
                e
                for e in self.entries
                if e.runs and e.membership.coordinator_role.is_active_for(group, now_ms=e.now)
            ]
            if len(acting) > 1 and not self._is_one_unknown(*acting[:2]):
                names = [e.identity for e in acting]
                raise ViolationError(
                    f"group {group} has the coordinators {names} at {self.now:.0f}"
                )

    def _is_one_unknown(self, one, other):
        """Return whether one joined after the other lost the store, and is cut off from it."""
        first, last = sorted((one, other), key=lambda e: e.contact_at)
        since = self.now - REPORT_LIMIT_MS
        is_new = last.identity not in first.known
        return is_new and self.network.was_bad_since(first, last, since)

    def check_send(self, entry, target, kind):
        self.sent[entry.identity.seat, target.target_id] += 1
        self._check_zone(entry, target)
        self._check_leaving(entry, target)
        self._check_cold(entry, target, kind)

    def _check_zone(self, entry, target):
        since = self.zone_out_since.get(target.zone, inf)
        if self.now > since + ORDER_LIMIT_MS and self._could_know_orders(entry):
            raise ViolationError(
                f"{entry.identity} sent to {target.target_id} in a zone out at {since}"
            )

    def _could_know_orders(self, entry):
        """Return False in the residual case that the design page documents.

        Most entries are cut off from the store, and whoever knows the order from them.
        """
        if self.reaches_store(entry) and self.now > self.reached_since + ORDER_LIMIT_MS:
            return True
        if entry.config is self.store.config or not self._are_most_cut_off(entry):
            return True
        return any(
            other.runs
            and other.config is self.store.config
            and self.now > other.config_at + REPORT_LIMIT_MS
            and not self.network.was_bad_since(entry, other, self.now - ORDER_LIMIT_MS)
            for other in self.entries
            if other is not entry
        )

    def _are_most_cut_off(self, entry):
        """Return whether most entries that this one knows are cut off, or were until lately."""
        if self.now <= self.reached_since + ORDER_LIMIT_MS:
            return True
        seats = {identity.seat for identity in entry.registered}
        return self.is_store_down or len(seats & self.cut_off) > len(seats) // 2

    def _check_leaving(self, entry, target):
        since, seer = target.first_sign or (inf, None)
        if self.now <= since + ORDER_LIMIT_MS:
            return
        # An entry that the first one could not reach may learn of it from the VM list only.
        if seer is entry or not self.network.was_bad_since(seer, entry, since):
            raise ViolationError(
                f"{entry.identity} sent to {target.target_id}, leaving since {since} as seen by "
                f"{seer.identity}, at {self.now:.0f}"
            )

    def _check_cold(self, entry, target, kind):
        if not target.is_cold:
            return
        is_informed = entry.closed_at[target.target_id] >= target.cold_since
        if kind is PermissionKind.RAMP and is_informed and target.grants_ended == inf:
            target.grants_ended = self.now
        present = [r for r in target.requests if r.sent_at >= target.grants_ended]
        if target.grants_ended < inf and len(present) >= COLD_CONCURRENCY:
            raise ViolationError(
                f"{entry.identity} sent by {kind} to {target.target_id} at {self.now:.0f}, cold "
                f"since {target.cold_since:.0f}, with work of {[r.entry.identity for r in present]}"
            )

    def check_probe(self, target):
        if self.now < target.last_probe + 1_000.0 / self.probes_per_s - 1e-6:
            raise ViolationError(f"{target.target_id} was probed twice within the interval")
        target.last_probe = self.now
