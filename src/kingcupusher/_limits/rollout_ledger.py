"""Sums what the entries report on a rollout, and keeps what the sums were a while ago."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Mapping
from math import log2

from msgspec import Struct, convert, field, to_builtins

from kingcupusher._limits.rollout_verdict import Verdict, VersionCounts, judge, judge_recent

BUCKETS_PER_OCTAVE = 2
SLOW_BUCKETS = 5
"""A response is slow from 5.7 times the old version's median. Bad versions take 8 times as long;
machines that are slow for a moment take 4 times as long, with either version."""
MIN_OLD_RESPONSES = 10
"""Without this many responses of the old version, a route has no median."""
RECENT_MS = (750.0, 1_500.0, 3_000.0)
"""Times whose responses are judged on their own. The shorter ones find a late fault sooner at high
request rates, the longer ones contain enough responses at low rates."""
HISTORY_INTERVAL_MS = 250.0


class Outcomes(Struct, array_like=True):
    """Failures, and the other responses by the logarithm of their time; they only increase."""

    failures: int = 0
    latencies: dict[int, int] = field(default_factory=dict)

    def add(self, elapsed_ms: float, *, is_failure: bool) -> None:
        """Count one response."""
        if is_failure:
            self.failures += 1
            return
        bucket = latency_bucket(elapsed_ms)
        self.latencies[bucket] = self.latencies.get(bucket, 0) + 1


class RouteOutcomes(Struct, array_like=True):
    """Outcomes of the old and of the new version on one route."""

    old: Outcomes = field(default_factory=Outcomes)
    new: Outcomes = field(default_factory=Outcomes)


class EntryCounts(Struct, array_like=True):
    """What one entry has counted since it learned of an order.

    ``exposed`` counts sends to the new version, retries and hedges included.
    """

    requests: int = 0
    exposed: int = 0
    routes: dict[str, RouteOutcomes] = field(default_factory=dict)

    def copy(self) -> EntryCounts:
        """Return a copy that does not change with this one."""
        return convert(to_builtins(self), EntryCounts)


def latency_bucket(elapsed_ms: float) -> int:
    """Return the number of the bucket of a response time."""
    return round(BUCKETS_PER_OCTAVE * log2(max(elapsed_ms, 0.1)))


class _VersionSum:
    """Summed outcomes of one version on one route."""

    __slots__ = ("failures", "latencies")

    def __init__(self) -> None:
        self.failures = 0
        self.latencies: Counter[int] = Counter()

    def add(self, outcomes: Outcomes, sign: int) -> None:
        self.failures += sign * outcomes.failures
        for bucket, count in outcomes.latencies.items():
            self.latencies[bucket] += sign * count

    def counts(self, slow_bucket: float) -> VersionCounts:
        responses = self.failures + sum(self.latencies.values())
        slow = sum(n for bucket, n in self.latencies.items() if bucket >= slow_bucket)
        return VersionCounts(responses, self.failures, slow)

    def slow_bucket(self) -> float:
        """Return the lowest bucket that is slow in comparison with these responses."""
        total = sum(self.latencies.values())
        if total < MIN_OLD_RESPONSES:
            return float("inf")
        seen = 0
        for bucket in sorted(self.latencies):
            seen += self.latencies[bucket]
            if 2 * seen >= total:
                return bucket + SLOW_BUCKETS
        return float("inf")

    def copy(self) -> _VersionSum:
        copied = _VersionSum()
        copied.failures = self.failures
        copied.latencies = Counter(self.latencies)
        return copied


_Sums = dict[tuple[str, bool], _VersionSum]


class RolloutLedger:
    """Sums over entries; a restarted entry counts from 0 again, and what it had counted stays."""

    __slots__ = ("_counts", "_history", "_sums", "exposed", "requests")

    def __init__(self) -> None:
        self._counts: dict[tuple[str, int], EntryCounts] = {}
        self._sums: _Sums = {}
        self._history: deque[tuple[float, _Sums]] = deque()
        self.requests = 0
        self.exposed = 0

    def add(self, entry: str, run: int, counts: EntryCounts) -> None:
        """Replace the counts of the run ``run`` of ``entry``; ignore a report that came late."""
        before = self._counts.get((entry, run))
        if before is not None:
            if counts.requests < before.requests or counts.exposed < before.exposed:
                return
            self._change(before, -1)
        self._counts[entry, run] = counts
        self._change(counts, 1)

    def remember(self, *, now_ms: float) -> None:
        """Keep the present sums as those to compare with later."""
        if self._history and now_ms - self._history[-1][0] < HISTORY_INTERVAL_MS:
            return
        self._history.append((now_ms, {key: s.copy() for key, s in self._sums.items()}))
        while len(self._history) > 1 and self._history[1][0] <= now_ms - RECENT_MS[-1]:
            self._history.popleft()

    def verdict(self, *, now_ms: float) -> Verdict:
        """Return the verdict on all responses, or on recent ones if that is worse."""
        old, new = self.counts()
        whole = judge(old, new)
        for since_ms in RECENT_MS:
            if whole is Verdict.BAD:
                break
            earlier_old, earlier_new = self._counts_of(self._sums_at(now_ms - since_ms))
            recent = judge_recent(old, new, earlier_old=earlier_old, earlier_new=earlier_new)
            whole = whole if recent is Verdict.UNDECIDED else recent
        return whole

    def counts(self) -> tuple[Mapping[str, VersionCounts], Mapping[str, VersionCounts]]:
        """Return the counts of the old and of the new version by route."""
        return self._counts_of(self._sums)

    def _sums_at(self, at_ms: float) -> _Sums:
        """Return the sums at ``at_ms``, or the first ones after it."""
        sums: _Sums = self._sums
        for kept_ms, kept in reversed(self._history):
            sums = kept
            if kept_ms <= at_ms:
                break
        return sums

    def _counts_of(self, sums: _Sums) -> tuple[dict[str, VersionCounts], dict[str, VersionCounts]]:
        old: dict[str, VersionCounts] = {}
        new: dict[str, VersionCounts] = {}
        for (route, is_new), version_sum in sums.items():
            reference = self._sums.get((route, False))
            slow_bucket = reference.slow_bucket() if reference else float("inf")
            (new if is_new else old)[route] = version_sum.counts(slow_bucket)
        return old, new

    def _change(self, counts: EntryCounts, sign: int) -> None:
        self.requests += sign * counts.requests
        self.exposed += sign * counts.exposed
        for route, outcomes in counts.routes.items():
            self._sum(route, is_new=False).add(outcomes.old, sign)
            self._sum(route, is_new=True).add(outcomes.new, sign)

    def _sum(self, route: str, *, is_new: bool) -> _VersionSum:
        version_sum = self._sums.get((route, is_new))
        if version_sum is None:
            version_sum = self._sums[route, is_new] = _VersionSum()
        return version_sum
