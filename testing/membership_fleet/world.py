"""Virtual time and the components of the simulated fleet."""

# ruff: noqa: D102, ARG002

from __future__ import annotations

import heapq
from collections import Counter
from itertools import count
from math import inf
from random import Random

from kingcupusher._config import Service, TargetLimits
from kingcupusher._membership import group_of
from testing.membership_fleet.checks import Checks
from testing.membership_fleet.entry import Entry
from testing.membership_fleet.faults import Faults
from testing.membership_fleet.model import SLOTS, VM_LIST_LAG_MS, Vm
from testing.membership_fleet.network import Network
from testing.membership_fleet.store import Store
from testing.membership_fleet.target import Target


class World(Faults, Checks):
    """Event loop in virtual time with all components, faults and checks."""

    def __init__(self, *, entries, seed, lag_ms=0, toggle_probability=0.08, probes_per_s=0.5):
        """``toggle_probability`` is the chance that traffic to a target starts or pauses."""
        self.toggle_probability = toggle_probability
        self.probes_per_s = probes_per_s
        limits = TargetLimits(warmup_ms=1_000, probes_per_s=probes_per_s, slots=SLOTS)
        self.service = Service(name="s", team="t", hosts=["s"], target=limits)
        self.random = Random(seed)
        self.now = 0.0
        self.sequence = count()
        self.events = []
        self.is_store_down = False
        self.cut_off_seats = set()
        self.store_reachable_since = -inf
        self.zone_out_since = {}
        self.store = Store(self)
        self.targets = {
            name: Target(self, name, zone, lag_ms)
            for name, zone in (("t1", "z1"), ("t2", "z2"), ("t4", "z2"))
        }
        self.groups = sorted({group_of(target_id) for target_id in self.targets})
        self.network = Network(self)
        self.entries = []
        self.sent = Counter()
        self.boot_ids = count(100)
        for seat in range(entries):
            self.start_entry(seat)

    # -- time

    def schedule(self, delay, action, *arguments):
        heapq.heappush(self.events, (self.now + delay, next(self.sequence), action, arguments))

    def run(self, duration):
        end = self.now + duration
        while self.events and self.events[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now = end

    # -- components

    def start_entry(self, seat):
        entry = Entry(self, seat, next(self.boot_ids))
        self.entries = [e for e in self.entries if e.identity.seat != seat]
        for other in self.entries:
            if other.is_alive and not self.network.is_bad(entry, other):
                self.network.connect(entry, other)
        self.entries.append(entry)

    def entry_at(self, seat):
        return next(e for e in self.entries if e.identity.seat == seat % len(self.entries))

    def reaches_store(self, entry):
        return not self.is_store_down and entry.identity.seat not in self.cut_off_seats

    def list_vms(self):
        return [
            Vm(
                t.target_id,
                t.zone,
                "leaving" if self.now >= t.draining_since + VM_LIST_LAG_MS else "live",
            )
            for t in self.targets.values()
        ]

    def record_drain_sign(self, target, entry):
        if target.first_drain_sign is None:
            target.first_drain_sign = (self.now, entry)
