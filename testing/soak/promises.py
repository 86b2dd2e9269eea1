"""What callers and targets were promised, checked on what they saw."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Collection

from msgspec import Struct

from kingcupusher._core import Registry
from testing.soak.callers import Record

NOT_RUN_STATUS = frozenset({408, 421, 429, 503})


class Run(Struct, frozen=True):
    """A request that a target began to work on."""

    at_ms: float
    request_id: bytes
    what: bytes


class Seen(Struct):
    """Everything that callers and targets saw, and the processes that ended by themselves.

    ``disturbed`` holds the entries that were killed, paused or asked to end during the run.
    """

    records: Collection[Record]
    runs: Collection[Run]
    ended: Collection[str]
    disturbed: Collection[str]


Promise = Callable[[Seen], list[str]]
PROMISES: Registry[Promise] = Registry("promise")


def read_runs(text: bytes) -> list[Run]:
    """Read the log that the targets write; a last line that was cut by a kill is left out."""
    rows = [line.split() for line in text.split(b"\n")]
    return [Run(float(row[0]), row[1], row[2]) for row in rows if len(row) == 3]


@PROMISES.register("a success is the target's whole response to this request")
def _whole(seen: Seen) -> list[str]:
    return [str(r) for r in seen.records if 200 <= r.status < 300 and not r.is_own]


@PROMISES.register("a success was run")
def _was_run(seen: Seen) -> list[str]:
    ran = {run.request_id for run in seen.runs}
    return [str(r) for r in seen.records if r.status == 200 and r.request_id not in ran]


@PROMISES.register("targets run only what callers sent, unchanged")
def _asked(seen: Seen) -> list[str]:
    sent = {(r.request_id, r.what) for r in seen.records}
    return [str(run) for run in seen.runs if (run.request_id, run.what) not in sent]


@PROMISES.register("a request that is not idempotent runs at most once")
def _once(seen: Seen) -> list[str]:
    counts = Counter(run.request_id for run in seen.runs)
    return [str(r) for r in seen.records if not r.is_idempotent and counts[r.request_id] > 1]


@PROMISES.register("a request that was refused as not run did not run")
def _not_run(seen: Seen) -> list[str]:
    ran = {run.request_id for run in seen.runs}
    refused = [r for r in seen.records if not r.is_idempotent and r.status in NOT_RUN_STATUS]
    return [str(r) for r in refused if r.request_id in ran]


@PROMISES.register("no request runs on more targets than its route allows")
def _few_targets(seen: Seen) -> list[str]:
    runs = defaultdict(list)
    for run in seen.runs:
        runs[run.request_id].append(run)
    return [str(rows) for rows in runs.values() if len(rows) > 2]


@PROMISES.register("callers of calm entries get an answer in time")
def _in_time(seen: Seen) -> list[str]:
    waiting = [r for r in seen.records if r.end == "timeout"]
    return [str(r) for r in waiting if r.entry not in seen.disturbed]


@PROMISES.register("calm entries do not close connections in place of an answer")
def _answered(seen: Seen) -> list[str]:
    cut = [r for r in seen.records if r.end.startswith("closed")]
    return [str(r) for r in cut if r.entry not in seen.disturbed]


@PROMISES.register("processes do not end by themselves")
def _alive(seen: Seen) -> list[str]:
    return list(seen.ended)
