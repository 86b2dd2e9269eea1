"""Rules that the result of the demonstration must satisfy."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from demo.scenario import DemoResult
from kingcupusher._core import Registry

MIN_REQUESTS = 1_000
MIN_WHOLE_SHARE = 0.99

Rule = Callable[[DemoResult], bool]

RULES: Registry[Rule] = Registry("rule")


def violated_rules(result: DemoResult) -> Iterator[str]:
    """Yield the names of the rules that do not hold."""
    for name in RULES:
        if not RULES.get(name)(result):
            yield name


def _total(result: DemoResult, counter: str) -> int:
    return sum(getattr(service.summary, counter) for service in result.services)


@RULES.register(f"at least {MIN_REQUESTS} requests, some of them non-idempotent")
def _enough_requests(result: DemoResult) -> bool:
    return _total(result, "requests") >= MIN_REQUESTS and _total(result, "non_idempotent") > 0


@RULES.register("every request was answered whole or not run")
def _all_outcomes_known(result: DemoResult) -> bool:
    ended = _total(result, "whole") + _total(result, "not_run")
    return ended == _total(result, "requests")


@RULES.register(f"at least {MIN_WHOLE_SHARE:.0%} of the requests were answered whole")
def _enough_whole_responses(result: DemoResult) -> bool:
    return _total(result, "whole") >= MIN_WHOLE_SHARE * _total(result, "requests")


@RULES.register("no non-idempotent request ran twice")
def _no_duplicates(result: DemoResult) -> bool:
    return not any(service.executions.duplicates for service in result.services)


@RULES.register("no request that was reported as not run was run")
def _not_run_is_correct(result: DemoResult) -> bool:
    return not any(service.executions.not_run_but_ran for service in result.services)


@RULES.register("no target was probed beyond its budget")
def _probes_within_budget(result: DemoResult) -> bool:
    return all(service.max_probes <= service.allowed_probes for service in result.services)


@RULES.register("no cold target fell over")
def _no_fall_over(result: DemoResult) -> bool:
    return not any(service.fall_overs for service in result.services)


@RULES.register("the removed zone had work before and after it was out")
def _zone_had_requests(result: DemoResult) -> bool:
    return result.zone.before > 0 and result.zone.after_return > 0


@RULES.register("the removed zone received no new work after 3 s")
def _zone_had_no_late_requests(result: DemoResult) -> bool:
    return result.zone.after_limit == 0
