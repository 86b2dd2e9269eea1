"""One soak run: processes, callers and faults that are drawn from a seed."""

from __future__ import annotations

import shutil
from pathlib import Path
from random import Random

import curio
from msgspec import Struct

from kingcupusher._core import Registry, now_ms
from standins.processes import ProcessGroup
from testing.soak.callers import Caller, RequestRecord
from testing.soak.faults import FAULTS, SERIES_FAULTS, Fault
from testing.soak.fleet import Fleet
from testing.soak.invariants import INVARIANTS, Observations, parse_execution_log

ENTRIES = 3
TARGETS = 5
CALLERS = 8
WARM_UP_S = 1.0
MAX_FAULT_S = 2.5
MAX_GAP_S = 0.8
FAULTS_END_TIMEOUT_S = 15.0
RECOVERY_TIMEOUT_MS = 10_000.0
RECOVERY_REQUESTS = 10


class SoakReport(Struct):
    """Result of a run: the injected faults in order, and violations by invariant."""

    seed: int
    faults: list[str]
    requests: int
    served: int
    violations: dict[str, list[str]]


async def _inject_faults(
    fleet: Fleet, faults: Registry[Fault], rng: Random, traffic_s: float, fault_log: list[str]
) -> None:
    """Start faults at random intervals, so that they overlap; return when all have ended."""
    end_ms = now_ms() + traffic_s * 1000.0
    fault_tasks = []
    while now_ms() < end_ms:
        name, duration_s = rng.choice(sorted(faults)), rng.uniform(0.1, MAX_FAULT_S)
        fault_log.append(f"{name} {duration_s:.2f} s")
        fault = faults.get(name)
        fault_tasks.append(await curio.spawn(fault, fleet, Random(rng.random()), duration_s))
        await curio.sleep(rng.uniform(0.05, MAX_GAP_S))
    async with curio.timeout_after(FAULTS_END_TIMEOUT_S):
        for task in fault_tasks:
            await task.join()


async def _find_unrecovered_entries(fleet: Fleet, caller: Caller) -> list[str]:
    """Return the entries that do not serve enough requests in a row within the time limit."""
    unrecovered = []
    end_ms = now_ms() + RECOVERY_TIMEOUT_MS
    for entry in fleet.entries:
        served = 0
        while served < RECOVERY_REQUESTS and now_ms() < end_ms:
            record = await caller.send(entry.name, is_idempotent=True)
            served = served + 1 if record.status == 200 else 0
        if served < RECOVERY_REQUESTS:
            unrecovered.append(entry.name)
    return unrecovered


def _find_unexpected_exits(fleet: Fleet) -> list[str]:
    nodes = [*fleet.entries, *fleet.targets]
    exited = [n for n in nodes if n.process and not n.exit_expected and not n.process.is_running()]
    return [
        f"{n.name}, status {n.process.wait(timeout_s=0)}: {n.process.error_output()}"
        for n in exited
        if n.process
    ]


async def _run(group: ProcessGroup, seed: int, traffic_s: float) -> SoakReport:
    rng = Random(seed)
    fleet = Fleet(group, entries=ENTRIES, targets=TARGETS)
    await fleet.start()
    await curio.sleep(WARM_UP_S)
    fault_log: list[str] = []
    callers = [Caller(f"c{i}", fleet.frontends, rng=Random(f"{seed} {i}")) for i in range(CALLERS)]
    tasks = [await curio.spawn(caller.run, daemon=True) for caller in callers]
    series_rng = Random(f"{seed} series")
    series = await curio.spawn(
        _inject_faults, fleet, SERIES_FAULTS, series_rng, traffic_s, fault_log
    )
    await _inject_faults(fleet, FAULTS, rng, traffic_s, fault_log)
    await series.join()
    for task in tasks:
        await task.cancel()
    records: list[RequestRecord] = [r for caller in callers for r in caller.records if r.ended_ms]
    recovery_caller = Caller("last", fleet.frontends, rng=rng)
    unrecovered = await _find_unrecovered_entries(fleet, recovery_caller)
    all_records = [r for caller in [*callers, recovery_caller] for r in caller.records]
    executions = parse_execution_log(fleet.execution_log.read_bytes())
    observations = Observations(
        records=all_records,
        executions=executions,
        unexpected_exits=_find_unexpected_exits(fleet),
        disturbed=fleet.disturbed,
    )
    violations = {name: INVARIANTS.get(name)(observations) for name in INVARIANTS}
    violations["entries serve requests again after the last fault"] = unrecovered
    served = sum(record.status == 200 for record in records)
    violations = {name: found for name, found in violations.items() if found}
    return SoakReport(seed, fault_log, len(records), served, violations)


def run_soak(seed: int, *, traffic_s: float, keep: Path | None = None) -> SoakReport:
    """Run one seed; copy the logs to ``keep`` if an invariant was violated."""
    with ProcessGroup() as group:
        report: SoakReport = curio.run(_run, group, seed, traffic_s)
        if report.violations and keep is not None:
            shutil.copytree(group.directory, keep / f"seed-{seed}", dirs_exist_ok=True)
    return report
