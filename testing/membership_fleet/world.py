"""Virtual time and the parts of the simulated fleet."""

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
from testing.membership_fleet.model import SLOTS, VM_LAG_MS, Vm
from testing.membership_fleet.network import Network
from testing.membership_fleet.store import Store
from testing.membership_fleet.target import Target


class World(Faults, Checks):
    """Virtual time, the parts of the fleet, and the checks of the requirements."""

    def __init__(self, *, entries, seed, lag_ms=0, pace=0.08, probes_per_s=0.5):
        """``pace`` is how often traffic of an entry to a target starts and pauses."""
        self.pace = pace
        self.probes_per_s = probes_per_s
        limits = TargetLimits(warmup_ms=1_000, probes_per_s=probes_per_s, slots=SLOTS)
        self.service = Service(name="s", team="t", hosts=["s"], target=limits)
        self.random = Random(seed)
        self.now = 0.0
        self.order = count()
        self.heap = []
        self.is_store_down = False
        self.cut_off = set()
        self.reached_since = -inf
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

    def later(self, delay, action, *arguments):
        heapq.heappush(self.heap, (self.now + delay, next(self.order), action, arguments))

    def run(self, duration):
        end = self.now + duration
        while self.heap and self.heap[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self.heap)
            action(*arguments)
        self.now = end

    # -- parts

    def start_entry(self, seat):
        entry = Entry(self, seat, next(self.boot_ids))
        self.entries = [e for e in self.entries if e.identity.seat != seat]
        for other in self.entries:
            if other.is_alive and not self.network.is_bad(entry, other):
                self.network.connect(entry, other)
        self.entries.append(entry)

    def at(self, seat):
        return next(e for e in self.entries if e.identity.seat == seat % len(self.entries))

    def reaches_store(self, entry):
        return not self.is_store_down and entry.identity.seat not in self.cut_off

    def list_vms(self):
        return [
            Vm(
                t.target_id,
                t.zone,
                "leaving" if self.now >= t.draining_since + VM_LAG_MS else "live",
            )
            for t in self.targets.values()
        ]

    def note_sign(self, target, entry):
        if target.first_sign is None:
            target.first_sign = (self.now, entry)
