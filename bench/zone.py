"""A zone is taken out and brought back under load."""

from __future__ import annotations

import time
from collections.abc import Iterator

from msgspec import Struct

from bench.cases import Options, case, plan_seed
from bench.deployment import ZONES, Deployment, make_load_plan
from bench.load_measurement import measure_under_load
from bench.result import BenchResult
from kingcupusher._core import now_ms

# While one of the three zones is out, the other two run at 75 %.
UTILISATION = 0.50
OUT_ZONE = ZONES[1]
BEFORE_OUT_S = 1.5
NEW_WORK_LIMIT_S = 3.0
OBSERVATION_S = 2.0
AFTER_RETURN_S = 6.0
ZONE_PLAN = 1


class _Change(Struct):
    """Instants on the monotonic clock, which all processes of a machine share."""

    new_work_until_ms: float = 0.0
    return_ms: float = 0.0


@case("zone", entry_counts=(3, 15))
def zone(deployment: Deployment, options: Options) -> Iterator[BenchResult]:
    """Take a zone out and bring it back while the load tool sends requests."""
    change = _Change()
    plan = make_load_plan(
        seed=plan_seed(options, ZONE_PLAN),
        utilisation=UTILISATION,
        duration_s=BEFORE_OUT_S + NEW_WORK_LIMIT_S + OBSERVATION_S + AFTER_RETURN_S,
    )
    result = measure_under_load(
        "zone", deployment, options, plan, during_load=lambda: _toggle_zone(deployment, change)
    )
    result.utilisation = UTILISATION
    result.new_work_after_zone_out = _count_new_work(deployment, change)
    yield result


def _toggle_zone(deployment: Deployment, change: _Change) -> None:
    time.sleep(BEFORE_OUT_S)
    deployment.cluster.run_command("zone", "out", OUT_ZONE)
    change.new_work_until_ms = now_ms() + NEW_WORK_LIMIT_S * 1000.0
    time.sleep(NEW_WORK_LIMIT_S + OBSERVATION_S)
    change.return_ms = now_ms()
    deployment.cluster.run_command("zone", "in", OUT_ZONE)


def _count_new_work(deployment: Deployment, change: _Change) -> int:
    started = [execution.started_ms for execution in deployment.executions_in_zone(OUT_ZONE)]
    return sum(change.new_work_until_ms < started_ms < change.return_ms for started_ms in started)
