"""Faults and orders that a property plays."""

# ruff: noqa: D102, ARG002

from __future__ import annotations

from testing.membership_fleet.model import ORDER_LIMIT_MS


class Faults:
    """Mixin of the world: each method takes two numbers that choose an entry and a target."""

    def kill(self, a, _b):
        entry = self.at(a)
        entry.is_alive = False
        for target in self.targets.values():
            target.requests = [r for r in target.requests if r.entry is not entry]
        for other in self.entries:
            if other is not entry:
                other.do(other.membership.on_peer_disconnected, entry.identity)

    def replace(self, a, _b):
        if self.at(a).is_alive:
            self.kill(a, 0)
        self.start_entry(self.at(a).identity.seat)

    def freeze(self, a, _b):
        self.at(a).is_frozen = self.at(a).is_alive

    def resume(self, a, _b):
        if self.at(a).is_frozen:
            self.at(a).resume()

    def cut_store(self, a, _b):
        self.cut_off.add(self.at(a).identity.seat)

    def cut_most(self, a, _b):
        self.cut_off |= {e.identity.seat for e in self.entries} - {self.at(a).identity.seat}

    def reach_store(self, _a, _b):
        self.cut_off.clear()
        self.reached_since = self.now

    def cut_peers(self, a, b):
        self._spoil(self.network.cut, a, b)

    def slow_peers(self, a, b):
        self._spoil(self.network.slow, a, b)

    def isolate(self, a, _b):
        for other in range(len(self.entries)):
            self.cut_peers(a, other)

    def take_over_during_outage(self, a, _b):
        """Let one entry reach the store again when leases have ended, cut off from the others."""
        self.stop_store(0, 0)
        self.run(4_500)
        for _ in range(20):
            self.run(100)
            if any(until <= self.now for until in self.store.leases.values()):
                break
        self.cut_most(a, 0)
        self.isolate(a, 0)
        self.start_store(0, 0)

    def partition(self, a, _b):
        """Cut two neighbours off from the other entries and from the store."""
        pair = (a, a + 1)
        for one in pair:
            self.cut_store(one, 0)
            for other in range(len(self.entries)):
                if other not in [seat % len(self.entries) for seat in pair]:
                    self.cut_peers(one, other)

    def heal_peers(self, _a, _b):
        bad = self.network.cut | self.network.slow
        self.network.cut.clear()
        self.network.slow.clear()
        for seats in bad:
            one, other = (self.at(seat) for seat in seats)
            if one.is_alive and other.is_alive:
                self.network.connect(one, other)

    def _spoil(self, spoiled, a, b):
        one, other = self.at(a), self.at(b)
        if one is not other:
            spoiled.add(frozenset((one.identity.seat, other.identity.seat)))

    def stop_store(self, _a, _b):
        self.is_store_down = True

    def start_store(self, _a, _b):
        self.is_store_down = False
        self.reached_since = self.now

    def restart_target(self, _a, b):
        self._target(b).restart()

    def restart_during_freeze(self, a, b):
        """Resume an entry while the coordinator, which waited for it in vain, ramps."""
        self.freeze(a, 0)
        self.run(700)
        self.restart_target(0, b)
        self.run(9_000)
        self.resume(a, 0)

    def chill_during_cut(self, a, b):
        """Turn a target cold while an entry that is cut off still holds a grant for it."""
        target = self._target(b)
        self.isolate(a, 0)
        target.turn_cold()
        self.at(a).paused_until[target.target_id] = self.now + 1_100

    def drain_seen_by_one(self, a, b):
        """Drain a target while only one entry uses it."""
        target_id = self._target(b).target_id
        for entry in self.entries:
            entry.busy.discard(target_id)
        self.at(a).busy.add(target_id)
        self.drain_target(0, b)
        self.run(1_000)
        for entry in self.entries:
            entry.busy.add(target_id)
            entry.paused_until[target_id] = self.now + ORDER_LIMIT_MS

    def chill_target(self, _a, b):
        self._target(b).turn_cold()

    def drain_target(self, _a, b):
        self._target(b).drain()

    def toggle_zone(self, _a, b):
        if self.is_store_down or len(self.cut_off) == len(self.entries):
            return
        zone = self._target(b).zone
        if zone in self.zone_out_since:
            del self.zone_out_since[zone]
        else:
            self.zone_out_since[zone] = self.now
        self.store.publish(zones_out=sorted(self.zone_out_since))

    def toggle_repeats(self, _a, _b):
        self.network.repeats = not self.network.repeats

    def _target(self, b):
        return list(self.targets.values())[b % len(self.targets)]
