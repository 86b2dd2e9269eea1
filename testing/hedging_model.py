"""Queueing model of targets with two modes of response time, behind entries that hedge."""

from __future__ import annotations

from heapq import heappop, heappush
from math import inf
from random import Random

from kingcupusher._limits.hedge_limit import HedgeLimit
from kingcupusher._routing.acceptance import MAX_GOOD_COST, ResponseTimeEstimate
from kingcupusher._routing.hedging import OverdueShare, RelativeTimes, can_help

PROBES = 5
SLOW_SHARE = 0.03
SLOW_WORK = 7.0
"""Slow responses take this multiple of the work and are not announced in a reading."""
PHASE_MS, PHASE_FACTOR = 300.0, 4.0
"""A target works slower for a quarter of the time."""
NEARLY_FULL_SHARE, NEARLY_FULL_COST = 0.8, 1.7
RECHECK_SHARE = 0.25


class Deployment:
    """A service: ``targets`` with ``slots`` each, its route's times, and the number of entries."""

    def __init__(self, *, work_ms, objective_ms, deadline_ms, slots, targets=24, entries=20):
        self.work_ms, self.objective_ms, self.deadline_ms = work_ms, objective_ms, deadline_ms
        self.slots, self.targets, self.entries = slots, targets, entries


class Entry:
    """What one entry knows; ``limit`` is None for the hedging at 2.5 times without a limit."""

    def __init__(self, deployment, percent, rng):
        self.estimate = ResponseTimeEstimate(objective_ms=deployment.objective_ms)
        self.times, self.overdue = RelativeTimes(), OverdueShare()
        self.limit = None if percent is None else HedgeLimit(share=percent / 100.0, rng=rng)


