"""CPU time of the router per request: choose, on_sent, parsing of the load report and on_response.

``python -m bench.routing_cost`` prints one JSON object a line, one for each policy.
"""

from __future__ import annotations

from random import Random
from time import process_time_ns

import msgspec

from kingcupusher._routing import POLICIES, LoadReport, ServiceRouter, Target

TARGETS = 12
REQUESTS = 20_000
ROUNDS = 5
IN_FLIGHT_REQUESTS = 8
LOAD_REPORT = b"inflight=2, queued=0, slots=3, state=warm, boot=17"


class Cost(msgspec.Struct, frozen=True, kw_only=True):
    """CPU time per request in the fastest and the slowest of several rounds."""

    policy: str
    targets: int
    best_us: float
    worst_us: float


def _round_us(policy: str) -> float:
    router = ServiceRouter("lookups", policy=policy, seat=0, seat_count=15, rng=Random(1))
    target_ids = [f"t{number:02}" for number in range(TARGETS)]
    router.set_targets(Target(name, "z0", 3) for name in target_ids)
    allowed = frozenset(target_ids)
    in_flight: list[str] = []
    started_ns = process_time_ns()
    for number in range(REQUESTS):
        now_ms = number * 3.0
        view = router.choose(now_ms=now_ms, allowed=allowed, exclude=())
        if view is None:
            raise RuntimeError("no target was chosen")
        router.on_sent(view.target_id, now_ms=now_ms)
        in_flight.append(view.target_id)
        if len(in_flight) > IN_FLIGHT_REQUESTS:
            report = LoadReport.parse(LOAD_REPORT)
            router.on_response(in_flight.pop(0), now_ms=now_ms, elapsed_ms=10.0, report=report)
    return (process_time_ns() - started_ns) / REQUESTS / 1000.0


def measure(policy: str) -> Cost:
    """Return the CPU cost of a policy."""
    rounds = [_round_us(policy) for _ in range(ROUNDS)]
    return Cost(
        policy=policy,
        targets=TARGETS,
        best_us=round(min(rounds), 2),
        worst_us=round(max(rounds), 2),
    )


if __name__ == "__main__":
    for name in POLICIES:
        print(msgspec.json.encode(measure(name)).decode(), flush=True)
