"""The simulated key-value store."""

# ruff: noqa: D102, ARG002

from __future__ import annotations

from math import inf

from kingcupusher._config import ConfigDocument
from testing.membership_fleet.model import LEASE_MS


class Store:
    """Key-value store with leases; the world controls outages and partitions."""

    def __init__(self, world):
        self.world = world
        self.revision = 0
        self.leases = {}
        self.members = {}
        self.groups = {}
        self.versions = {}
        self.publish(zones_out=[])

    @property
    def config(self):
        return self.versions[len(self.versions)]

    def publish(self, zones_out):
        version = len(self.versions) + 1
        self.versions[version] = ConfigDocument(
            version=version, services={"s": self.world.service}, zones_out=zones_out
        )

    def expire(self):
        alive = {k for k, until in self.leases.items() if self.world.now < until}
        self.members = {k: v for k, v in self.members.items() if v[1] in alive}
        self.groups = {k: v for k, v in self.groups.items() if v[1] in alive}

    def register(self, seat, boot_id):
        self.expire()
        if self.members.get(seat, (boot_id,))[0] != boot_id:
            return None
        self.revision += 1
        self.leases[self.revision] = self.world.now + LEASE_MS
        self.members[seat] = (boot_id, self.revision)
        return self.revision

    def renew(self, lease_id):
        self.expire()
        if self.world.now >= self.leases.get(lease_id, -inf):
            return False
        self.leases[lease_id] = self.world.now + LEASE_MS
        return True

    def acquire(self, group, boot_id, lease_id):
        self.expire()
        if group in self.groups or self.world.now >= self.leases.get(lease_id, -inf):
            return None
        self.revision += 1
        self.groups[group] = (boot_id, lease_id, self.revision)
        return self.revision

    def read(self):
        self.expire()
        return dict(self.members), dict(self.groups), self.config