class HedgingModel:
    """Runs requests at a load; ``slow_from_ms`` makes all targets slower without telling."""

    def __init__(
        self, deployment, *, percent, load=0.45, seed=1, slow_from_ms=inf, slow_factor=3.0
    ):
        self.deployment, self.rng = deployment, Random(seed)
        self.slow_from_ms, self.slow_factor = slow_from_ms, slow_factor
        self.entries = [Entry(deployment, percent, self.rng) for _ in range(deployment.entries)]
        self.per_ms = load * deployment.targets * deployment.slots / deployment.work_ms / 1.3
        self.busy = [0] * deployment.targets
        self.offsets = [self.rng.uniform(0.0, 4 * PHASE_MS) for _ in self.busy]
        self.queue, self.events, self.sequence = [], [], 0
        self.requests, self.latencies, self.requests_ms, self.hedges_ms = {}, [], [], []

    def run(self, count):
        """Run ``count`` requests."""
        at_ms = 0.0
        for number in range(count):
            at_ms += self.rng.expovariate(self.per_ms)
            self._push(at_ms, self._arrive, number)
        while self.events:
            at_ms, _, handle, arguments = heappop(self.events)
            handle(at_ms, *arguments)
        return self

    def latency_ms(self, share):
        """Return a percentile of the latencies of the last three quarters of the requests."""
        settled = sorted(self.latencies[len(self.latencies) // 4 :])
        return settled[int(share * (len(settled) - 1))]

    def late_share(self, bound_ms):
        """Return the share of these requests that took longer than ``bound_ms``."""
        settled = self.latencies[len(self.latencies) // 4 :]
        return sum(latency > bound_ms for latency in settled) / len(settled)

    def _push(self, at_ms, handle, *arguments):
        self.sequence += 1
        heappush(self.events, (at_ms, self.sequence, handle, arguments))

    def _is_slow(self, target, at_ms):
        return (at_ms + self.offsets[target]) % (4 * PHASE_MS) < PHASE_MS

    def _end_ms(self, target, at_ms, work_ms):
        while work_ms > 0.0:
            position = (at_ms + self.offsets[target]) % (4 * PHASE_MS)
            is_slow = position < PHASE_MS
            left_ms = (PHASE_MS if is_slow else 4 * PHASE_MS) - position + 1e-6
            factor = PHASE_FACTOR if is_slow else 1.0
            used_ms = min(left_ms, work_ms * factor)
            at_ms, work_ms = at_ms + used_ms, work_ms - used_ms / factor
        return at_ms

    def _pick(self, at_ms, exclude=None):
        """Return cost and index of the best of a few probed targets."""
        found = []
        for target in self.rng.sample(range(len(self.busy)), PROBES):
            if target != exclude and self.busy[target] < self.deployment.slots:
                is_full = (self.busy[target] + 1) / self.deployment.slots > NEARLY_FULL_SHARE
                cost = PHASE_FACTOR if self._is_slow(target, at_ms) else 1.0
                found.append((cost * (NEARLY_FULL_COST if is_full else 1.0), target))
        return min(found, default=(inf, None))

    def _arrive(self, at_ms, number):
        entry = self.rng.choice(self.entries)
        self.requests[number] = (at_ms, entry, [])
        self.requests_ms.append(at_ms)
        if entry.limit is not None:
            entry.limit.on_request(entries=len(self.entries))
        self.queue.append(number)
        self._assign(at_ms)

    def _assign(self, at_ms):
        while self.queue:
            received_ms, entry, sends = self.requests[self.queue[0]]
            cost, target = self._pick(at_ms)
            if target is None or (cost > NEARLY_FULL_COST and at_ms - received_ms < 100.0):
                self._push(at_ms + 20.0, self._assign)
                return
            number = self.queue.pop(0)
            self._send(at_ms, number, cost, target)
            typical_ms = entry.estimate.typical_ms
            delay_ms = 2.5 * typical_ms * cost
            if entry.limit is not None:
                delay_ms = entry.times.hedge_delay_ms(
                    expected_ms=typical_ms * cost,
                    typical_ms=typical_ms,
                    until_objective_ms=received_ms + self.deployment.objective_ms - at_ms,
                )
            if delay_ms < inf:
                self._push(at_ms + delay_ms, self._hedge, number, True)

    def _send(self, at_ms, number, cost, target):
        self.busy[target] += 1
        work_ms = self.rng.gammavariate(16.0, self.deployment.work_ms / 16.0)
        work_ms *= SLOW_WORK if self.rng.random() < SLOW_SHARE else 1.0
        work_ms *= self.slow_factor if at_ms >= self.slow_from_ms else 1.0
        _, entry, sends = self.requests[number]
        sends.append((at_ms, target, entry.estimate.typical_ms * max(cost, 1.0)))
        self._push(self._end_ms(target, at_ms, work_ms), self._respond, number, len(sends) - 1)

    def _hedge(self, at_ms, number, is_first):
        if number not in self.requests:
            return
        received_ms, entry, sends = self.requests[number]
        cost, target = self._pick(at_ms, exclude=sends[0][1])
        may_send = not self.queue and cost <= MAX_GOOD_COST
        if entry.limit is not None:
            typical_ms = entry.estimate.typical_ms
            remaining_ms = received_ms + self.deployment.deadline_ms - at_ms
            if is_first:
                entry.overdue.record(is_overdue=True)
            if not can_help(typical_ms=typical_ms, remaining_ms=remaining_ms):
                return
            may_send = may_send and not entry.overdue.is_service_slow
            if not (may_send and entry.limit.try_spend()):
                self._push(at_ms + RECHECK_SHARE * typical_ms, self._hedge, number, False)
                return
        if may_send:
            self.hedges_ms.append(at_ms)
            self._send(at_ms, number, cost, target)

    def _respond(self, at_ms, number, index):
        if number not in self.requests:
            return
        received_ms, entry, sends = self.requests.pop(number)
        self.latencies.append(at_ms - received_ms)
        for _, target, _ in sends:
            self.busy[target] -= 1
        for i, (sent_ms, _, expected_ms) in enumerate(sends):
            if i in (0, index):
                entry.times.add((at_ms - sent_ms) / expected_ms)
        sent_ms, _, expected_ms = sends[index]
        cost = max(1.0, expected_ms / entry.estimate.typical_ms)
        entry.estimate.on_response(elapsed_ms=at_ms - sent_ms, cost=cost)
        if len(sends) == 1:
            entry.overdue.record(is_overdue=False)
        self._assign(at_ms)
