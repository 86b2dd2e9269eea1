"""A deployment of one service for a measurement, with warm targets."""

from __future__ import annotations

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
from standins.target.ledger import Execution

ZONES = ("zone-a", "zone-b", "zone-c")
HOST = "bench.example"
SERVICE = "bench"
WARM_TIMEOUT_S = 30.0
WARM_REQUESTS = 100_000

# Short warm-up in the service file: the targets of the benchmark start warm, and only the entries
# have to find that out.
SERVICE_FILE = """\
name = "{name}"
team = "bench"
hosts = ["{host}"]
priority = "interactive"

[target]
slots = {slots}
connections = 200
cold_concurrency = 1
warmup_ms = 100
probes_per_s = 0.2

[request]
timeout_ms = 10_000
queue_length = 1000
queue_bytes = 10_000_000
retry_percent = 10.0
"""


class Shape(Struct, frozen=True, kw_only=True):
    """Size of a deployment and the mean service time of its targets."""

    entries: int
    targets: int
    slots: int
    service_time_ms: float
    policy: str


class Usage(Struct, frozen=True):
    """Readings of all processes at one instant."""

    at_ms: float
    entry_cpu_us: float
    control_bytes: int
    probes: int


class Cost(Struct, frozen=True, kw_only=True):
    """What the entries spent between two readings."""

    probes_per_target_s: float
    control_bytes_per_s: float
    cpu_us_per_request: float


class Deployment:
    """Entries and targets of one service."""

    __slots__ = ("cluster", "group", "shape")

    def __init__(self, group: ProcessGroup, shape: Shape) -> None:
        self.group = group
        self.shape = shape
        self.cluster = Cluster(group, zones=ZONES)

    def start(self, *, bystanders: str = "") -> None:
        """Start all processes and wait until every entry uses every target.

        ``bystanders`` names a service that is not published, for as many targets that no entry
        uses.
        """
        shape = self.shape
        options = ("--slots", str(shape.slots), "--queue-length", "100", "--start-warm")
        self.cluster.start_targets(SERVICE, shape.targets, *options)
        if bystanders:
            self.cluster.start_targets(bystanders, shape.targets, *options)
        self.cluster.wait_targets()
        self.cluster.publish([self._write_service_file()])
        self.cluster.publish_vms()
        self.cluster.start_entries(shape.entries, "--policy", shape.policy)
        self.cluster.wait_entries()
        self._warm_up()

    @property
    def targets(self) -> list[TargetNode]:
        """Targets that the entries use."""
        return self.cluster.targets_of(SERVICE)

    def _write_service_file(self) -> Path:
        path = self.group.directory / f"{SERVICE}.toml"
        text = SERVICE_FILE.format(name=SERVICE, host=HOST, slots=self.shape.slots)
        path.write_text(text, encoding="utf-8")
        return path

    def _warm_up(self) -> None:
        # The seed differs from those of measurements, because request ids contain it.
        plan = self.plan(seed=0, utilisation=0.2, requests=WARM_REQUESTS)
        load = self.start_load("warm-up", plan)
        self.cluster.wait_until(
            "all targets are open",
            lambda: self.cluster.all_open(self.targets),
            timeout_s=WARM_TIMEOUT_S,
        )
        load.stop()

    def plan(self, *, seed: int, utilisation: float, requests: int) -> PlanSettings:
        """Return a plan that uses a share of the slot capacity."""
        capacity_per_s = self.shape.targets * self.shape.slots * 1000.0 / self.shape.service_time_ms
        return PlanSettings(
            seed=seed,
            rate_per_s=utilisation * capacity_per_s,
            requests=requests,
            service_time_ms=self.shape.service_time_ms,
            non_idempotent_share=0.2,
        )

    def start_load(self, name: str, plan: PlanSettings) -> LoadProcess:
        """Start sending a plan to all entries."""
        entries = [entry.caller for entry in self.cluster.entries]
        return LoadProcess(self.group, name, self._options(entries, plan))

    def _options(self, entries: list[Address], plan: PlanSettings) -> LoadOptions:
        controls = [target.control.address for target in self.targets]
        return LoadOptions(
            entries=entries, host=HOST, plan=plan, timeout_ms=10_000.0, target_controls=controls
        )

    def read_usage(self) -> Usage:
        """Read what the entries have used until now."""
        entries = self.cluster.entries
        return Usage(
            at_ms=now_ms(),
            entry_cpu_us=sum(cpu_us(entry.process.pid) for entry in entries),
            control_bytes=sum(s.peer_bytes_sent for s in self.cluster.entry_statuses()),
            probes=sum(s.counters.probes for s in self.cluster.statuses(self.targets)),
        )

    def cost(self, before: Usage, after: Usage, *, requests: int) -> Cost:
        """Return the cost between two readings; control bytes are those an entry sends."""
        elapsed_s = (after.at_ms - before.at_ms) / 1000.0
        control_bytes = after.control_bytes - before.control_bytes
        probes = after.probes - before.probes
        return Cost(
            probes_per_target_s=round(probes / self.shape.targets / elapsed_s, 4),
            control_bytes_per_s=round(control_bytes / self.shape.entries / elapsed_s, 1),
            cpu_us_per_request=round((after.entry_cpu_us - before.entry_cpu_us) / requests, 1),
        )

    def executions(self, zone: str) -> list[Execution]:
        """Return all executions in a zone."""
        controls = [target.control for target in self.cluster.targets_in(zone)]
        return [e for control in controls for e in curio.run(control.executions)]


def errors(result: LoadResult) -> int:
    """Return the number of requests that were not answered whole."""
    return result.summary.requests - result.summary.whole


def duplicates(result: LoadResult) -> int:
    """Return the number of non-idempotent requests that ran more than once."""
    return result.summary.executions.duplicates if result.summary.executions else 0
