"""A simulated target."""

# ruff: noqa: D102, ARG002

from __future__ import annotations

from math import inf

from testing.membership_fleet.model import WARMING_MS, Report


class Target:
    """Target that must not get more than a few concurrent requests while it is cold."""

    def __init__(self, world, target_id, zone, lag_ms):
        self.world = world
        self.target_id = target_id
        self.zone = zone
        self.lag_ms = lag_ms
        self.boot = 1
        self.cold_since = -inf
        self.warm_at = -inf
        self.draining_since = inf
        self.first_drain_sign = None
        # After this time no open grant from before the cold start may be in use.
        self.grants_ended_at = inf
        self.requests = []
        self.last_probe = -inf

    @property
    def is_cold(self):
        return self.world.now < self.warm_at

    def report(self):
        """Return a load report of the current process with a state that lags by ``lag_ms``."""
        then = self.world.now - self.lag_ms
        state = "cold" if self.cold_since <= then < self.warm_at else "warm"
        if self.world.now >= self.draining_since:
            state = "draining"
        return Report(state, str(self.boot))

    def turn_cold(self):
        self.cold_since = self.world.now
        self.warm_at = inf
        self.grants_ended_at = inf

    def restart(self):
        self.boot += 1
        self.turn_cold()
        self.draining_since = inf
        self.first_drain_sign = None
        lost, self.requests = self.requests, []
        for request in lost:
            self.world.schedule(1, request.entry.on_connection_reset, self, request)

    def drain(self):
        self.draining_since = min(self.draining_since, self.world.now)

    def serve(self, request):
        if self.world.now >= self.draining_since:
            self.world.schedule(1, request.entry.on_refusal, self, request, self.report())
            return
        # Only requests warm a target up.
        self.warm_at = min(self.warm_at, self.world.now + WARMING_MS)
        self.requests.append(request)
        self.world.schedule(self.world.random.randint(20, 80), self.finish, request)

    def finish(self, request):
        if request in self.requests:
            self.requests.remove(request)
            self.world.schedule(1, request.entry.on_response, self, request, self.report())
