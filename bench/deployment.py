"""A deployment with warm targets for the measurements."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import curio
from msgspec import Struct

from bench.usage import cpu_us
from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from standins.cluster import Cluster, TargetNode
from standins.load.plan import PlanSettings
from standins.load.process import LoadOptions, LoadProcess, LoadResult
from standins.processes import ProcessGroup
from standins.target.activity_log import Execution

ZONES = ("zone-a", "zone-b", "zone-c")
SERVICE = "lookups"
BULK_SERVICE = "exports"
# Service that is not published; the load tool sends requests directly to its targets.
DIRECT_SERVICE = "direct"
TARGETS = 12
SLOTS = 3
BULK_TARGETS = 3
DIRECT_TARGETS = 3
DIRECT_SLOTS = 50

# 36 slots of 100 ms serve 360 requests/s, about the rate of one service in section 1.3. At this
# rate all processes use about one core, and the request path adds 2 % to the p99.
SERVICE_TIME_MS = 100.0

TIMEOUT_MS = 10_000.0
WARM_TIMEOUT_S = 30.0
WARM_REQUESTS = 100_000
WARM_RATE_PER_S = 100.0
WARM_WORK_MS = 5.0

# The targets start warm, but an entry ramps up its load on each of them over this time.
WARMUP_MS = 1_000
SERVICE_FILE = """\
name = "{name}"
team = "bench"
hosts = ["{name}.example"]
priority = "{priority}"

[target]
slots = {slots}
connections = 200
cold_concurrency = 1
warmup_ms = {warmup_ms}
probes_per_s = 0.2

