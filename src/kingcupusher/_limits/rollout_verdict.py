"""Whether a new version is good or bad, judged by its responses and those of the old version.

Wald's sequential probability ratio test compares two hypotheses for each route and each kind of
fault: the new version has this fault hardly more often than the old one, or clearly more often.
The chance of condemning a version that is no worse stays below 1 / MIN_BAD_ODDS per test however
often it is evaluated, and a large difference is found within about ten responses.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from math import log
from typing import NamedTuple

from msgspec import Struct

MIN_BAD_ODDS = 1_000.0
MIN_GOOD_ODDS = 10.0
"""Reached by 6 good responses, or 11 with one fault. A service with 44 requests a second gives the
canaries about ten responses in a trial."""
MIN_ROUTE_GOOD_ODDS = 3.0
MIN_SUSPECT_ODDS = 20.0
MIN_FAULTS = 3
TOLERATED_RATIO = 1.25
TOLERATED_EXCESS = 0.02
"""A version may have this many times the faults of the old one, plus this share of its responses.
The canaries are few, so that one slow machine among them weighs more."""
BAD_SHARE = 0.4
MIN_BAD_EXCESS = 0.2
"""A bad version has this share of faults, or this much more than what is tolerated."""
MAX_TOLERATED = 0.7
PRIOR_RESPONSES = 20.0
"""The shares on a route start from those of the whole service, with the weight of this many."""
ROUTE_SHARE = 0.02
MAX_ROUTE_RESPONSES = 7
"""Good needs this share of the old version's responses on each route, or this many responses. The
canaries get 0.06 of the requests for less than half of the time since the order."""


class Verdict(Enum):
    """What the responses tell about the new version."""

    GOOD = "good"
    BAD = "bad"
    SUSPECT = "suspect"
    UNDECIDED = "undecided"


class VersionCounts(Struct, frozen=True):
    """Responses of a version on one route, and how many of them were failures or slow."""

    responses: int = 0
    failures: int = 0
    slow: int = 0

    def __add__(self, other: VersionCounts) -> VersionCounts:
        return VersionCounts(
            self.responses + other.responses,
            self.failures + other.failures,
            self.slow + other.slow,
        )

    def since(self, earlier: VersionCounts) -> VersionCounts:
        """Return the difference to ``earlier``, never negative."""
        return VersionCounts(
            max(0, self.responses - earlier.responses),
            max(0, self.failures - earlier.failures),
            max(0, self.slow - earlier.slow),
        )


Counts = Mapping[str, VersionCounts]
NO_COUNTS = VersionCounts()


def judge(old: Counts, new: Counts) -> Verdict:
    """Return the verdict on the new version from the counts of both versions by route."""
    old_sum, new_sum = _total(old.values()), _total(new.values())
    total = _log_odds(old_sum, new_sum, prior=NO_COUNTS)
    by_route = {r: _log_odds(old.get(r, NO_COUNTS), c, prior=old_sum) for r, c in new.items()}
    worst = max(total, *by_route.values()) if by_route else total
    if worst >= log(MIN_BAD_ODDS):
        return Verdict.BAD
    if worst >= log(MIN_SUSPECT_ODDS):
        return Verdict.SUSPECT
    is_good = total <= -log(MIN_GOOD_ODDS) and all(
        _is_good_route(new[route], odds) for route, odds in by_route.items()
    )
    return Verdict.GOOD if is_good and _has_all_routes(old, new) else Verdict.UNDECIDED


def judge_recent(old: Counts, new: Counts, *, earlier_old: Counts, earlier_new: Counts) -> Verdict:
    """Return BAD or SUSPECT if the responses since the earlier counts tell so, else UNDECIDED.

    A fault that begins late hides behind the good responses before it. The shares of the old
    version are those of the same time if it responded often enough, so that a fleet that is slow
    for a moment does not condemn the new one, and never lower than before.
    """
    recent_new = _difference(new, earlier_new)
    recent_old = _difference(old, earlier_old)
    verdicts = {judge(reference, recent_new) for reference in (old, recent_old)}
    for verdict in (Verdict.BAD, Verdict.SUSPECT):
        if verdicts <= {Verdict.BAD, verdict}:
            return verdict
    return Verdict.UNDECIDED


def _log_odds(old: VersionCounts, new: VersionCounts, *, prior: VersionCounts) -> float:
    """Return the higher log odds of the two kinds of fault that the version is bad."""
    failures = _Share(old.failures, old.responses, prior.failures, prior.responses)
    slow = _Share(old.slow, old.responses, prior.slow, prior.responses)
    return max(
        _fault_log_odds(new.failures, new.responses, usual_share=failures.estimate()),
        _fault_log_odds(new.slow, new.responses, usual_share=slow.estimate()),
    )


class _Share(NamedTuple):
    """Faults of the old version on one route, and on all routes together."""

    faults: int
    responses: int
    prior_faults: int
    prior_responses: int

    def estimate(self) -> float:
        """Return the share of faults, which few responses on the route hardly change."""
        prior_share = self.prior_faults / max(1, self.prior_responses)
        weighted = self.faults + PRIOR_RESPONSES * prior_share
        return weighted / (self.responses + PRIOR_RESPONSES)


def _fault_log_odds(faults: int, responses: int, *, usual_share: float) -> float:
    tolerated = min(MAX_TOLERATED, usual_share * TOLERATED_RATIO + TOLERATED_EXCESS)
    clear = max(BAD_SHARE, tolerated + MIN_BAD_EXCESS)
    odds = faults * log(clear / tolerated)
    odds += (responses - faults) * log((1.0 - clear) / (1.0 - tolerated))
    return odds if faults >= MIN_FAULTS else min(odds, log(MIN_SUSPECT_ODDS) - 1e-9)


def _is_good_route(counts: VersionCounts, odds: float) -> bool:
    """Return whether a route is good; one with few responses only must not look bad."""
    is_certain = counts.responses >= MAX_ROUTE_RESPONSES
    return odds <= (-log(MIN_ROUTE_GOOD_ODDS) if is_certain else 0.0)


def _has_all_routes(old: Counts, new: Counts) -> bool:
    """Return whether the new version has responded on each route in proportion to the old one."""
    for route, counts in old.items():
        needed = min(MAX_ROUTE_RESPONSES, int(counts.responses * ROUTE_SHARE))
        if new.get(route, NO_COUNTS).responses < needed:
            return False
    return True


def _difference(counts: Counts, earlier: Counts) -> Counts:
    """Return what was counted since ``earlier``; a lost entry may have taken counts with it."""
    return {route: c.since(earlier.get(route, NO_COUNTS)) for route, c in counts.items()}


def _total(counts: Iterable[VersionCounts]) -> VersionCounts:
    return sum(counts, NO_COUNTS)
