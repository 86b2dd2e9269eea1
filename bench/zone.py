"""A zone goes out and returns under load."""

from __future__ import annotations

import time
from collections.abc import Iterator

from msgspec import Struct

from bench.cases import Options, case, plan_seed
from bench.deployment import ZONES, Deployment, slot_plan
from bench.loaded import measure
from bench.result import BenchResult
from kingcupusher._core import now_ms

# Two of three zones then run at 75 %.
UTILISATION = 0.50
MOVED_ZONE = ZONES[1]
SETTLE_S = 1.5
GOAL_S = 3.0
OBSERVED_S = 2.0
RETURN_S = 6.0
SEED_PART = 1


class _Move(Struct):
    """Instants of the orders on the monotonic clock, which all processes of a machine share."""

    goal_ms: float = 0.0
    return_ms: float = 0.0


@case("zone", entry_counts=(3, 15))
def zone(deployment: Deployment, options: Options) -> Iterator[BenchResult]:
    """Take a zone out and bring it back while requests run."""
    move = _Move()
    plan = slot_plan(
        seed=plan_seed(options, SEED_PART),
        utilisation=UTILISATION,
        duration_s=SETTLE_S + GOAL_S + OBSERVED_S + RETURN_S,
    )
    result = measure(
        "zone", deployment, options, plan, meanwhile=lambda: _move_zone(deployment, move)
    )
    result.utilisation = UTILISATION
    result.new_work_after_zone_out = _new_work(deployment, move)
    yield result


def _move_zone(deployment: Deployment, move: _Move) -> None:
    time.sleep(SETTLE_S)
    deployment.cluster.run_command("zone", "out", MOVED_ZONE)
    move.goal_ms = now_ms() + GOAL_S * 1000.0
    time.sleep(GOAL_S + OBSERVED_S)
    move.return_ms = now_ms()
    deployment.cluster.run_command("zone", "in", MOVED_ZONE)


def _new_work(deployment: Deployment, move: _Move) -> int:
    started = [execution.started_ms for execution in deployment.executions(MOVED_ZONE)]
    return sum(move.goal_ms < started_ms < move.return_ms for started_ms in started)