[request]
timeout_ms = 10_000
queue_length = 1000
queue_bytes = 10_000_000
retry_percent = 10.0
"""


class Usage(Struct, frozen=True):
    """Cumulative counters of all entries, the targets and the platform at one instant."""

    at_ms: float
    entry_cpu_us: float
    control_bytes: int
    probes: int
    platform_calls: int


class Cost(Struct, frozen=True, kw_only=True):
    """Resource usage between two readings."""

    elapsed_s: float
    cpu_us: float
    probes_per_target_s: float
    control_bytes_per_s: float
    platform_calls_per_s: float


class Deployment:
    """Entries, and targets of an interactive, a bulk and a direct service, on one machine."""

    __slots__ = ("_entry_count", "_policy", "cluster", "group")

    def __init__(self, group: ProcessGroup, *, entries: int, policy: str) -> None:
        self.group = group
        self.cluster = Cluster(group, zones=ZONES)
        self._entry_count = entries
        self._policy = policy

    def start(self) -> None:
        """Start all processes and wait until every target is open at every entry."""
        options = ("--queue-length", "100", "--start-warm", "--warmup-ms", str(WARMUP_MS))
        self.cluster.start_targets(SERVICE, TARGETS, "--slots", str(SLOTS), *options)
        self.cluster.start_targets(BULK_SERVICE, BULK_TARGETS, "--slots", str(SLOTS), *options)
        self.cluster.start_targets(
            DIRECT_SERVICE, DIRECT_TARGETS, "--slots", str(DIRECT_SLOTS), *options
        )
        self.cluster.wait_for_targets()
        self.cluster.publish(
            [
                self._write_service_file(SERVICE, priority="interactive"),
                self._write_service_file(BULK_SERVICE, priority="bulk"),
            ]
        )
        self.cluster.publish_vms()
        self.cluster.start_entries(self._entry_count, "--policy", self._policy)
        self.cluster.wait_for_entries()
        self._warm_up()

    @property
    def targets(self) -> list[TargetNode]:
        """Targets of the measured service."""
        return self.cluster.targets_of_service(SERVICE)

    def _write_service_file(self, name: str, *, priority: str) -> Path:
        path = self.group.directory / f"{name}.toml"
        text = SERVICE_FILE.format(name=name, priority=priority, slots=SLOTS, warmup_ms=WARMUP_MS)
        path.write_text(text, encoding="utf-8")
        return path

    def _warm_up(self) -> None:
        plan = PlanSettings(
            seed=0, rate_per_s=WARM_RATE_PER_S, requests=WARM_REQUESTS, service_time_ms=WARM_WORK_MS
        )
        load = self.start_load("warm-up", plan)
        self.cluster.wait_until(
            "all targets are open",
            lambda: self.cluster.are_open_at_all_entries(self.targets),
            timeout_s=WARM_TIMEOUT_S,
        )
        load.stop()

    def start_load(
        self,
        name: str,
        plan: PlanSettings,
        *,
        service: str = SERVICE,
        entries: Sequence[Address] = (),
    ) -> LoadProcess:
        """Start a load tool that sends a plan to ``entries``, by default to all entries."""
        targets = self.cluster.targets_of_service(service)
        options = LoadOptions(
            entries=list(entries) or [entry.caller_address for entry in self.cluster.entries],
            host=service_host(service),
            plan=plan,
            timeout_ms=TIMEOUT_MS,
            target_controls=[target.control.address for target in targets],
        )
        return LoadProcess(self.group, name, options)

    def start_direct_load(self, name: str, plan: PlanSettings) -> LoadProcess:
        """Start a load tool that sends a plan directly to targets, bypassing the entries."""
        addresses = [target.address for target in self.cluster.targets_of_service(DIRECT_SERVICE)]
        options = LoadOptions(
            entries=addresses, host=service_host(DIRECT_SERVICE), plan=plan, timeout_ms=TIMEOUT_MS
        )
        return LoadProcess(self.group, name, options)

    def read_usage(self) -> Usage:
        """Return the current resource usage."""
        entries = self.cluster.entries
        return Usage(
            at_ms=now_ms(),
            entry_cpu_us=sum(cpu_us(entry.process.pid) for entry in entries),
            control_bytes=sum(s.peer_bytes_sent for s in self.cluster.entry_statuses()),
            probes=sum(s.counters.probes for s in self.cluster.target_statuses(self.targets)),
            platform_calls=curio.run(self.cluster.platform.control.call_counts).total,
        )

    def cost_between(self, before: Usage, after: Usage) -> Cost:
        """Return the cost between two readings; bytes and calls are the mean of one entry."""
        elapsed_s = (after.at_ms - before.at_ms) / 1000.0
        entry_s = elapsed_s * len(self.cluster.entries)
        return Cost(
            elapsed_s=elapsed_s,
            cpu_us=after.entry_cpu_us - before.entry_cpu_us,
            probes_per_target_s=round((after.probes - before.probes) / TARGETS / elapsed_s, 4),
            control_bytes_per_s=round((after.control_bytes - before.control_bytes) / entry_s, 1),
            platform_calls_per_s=round((after.platform_calls - before.platform_calls) / entry_s, 2),
        )

    def executions_in_zone(self, zone: str) -> list[Execution]:
        """Return all executions by targets of the measured service in a zone."""
        controls = [target.control for target in self.targets if target.vm.zone == zone]
        return [e for control in controls for e in curio.run(control.executions)]


def service_host(service: str) -> str:
    """Return the host name of a service."""
    return f"{service}.example"


def make_load_plan(*, seed: int, utilisation: float, duration_s: float) -> PlanSettings:
    """Return a plan whose load is a share of the slot capacity of the measured service."""
    rate_per_s = utilisation * TARGETS * SLOTS * 1000.0 / SERVICE_TIME_MS
    return PlanSettings(
        seed=seed,
        rate_per_s=rate_per_s,
        requests=int(rate_per_s * duration_s),
        service_time_ms=SERVICE_TIME_MS,
        non_idempotent_share=0.2,
    )


def errors(result: LoadResult) -> int:
    """Return the number of requests without a complete response."""
    return result.summary.requests - result.summary.whole


def sent_late_share(result: LoadResult) -> float:
    """Return the share of requests that the load tool sent late."""
    return round(result.summary.sent_late / max(1, result.summary.requests), 4)


def duplicates(result: LoadResult) -> int:
    """Return the number of non-idempotent requests that were executed more than once."""
    return result.summary.executions.duplicates if result.summary.executions else 0
