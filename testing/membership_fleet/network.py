"""Simulated links between entries."""

# ruff: noqa: D102, ARG002

from __future__ import annotations

from math import inf


class Network:
    """Links between entries; they keep the order of messages except for duplicates."""

    def __init__(self, world):
        self.world = world
        self.cut = set()
        self.slow = set()
        self.last_bad = {}
        self.last_arrival = {}
        self.duplicates = False

    def pair(self, a, b):
        return frozenset((a.identity, b.identity))

    def is_bad(self, a, b):
        seats = frozenset((a.identity.seat, b.identity.seat))
        return seats in self.cut or seats in self.slow

    def was_bad_since(self, a, b, since):
        return self.is_bad(a, b) or self.last_bad.get(self.pair(a, b), -inf) >= since

    def connect(self, a, b):
        self.last_bad[self.pair(a, b)] = self.world.now
        for one, other in ((a, b), (b, a)):
            one.perform(one.on_connected, other.identity)

    def send(self, sender, outgoing):
        for entry in self.world.entries:
            is_receiver = outgoing.seat in (None, entry.identity.seat)
            if entry is not sender and entry.is_alive and is_receiver:
                self.send_to(sender, entry, outgoing.message)

    def send_to(self, sender, entry, message):
        seats = frozenset((sender.identity.seat, entry.identity.seat))
        if seats in self.cut:
            return
        random = self.world.random
        delay = random.uniform(500, 3_000) if seats in self.slow else random.uniform(1, 5)
        key = (sender.identity, entry.identity)
        arrival = max(self.last_arrival.get(key, 0), self.world.now + delay)
        self.last_arrival[key] = arrival
        self.world.schedule(arrival - self.world.now, self.deliver, sender, entry, message)
        if self.duplicates and random.random() < 0.3:
            self.world.schedule(
                arrival - self.world.now + random.uniform(0, 4_000),
                self.deliver,
                sender,
                entry,
                message,
            )

    def deliver(self, sender, entry, message):
        entry.perform(entry.on_message, sender, message)
