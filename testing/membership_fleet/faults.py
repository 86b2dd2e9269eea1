"""Faults and operator actions in a simulation."""

# ruff: noqa: D102, ARG002

from __future__ import annotations

from testing.membership_fleet.model import ORDER_LIMIT_MS


class Faults:
    """Mixin of the world: the arguments of each method select an entry and a target."""

    def kill(self, entry_index, _target_index):
        entry = self.entry_at(entry_index)
        entry.is_alive = False
        for target in self.targets.values():
            target.requests = [r for r in target.requests if r.entry is not entry]
        for other in self.entries:
            if other is not entry:
                other.perform(other.membership.on_peer_disconnected, entry.identity)

    def replace(self, entry_index, _target_index):
        if self.entry_at(entry_index).is_alive:
            self.kill(entry_index, 0)
        self.start_entry(self.entry_at(entry_index).identity.seat)

    def freeze(self, entry_index, _target_index):
        self.entry_at(entry_index).is_frozen = self.entry_at(entry_index).is_alive

    def resume(self, entry_index, _target_index):
        if self.entry_at(entry_index).is_frozen:
            self.entry_at(entry_index).resume()

    def cut_store(self, entry_index, _target_index):
        self.cut_off_seats.add(self.entry_at(entry_index).identity.seat)

    def cut_most(self, entry_index, _target_index):
        self.cut_off_seats |= {e.identity.seat for e in self.entries} - {
            self.entry_at(entry_index).identity.seat
        }

    def heal_store(self, _entry_index, _target_index):
        self.cut_off_seats.clear()
        self.store_reachable_since = self.now

    def cut_peers(self, entry_index, other_index):
        self._add_pair(self.network.cut, entry_index, other_index)

    def slow_peers(self, entry_index, other_index):
        self._add_pair(self.network.slow, entry_index, other_index)

    def isolate(self, entry_index, _target_index):
        for other in range(len(self.entries)):
            self.cut_peers(entry_index, other)

    def take_over_during_outage(self, entry_index, _target_index):
        """Reconnect one entry to the store after leases expired, isolated from the others."""
        self.stop_store(0, 0)
        self.run(4_500)
        for _ in range(20):
            self.run(100)
            if any(until <= self.now for until in self.store.leases.values()):
                break
        self.cut_most(entry_index, 0)
        self.isolate(entry_index, 0)
        self.start_store(0, 0)

    def partition(self, entry_index, _target_index):
        """Cut two entries off from the other entries and from the store."""
        pair = (entry_index, entry_index + 1)
        for one in pair:
            self.cut_store(one, 0)
            for other in range(len(self.entries)):
                if other not in [seat % len(self.entries) for seat in pair]:
                    self.cut_peers(one, other)

    def heal_peers(self, _entry_index, _target_index):
        bad = self.network.cut | self.network.slow
        self.network.cut.clear()
        self.network.slow.clear()
        for seats in bad:
            one, other = (self.entry_at(seat) for seat in seats)
            if one.is_alive and other.is_alive:
                self.network.connect(one, other)

    def _add_pair(self, pairs, entry_index, other_index):
        one, other = self.entry_at(entry_index), self.entry_at(other_index)
        if one is not other:
            pairs.add(frozenset((one.identity.seat, other.identity.seat)))

    def stop_store(self, _entry_index, _target_index):
        self.is_store_down = True

    def start_store(self, _entry_index, _target_index):
        self.is_store_down = False
        self.store_reachable_since = self.now

    def restart_target(self, _entry_index, target_index):
        self._target_at(target_index).restart()

    def restart_during_freeze(self, entry_index, target_index):
        """Resume an entry during a ramp that started without its acknowledgement."""
        self.freeze(entry_index, 0)
        self.run(700)
        self.restart_target(0, target_index)
        self.run(9_000)
        self.resume(entry_index, 0)

    def turn_cold_during_cut(self, entry_index, target_index):
        """Turn a target cold while an isolated entry still holds a grant for it."""
        target = self._target_at(target_index)
        self.isolate(entry_index, 0)
        target.turn_cold()
        self.entry_at(entry_index).paused_until[target.target_id] = self.now + 1_100

    def drain_detected_by_one(self, entry_index, target_index):
        """Drain a target while only one entry uses it."""
        target_id = self._target_at(target_index).target_id
        for entry in self.entries:
            entry.active_targets.discard(target_id)
        self.entry_at(entry_index).active_targets.add(target_id)
        self.drain_target(0, target_index)
        self.run(1_000)
        for entry in self.entries:
            entry.active_targets.add(target_id)
            entry.paused_until[target_id] = self.now + ORDER_LIMIT_MS

    def turn_target_cold(self, _entry_index, target_index):
        self._target_at(target_index).turn_cold()

    def drain_target(self, _entry_index, target_index):
        self._target_at(target_index).drain()

    def toggle_zone(self, _entry_index, target_index):
        if self.is_store_down or len(self.cut_off_seats) == len(self.entries):
            return
        zone = self._target_at(target_index).zone
        if zone in self.zone_out_since:
            del self.zone_out_since[zone]
        else:
            self.zone_out_since[zone] = self.now
        self.store.publish(zones_out=sorted(self.zone_out_since))

    def toggle_duplicates(self, _entry_index, _target_index):
        self.network.duplicates = not self.network.duplicates

    def _target_at(self, target_index):
        return list(self.targets.values())[target_index % len(self.targets)]
