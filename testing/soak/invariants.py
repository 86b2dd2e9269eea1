"""Invariants of the system, checked on what callers and targets recorded."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Collection

from msgspec import Struct

from kingcupusher._core import Registry
from testing.soak.callers import RequestRecord

NOT_RUN_STATUS = frozenset({408, 421, 429, 503})


class Execution(Struct, frozen=True):
    """A request that a target began to work on."""

    started_ms: float
    request_id: bytes
    request_digest: bytes


class Observations(Struct):
    """What callers and targets recorded, and the processes that exited unexpectedly.

    ``disturbed`` holds the entries that were killed, paused or asked to end during the run.
    """

    records: Collection[RequestRecord]
    executions: Collection[Execution]
    unexpected_exits: Collection[str]
    disturbed: Collection[str]


Invariant = Callable[[Observations], list[str]]
"""Returns a description of each violation."""
INVARIANTS: Registry[Invariant] = Registry("invariant")


def parse_execution_log(text: bytes) -> list[Execution]:
    """Read the log that the targets write; a last line that was cut by a kill is left out."""
    rows = [line.split() for line in text.split(b"\n")]
    return [Execution(float(row[0]), row[1], row[2]) for row in rows if len(row) == 3]


@INVARIANTS.register("a successful response is the target's complete response to this request")
def _success_is_valid(seen: Observations) -> list[str]:
    return [str(r) for r in seen.records if 200 <= r.status < 300 and not r.is_valid_response]


@INVARIANTS.register("a request with a successful response was executed")
def _success_was_executed(seen: Observations) -> list[str]:
    ran = {execution.request_id for execution in seen.executions}
    return [str(r) for r in seen.records if r.status == 200 and r.request_id not in ran]


@INVARIANTS.register("targets execute only requests that callers sent, unchanged")
def _executed_request_was_sent(seen: Observations) -> list[str]:
    sent = {(r.request_id, r.request_digest) for r in seen.records}
    return [str(e) for e in seen.executions if (e.request_id, e.request_digest) not in sent]


@INVARIANTS.register("a non-idempotent request is executed at most once")
def _non_idempotent_executed_once(seen: Observations) -> list[str]:
    counts = Counter(execution.request_id for execution in seen.executions)
    return [str(r) for r in seen.records if not r.is_idempotent and counts[r.request_id] > 1]


@INVARIANTS.register("a request that was rejected as not executed was not executed")
def _rejected_was_not_executed(seen: Observations) -> list[str]:
    ran = {execution.request_id for execution in seen.executions}
    refused = [r for r in seen.records if not r.is_idempotent and r.status in NOT_RUN_STATUS]
    return [str(r) for r in refused if r.request_id in ran]


@INVARIANTS.register("no request is executed by more targets than its route allows")
def _attempts_are_limited(seen: Observations) -> list[str]:
    runs = defaultdict(list)
    for execution in seen.executions:
        runs[execution.request_id].append(execution)
    return [str(rows) for rows in runs.values() if len(rows) > 2]


@INVARIANTS.register("undisturbed entries respond in time")
def _undisturbed_respond(seen: Observations) -> list[str]:
    timed_out = [r for r in seen.records if r.failure == "timeout"]
    return [str(r) for r in timed_out if r.entry not in seen.disturbed]


@INVARIANTS.register("undisturbed entries do not close a connection instead of responding")
def _undisturbed_keep_connections(seen: Observations) -> list[str]:
    cut = [r for r in seen.records if r.failure.startswith("closed")]
    return [str(r) for r in cut if r.entry not in seen.disturbed]


@INVARIANTS.register("processes do not exit unexpectedly")
def _processes_stay_up(seen: Observations) -> list[str]:
    return list(seen.unexpected_exits)
