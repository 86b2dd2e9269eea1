"""Model of one rollout without a network: a fleet, its reports and the lead, in steps of 50 ms."""

from __future__ import annotations

from collections import deque

from msgspec import Struct

from kingcupusher._discovery import RolloutPhase
from kingcupusher._discovery.rollout_states import ASSUMED_ORDER_AGE_MS
from kingcupusher._limits.rollout_ledger import EntryCounts, RolloutLedger, RouteOutcomes
from kingcupusher._limits.rollout_phases import Evidence, decide
from kingcupusher._routing.version_choice import VersionRule, choose_targets

STEP_MS = 50.0
REPORT_MS = 1_000.0
START_MS, COLD_MS, WORK_MS = 1_000.0, 3_000.0, 85.0
ROLLBACK_MS = 5_000.0
ORDER_SEEN_MS = 400.0


class Version(Struct, kw_only=True):
    """How a version responds; faults affect ``faulty`` of the responses on ``fault_route``."""

    failing: float = 0.0
    slow: float = 0.0
    faulty: float = 0.0
    slowdown: float = 1.0
    from_ms: float = 0.0
    fault_route: str = ""


class Machine(Struct):
    """A target of the model."""

    target_id: str
    version: str
    warm_at_ms: float


class RolloutModel:
    """Runs one order; ``phases`` are the times of the writes, counted from the order."""

    def __init__(self, rng, *, old, new, per_s, targets=26, entries=129, duration_ms=12_000.0):
        self.rng = rng
        self.versions = {"v1": old, "v2": new}
        self.per_s = per_s
        self.duration_ms = duration_ms
        self.machines = [Machine(f"old{i}", "v1", 0.0) for i in range(targets)]
        self.machines += [Machine(f"new{i}", "v2", START_MS + COLD_MS) for i in range(targets)]
        self.counts = [EntryCounts() for _ in range(entries)]
        self.offsets_ms = [rng.uniform(0.0, REPORT_MS) for _ in range(entries)]
        self.delays_ms = [rng.uniform(50.0, 800.0) for _ in range(entries)]
        self.ledger = RolloutLedger()
        self.phases = []
        self.arrivals = deque()
        self.bad_ms, self.new_ms, self.requests = [], [], 0

    def run(self):
        """Run until 6 s after the deadline, or until the end of the rollout is in force."""
        now_ms = ORDER_SEEN_MS
        self.phases.append((RolloutPhase.TRIAL, now_ms))
        while now_ms < self.duration_ms + ROLLBACK_MS and not self._is_over(now_ms):
            now_ms += STEP_MS
            for _ in range(self._arrivals()):
                self._request(now_ms)
            self._report(now_ms)
            self._decide(now_ms)
        return self

    @property
    def final_phase(self):
        """The last phase written."""
        return self.phases[-1][0]

    def late_requests(self):
        """Return how many requests the new version got later than 5 s after its 50th bad one."""
        if len(self.bad_ms) < 50:
            return 0
        limit_ms = sorted(self.bad_ms)[49] + ROLLBACK_MS
        return sum(sent_ms > limit_ms for sent_ms in self.new_ms)

    def excess_exposure(self):
        """Return by how much the new version got more requests than a bad one may."""
        expected = self.per_s * self.duration_ms / 1_000.0
        return len(self.new_ms) - (0.1 * expected + 50.0)

    def _is_over(self, now_ms):
        phase, written_ms = self.phases[-1]
        return phase.is_final and now_ms > written_ms + 2_000.0

    def _arrivals(self):
        mean = self.per_s * STEP_MS / 1_000.0
        return int(mean) + (self.rng.random() < mean - int(mean))

    def _request(self, now_ms):
        entry = self.rng.randrange(len(self.counts))
        phase, seen_ms = next(
            ((p, ms) for p, ms in reversed(self.phases) if ms + self.delays_ms[entry] <= now_ms),
            (None, now_ms),
        )
        rule = VersionRule(
            service="s",
            target_version="v2",
            phase=phase,
            phase_age_ms=now_ms - seen_ms - self.delays_ms[entry],
        )
        usable = [m for m in self.machines if m.version == "v1" or now_ms > START_MS + 400.0]
        allowed = choose_targets(usable, rule, draw=self.rng.random(), now_ms=now_ms)
        machine = self.rng.choice(allowed)
        self._respond(self.counts[entry], machine, now_ms)

    def _respond(self, counts, machine, now_ms):
        rng, version = self.rng, self.versions[machine.version]
        route = rng.choice(("a", "a", "b"))
        is_new = machine.version == "v2"
        is_failing, elapsed_ms = rng.random() < version.failing, rng.lognormvariate(4.4, 0.3)
        if rng.random() < version.slow:
            elapsed_ms *= 4.0
        on_route = version.fault_route in ("", route)
        if on_route and now_ms >= version.from_ms and rng.random() < version.faulty:
            is_failing = is_failing or version.slowdown == 1.0
            elapsed_ms *= version.slowdown
            self.bad_ms.append(now_ms + elapsed_ms)
        counts.requests += 1
        counts.exposed += is_new
        self.requests += 1
        if is_new:
            self.new_ms.append(now_ms)
        outcomes = counts.routes.setdefault(route, RouteOutcomes())
        chosen = outcomes.new if is_new else outcomes.old
        self.arrivals.append((now_ms + elapsed_ms, chosen, elapsed_ms, is_failing))

    def _report(self, now_ms):
        for arrival in [a for a in self.arrivals if a[0] <= now_ms]:
            self.arrivals.remove(arrival)
            arrival[1].add(arrival[2], is_failure=arrival[3])
        for entry, offset_ms in enumerate(self.offsets_ms):
            if (now_ms - offset_ms) % REPORT_MS < STEP_MS:
                self.ledger.add(f"e{entry}", 1, self.counts[entry].copy())

    def _decide(self, now_ms):
        phase, written_ms = self.phases[-1]
        self.ledger.remember(now_ms=now_ms)
        evidence = Evidence(
            verdict=self.ledger.verdict(now_ms=now_ms),
            requests=self.ledger.requests,
            exposed=self.ledger.exposed,
            order_age_ms=now_ms - ORDER_SEEN_MS + ASSUMED_ORDER_AGE_MS,
            phase_age_ms=now_ms - written_ms,
            duration_ms=self.duration_ms,
            has_majority=True,
        )
        decision = decide(phase, evidence)
        if decision is not None:
            self.phases.append((decision.phase, now_ms))
            self.reason = decision.reason
