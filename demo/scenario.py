"""Starts a deployment, sends load to it, takes a zone out and brings it back."""

from __future__ import annotations

import time
from collections.abc import Sequence
from pathlib import Path

from msgspec import Struct

from kingcupusher._config import Service, load_service_file
from kingcupusher._core import now_ms
from standins.cluster import Cluster, TargetNode
from standins.load.plan import PlanSettings
from standins.load.process import LoadOptions, LoadProcess, LoadResult
from standins.load.summary import ExecutionComparison, Summary
from standins.processes import ProcessGroup

EXAMPLE_DIRECTORY = Path(__file__).resolve().parent.parent / "examples" / "lagos"
ZONES = ("lagos-a", "lagos-b", "lagos-c")
REMOVED_ZONE = "lagos-b"
ENTRY_COUNT = 3

WARMUP_TIMEOUT_S = 20.0
# Shorter than the warm-up time in the service files, to keep the run short.
TARGET_OPTIONS = ("--warmup-ms", "300")

# Request ids contain the seed, so the warm-up load must use other seeds than the measured load.
WARMUP_SEED_OFFSET = 1_000

LOAD_DURATION_S = 22.0
LOAD_BEFORE_ZONE_OUT_S = 4.0
# The targets of a zone get no new requests later than this after the zone is taken out.
ZONE_OUT_LIMIT_S = 3.0
ZONE_OUT_OBSERVATION_S = 4.0


class Workload(Struct, frozen=True, kw_only=True):
    """A service file, the number of targets of the service and the load on it."""

    file: str
    targets: int
    rate_per_s: float
    non_idempotent_share: float
    service_time_ms: float
    seed: int


WORKLOADS = (
    Workload(
        file="holdings.toml",
        targets=12,
        rate_per_s=60.0,
        non_idempotent_share=0.0,
        service_time_ms=10.0,
        seed=11,
    ),
    Workload(
        file="postings.toml",
        targets=6,
        rate_per_s=25.0,
        non_idempotent_share=0.8,
        service_time_ms=15.0,
        seed=12,
    ),
)


class ServiceResult(Struct, frozen=True, kw_only=True):
    """Measurements of one service."""

    name: str
    summary: Summary
    executions: ExecutionComparison
    max_probes: int
    allowed_probes: float
    fall_overs: int


class ZoneResult(Struct, frozen=True, kw_only=True):
    """Numbers of requests that the targets of the removed zone received, by phase."""

    before: int
    after_limit: int
    after_return: int


class DemoResult(Struct, frozen=True):
    """Result of the demonstration."""

    services: list[ServiceResult]
    zone: ZoneResult


def run_demo(group: ProcessGroup) -> DemoResult:
    """Run the demonstration with processes of ``group``."""
    cluster = Cluster(group, zones=ZONES)
    services = [load_service_file(EXAMPLE_DIRECTORY / workload.file) for workload in WORKLOADS]
    started_ms = now_ms()
    _start_deployment(cluster, services)
    _warm_up(cluster, services)
    loads = [
        _start_load(cluster, service, workload, LOAD_DURATION_S)
        for service, workload in zip(services, WORKLOADS, strict=True)
    ]
    zone = _take_zone_out_and_back(cluster)
    results = [load.wait_for_result() for load in loads]
    elapsed_s = (now_ms() - started_ms) / 1000.0
    after_return = _requests(cluster, cluster.targets_in_zone(REMOVED_ZONE)) - zone.after_return
    return DemoResult(
        [
            _service_result(cluster, service, load, elapsed_s)
            for service, load in zip(services, results, strict=True)
        ],
        ZoneResult(before=zone.before, after_limit=zone.after_limit, after_return=after_return),
    )


def _start_deployment(cluster: Cluster, services: Sequence[Service]) -> None:
    _print(f"starting {ENTRY_COUNT} entries in {len(ZONES)} zones and targets of two services")
    for service, workload in zip(services, WORKLOADS, strict=True):
        cluster.start_targets(service.name, workload.targets, *TARGET_OPTIONS)
    cluster.wait_for_targets()
    cluster.publish(sorted(EXAMPLE_DIRECTORY.glob("*.toml")))
    cluster.start_entries(ENTRY_COUNT)
    cluster.publish_vms()
    cluster.wait_for_entries()


def _warm_up(cluster: Cluster, services: Sequence[Service]) -> None:
    _print("warming up the targets with a light load")
    loads = [
        _start_load(cluster, service, workload, WARMUP_TIMEOUT_S, seed_offset=WARMUP_SEED_OFFSET)
        for service, workload in zip(services, WORKLOADS, strict=True)
    ]
    cluster.wait_until(
        "all targets are warm and open", lambda: _all_ready(cluster), timeout_s=WARMUP_TIMEOUT_S
    )
    for load in loads:
        load.stop()


def _all_ready(cluster: Cluster) -> bool:
    warm = all(status.state == "warm" for status in cluster.target_statuses(cluster.targets))
    return warm and cluster.are_open_at_all_entries(cluster.targets)


def _start_load(
    cluster: Cluster,
    service: Service,
    workload: Workload,
    duration_s: float,
    *,
    seed_offset: int = 0,
) -> LoadProcess:
    plan = PlanSettings(
        seed=workload.seed + seed_offset,
        rate_per_s=workload.rate_per_s,
        requests=int(workload.rate_per_s * duration_s),
        service_time_ms=workload.service_time_ms,
        non_idempotent_share=workload.non_idempotent_share,
    )
    options = LoadOptions(
        entries=[entry.caller_address for entry in cluster.entries],
        host=service.hosts[0],
        plan=plan,
        target_controls=[t.control.address for t in cluster.targets_of_service(service.name)],
    )
    return LoadProcess(cluster.group, f"load-{service.name}", options)


def _take_zone_out_and_back(cluster: Cluster) -> ZoneResult:
    zone_targets = cluster.targets_in_zone(REMOVED_ZONE)
    time.sleep(LOAD_BEFORE_ZONE_OUT_S)
    before = _requests(cluster, zone_targets)
    _print(f"taking zone {REMOVED_ZONE} out while requests run")
    cluster.run_command("zone", "out", REMOVED_ZONE)
    time.sleep(ZONE_OUT_LIMIT_S)
    at_limit = _requests(cluster, zone_targets)
    time.sleep(ZONE_OUT_OBSERVATION_S)
    at_return = _requests(cluster, zone_targets)
    _print(f"bringing zone {REMOVED_ZONE} back")
    cluster.run_command("zone", "in", REMOVED_ZONE)
    return ZoneResult(before=before, after_limit=at_return - at_limit, after_return=at_return)


def _requests(cluster: Cluster, targets: Sequence[TargetNode]) -> int:
    return sum(status.counters.requests for status in cluster.target_statuses(targets))


def _service_result(
    cluster: Cluster, service: Service, load: LoadResult, elapsed_s: float
) -> ServiceResult:
    counters = [
        status.counters
        for status in cluster.target_statuses(cluster.targets_of_service(service.name))
    ]
    return ServiceResult(
        name=service.name,
        summary=load.summary,
        executions=load.summary.executions or ExecutionComparison(),
        max_probes=max(c.probes for c in counters),
        # One probe may fall on each end of the run.
        allowed_probes=service.target.probes_per_s * elapsed_s + 1.0,
        fall_overs=sum(c.fall_overs for c in counters),
    )


def _print(text: str) -> None:
    print(text, flush=True)
