"""CPU time of one request in the router: choose, on_sent, load report and on_response.

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
IN_FLIGHT = 8
HEADER = b"inflight=2, queued=0, slots=3, state=warm, boot=17"


class Cost(msgspec.Struct, frozen=True, kw_only=True):
    """CPU time per request, the best and the worst of several rounds."""

    policy: str
    targets: int
    best_us: float
    worst_us: float


def _round_us(policy: str) -> float:
    router = ServiceRouter("lookups", policy=policy, seat=0, seat_count=15, rng=Random(1))
    names = [f"t{number:02}" for number in range(TARGETS)]
    router.set_targets(Target(name, "z0", 3) for name in names)
    allowed = frozenset(names)
    waiting: list[str] = []
    started_ns = process_time_ns()
    for number in range(REQUESTS):
        now_ms = number * 3.0
        view = router.choose(now_ms=now_ms, allowed=allowed, exclude=())
        if view is None:
            raise RuntimeError("no target was chosen")
        router.on_sent(view.target_id, now_ms=now_ms)
        waiting.append(view.target_id)
        if len(waiting) > IN_FLIGHT:
            report = LoadReport.parse(HEADER)
            router.on_response(waiting.pop(0), now_ms=now_ms, elapsed_ms=10.0, report=report)
    return (process_time_ns() - started_ns) / REQUESTS / 1000.0


def measure(policy: str) -> Cost:
    """Return the cost of a policy."""
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
