"""In-process entry that sends made-up requests during a rollout."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace

import curio

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._discovery import TargetRegistration, TargetSeen
from kingcupusher._gateway.attempt import AttemptOutcome, AttemptResult
from kingcupusher._gateway.rollout_traffic import RolloutTraffic
from kingcupusher._gateway.rollouts import RolloutControl
from kingcupusher._observe.metrics_registry import Metrics
from kingcupusher._relay import LeadLink
from testing.gateway.discovery_entry import DiscoveryEntry

REQUEST_INTERVAL_S = 0.01
ELAPSED_MS = 80.0
BAD_SHARE = 0.5


def versioned_target(target_id, version):
    """Return the registration of a target that runs ``version``."""
    record = TargetRegistration(
        target_id=target_id,
        service="s",
        address=Address("127.0.0.1", 9),
        zone="a",
        slots=4,
        is_draining=False,
        cold_left_ms=0.0,
        born_unix_ms=1,
        version=version,
    )
    return TargetSeen(record)


class RolloutEntry(DiscoveryEntry):
    """The discovery and the rollout part of one entry; ``sent`` has time and version of sends."""

    bad_versions = frozenset()

    def __init__(self, name, zone, store, **options):
        super().__init__(name, zone, store, **options)
        rng = Random(name)
        self.traffic = RolloutTraffic(self.catalog, Metrics(), rng=rng)
        self.link = LeadLink(
            self.catalog,
            self.lead_server,
            entry=name,
            is_needed=lambda: self.catalog.rollout_states.needs_lead,
            on_event=self._on_event,
        )
        self.rollouts = RolloutControl(
            self.catalog,
            self.traffic,
            self.link,
            self.lead_server,
            store.client(name),
            on_event=self._on_event,
            rng=rng,
        )
        self.sent = []
        self._rng = rng
        tasks = (self.link.run, self.rollouts.run_reports, self.rollouts.run_lead, self._send)
        self._components += tuple(SimpleNamespace(run=task) for task in tasks)

    async def _send(self):
        while True:
            await curio.sleep(REQUEST_INTERVAL_S)
            targets = self.catalog.usable_targets("s")
            allowed = self.traffic.allowed("s", targets, self._rng.random())
            if allowed:
                self._send_to(self._rng.choice(allowed))

    def _send_to(self, target):
        self.sent.append((now_ms(), target.version))
        probed = SimpleNamespace(target=target)
        attempt = SimpleNamespace(probed=probed, sent_ms=0.0, ended_ms=ELAPSED_MS)
        is_bad = target.version in self.bad_versions and self._rng.random() < BAD_SHARE
        outcome = AttemptOutcome.FAILURE if is_bad else AttemptOutcome.SUCCESS
        self.traffic.on_send(attempt, is_first=True)
        self.traffic.on_result("a", AttemptResult(attempt, outcome))
