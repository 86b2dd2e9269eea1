"""One soak run: a fleet, callers and faults that a seed draws."""

from __future__ import annotations

import shutil
from pathlib import Path
from random import Random

import curio
from msgspec import Struct

from kingcupusher._core import now_ms
from standins.processes import ProcessGroup
from testing.soak.callers import Caller, Record
from testing.soak.faults import FAULTS
from testing.soak.fleet import Fleet
from testing.soak.promises import PROMISES, Seen, read_runs

ENTRIES = 3
TARGETS = 5
CALLERS = 8
WARM_S = 1.0
MAX_FAULT_S = 2.5
MAX_GAP_S = 0.8
FAULT_END_S = 15.0
RECOVERY_MS = 10_000.0
RECOVERED_COUNT = 10


class Report(Struct):
    """Outcome of a run: the faults in order, and broken promises with examples."""

    seed: int
    faults: list[str]
    requests: int
    served: int
    broken: dict[str, list[str]]


async def _hold_faults(fleet: Fleet, rng: Random, traffic_s: float, names: list[str]) -> None:
    """Start faults in series, so that they overlap; return when all are healed."""
    end_ms = now_ms() + traffic_s * 1000.0
    held = []
    while now_ms() < end_ms:
        name, for_s = rng.choice(sorted(FAULTS)), rng.uniform(0.1, MAX_FAULT_S)
        names.append(f"{name} {for_s:.2f} s")
        fault = FAULTS.get(name)
        held.append(await curio.spawn(fault, fleet, Random(rng.random()), for_s))
        await curio.sleep(rng.uniform(0.05, MAX_GAP_S))
    async with curio.timeout_after(FAULT_END_S):
        for task in held:
            await task.join()


async def _recovers(fleet: Fleet, caller: Caller) -> list[str]:
    """Return the entries that do not serve all requests again in time."""
    late = []
    end_ms = now_ms() + RECOVERY_MS
    for entry in fleet.entries:
        served = 0
        while served < RECOVERED_COUNT and now_ms() < end_ms:
            record = await caller.send(entry.name, is_idempotent=True)
            served = served + 1 if record.status == 200 else 0
        if served < RECOVERED_COUNT:
            late.append(entry.name)
    return late


def _ended(fleet: Fleet) -> list[str]:
    parts = [*fleet.entries, *fleet.targets]
    ended = [p for p in parts if p.process and not p.may_end and not p.process.is_running()]
    return [f"{p.name}: {p.process.error_output()}" for p in ended if p.process]


async def _run(group: ProcessGroup, seed: int, traffic_s: float) -> Report:
    rng = Random(seed)
    fleet = Fleet(group, entries=ENTRIES, targets=TARGETS)
    await fleet.start()
    await curio.sleep(WARM_S)
    names: list[str] = []
    callers = [Caller(f"c{i}", fleet.callers, rng=Random(f"{seed} {i}")) for i in range(CALLERS)]
    tasks = [await curio.spawn(caller.run, daemon=True) for caller in callers]
    await _hold_faults(fleet, rng, traffic_s, names)
    for task in tasks:
        await task.cancel()
    records: list[Record] = [r for caller in callers for r in caller.records if r.ended_ms]
    last = Caller("last", fleet.callers, rng=rng)
    late = await _recovers(fleet, last)
    all_sent = [r for caller in [*callers, last] for r in caller.records]
    runs = read_runs(fleet.run_log.read_bytes())
    seen = Seen(records=all_sent, runs=runs, ended=_ended(fleet), disturbed=fleet.disturbed)
    broken = {promise: PROMISES.get(promise)(seen) for promise in PROMISES}
    broken["entries serve again after the last fault"] = late
    served = sum(record.status == 200 for record in records)
    broken = {name: rows for name, rows in broken.items() if rows}
    return Report(seed, names, len(records), served, broken)


def run(seed: int, *, traffic_s: float, keep: Path | None = None) -> Report:
    """Run one seed; copy the logs to ``keep`` if a promise was broken."""
    with ProcessGroup() as group:
        report: Report = curio.run(_run, group, seed, traffic_s)
        if report.broken and keep is not None:
            shutil.copytree(group.directory, keep / f"seed-{seed}", dirs_exist_ok=True)
    return report
