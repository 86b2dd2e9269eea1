"""Event arithmetic of entries and targets over recorded arrivals and service times."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush, heapreplace
from math import inf
from random import Random

from kingcupusher._limits import AdmissionQueue, ColdStartRamp
from kingcupusher._routing import LoadReport, ServiceRouter, Target

TARGETS = 12
SLOTS = 3
ZONES = 3
SERVICE_MS = 10.0
ONE_WAY_MS = 0.5
WARM_UP_SHARE = 0.05
FAST_FAILURE_MS = 0.2
COLD_SLOWNESS = 4.0
ENTRY_CPU_MS = 0.4
QUEUE_LENGTH = 64
INTERACTIVE, BULK = 0, 2


@dataclass(slots=True)
class Request:
    """One recorded request."""

    at_ms: float
    service_ms: float
    entry: int
    sent_ms: float = 0.0
    done_ms: float = 0.0
    tried: tuple[str, ...] = ()
    is_bulk: bool = False


@dataclass(slots=True, frozen=True, kw_only=True)
class Workload:
    """How requests are generated."""

    entries: int
    utilisation: float
    shape: float
    seed: int
    count: int
    entry_weights: tuple[float, ...] = ()
    bulk_per_entry_s: float = 0.0

    def record(self) -> list[Request]:
        """Return the requests in order of arrival; equal workloads give equal requests."""
        rng = Random(self.seed)
        rate_per_ms = self.utilisation * TARGETS * SLOTS / SERVICE_MS
        seats = range(self.entries)
        chosen = rng.choices(seats, self.entry_weights or None, k=self.count)
        requests = []
        now_ms = 0.0
        for seat in chosen:
            now_ms += rng.expovariate(rate_per_ms)
            service_ms = rng.gammavariate(self.shape, SERVICE_MS / self.shape)
            requests.append(Request(now_ms, service_ms, seat))
        return sorted(requests + self._bulk(now_ms), key=lambda request: request.at_ms)

    def _bulk(self, until_ms: float) -> list[Request]:
        rng = Random(self.seed + 1000)
        rate_per_ms = self.bulk_per_entry_s * self.entries / 1000.0
        requests = []
        now_ms = rng.expovariate(rate_per_ms) if rate_per_ms else until_ms
        while now_ms < until_ms:
            requests.append(Request(now_ms, 0.0, rng.randrange(self.entries), is_bulk=True))
            now_ms += rng.expovariate(rate_per_ms)
        return requests


@dataclass(slots=True)
class TargetModel:
    """A target: slots, a queue, and how it misbehaves."""

    name: str
    zone: str
    slowness: float = 1.0
    fails: bool = False
    odd_from_ms: float = inf
    """From this instant on, the target is slow or fails."""
    cold_requests: int = 0
    running: int = 0
    served: int = 0
    queue: deque[Request] = field(default_factory=deque)

    def fails_at(self, now_ms: float) -> bool:
        """Return whether a request that ends now fails."""
        return self.fails and now_ms >= self.odd_from_ms

    def time_ms(self, request: Request, now_ms: float) -> float:
        """Return how long the target works on a request that starts now."""
        if self.fails_at(now_ms):
            return FAST_FAILURE_MS
        cold = COLD_SLOWNESS if self.served < self.cold_requests else 1.0
        slowness = self.slowness if now_ms >= self.odd_from_ms else 1.0
        return request.service_ms * slowness * cold

    def report(self) -> LoadReport:
        """Return the load report of this moment."""
        return LoadReport(self.running, len(self.queue), SLOTS, "warm", "1")


@dataclass(slots=True, frozen=True)
class ColdLimits:
    """Limits of the cold target."""

    slots: int = SLOTS
    cold_concurrency: int = 1
    warmup_ms: int = 5_000


class Simulation:
    """Runs recorded requests through real routers against target models."""

    def __init__(
        self,
        policy: str,
        workload: Workload,
        *,
        zone_preference: bool = False,
        use_queue: bool = False,
        use_priority: bool = True,
    ) -> None:
        self.targets = [TargetModel(f"t{n:02}", f"z{n % ZONES}") for n in range(TARGETS)]
        self._by_name = {target.name: target for target in self.targets}
        self.requests = workload.record()
        self._use_queue = use_queue
        self._use_priority = use_priority
        self._events: list[tuple[float, int, Callable[[float, Request], None], Request]] = []
        self._sequence = 0
        self._routers = [
            ServiceRouter(
                "lookups",
                policy=policy,
                seat=seat,
                seat_count=workload.entries,
                rng=Random(workload.seed * 100 + seat),
                zone=f"z{seat % ZONES}" if zone_preference else "",
            )
            for seat in range(workload.entries)
        ]
        for router in self._routers:
            router.set_targets(Target(target.name, target.zone, SLOTS) for target in self.targets)
        self._cpu_busy = [False] * workload.entries
        self._queues: list[AdmissionQueue[Request]] = [
            AdmissionQueue(max_length=QUEUE_LENGTH, max_bytes=1 << 20) for _ in self._routers
        ]
        self._names = frozenset(self._by_name)
        self._cold: TargetModel | None = None
        self._ramp = ColdStartRamp(ColdLimits())

    def set_cold(self, target: TargetModel, *, slow_requests: int) -> None:
        """Let only the entry at seat 0 use ``target`` until its ramp has ended."""
        target.cold_requests = slow_requests
        self._cold = target

    def run(self) -> None:
        """Run all requests to their end."""
        self._events = [
            (request.at_ms, number, self._arrive, request)
            for number, request in enumerate(self.requests)
        ]
        self._sequence = len(self._events)
        heapify(self._events)
        while self._events:
            now_ms, _, handle, request = heappop(self._events)
            handle(now_ms, request)

    def latencies_ms(self) -> list[float]:
        """Return the sorted response times of the interactive requests after the warm-up."""
        requests = [request for request in self.requests if not request.is_bulk]
        measured = requests[int(len(requests) * WARM_UP_SHARE) :]
        return sorted(request.done_ms - request.at_ms for request in measured)

    def _at(self, at_ms: float, handle: Callable[[float, Request], None], request: Request) -> None:
        self._sequence += 1
        heappush(self._events, (at_ms, self._sequence, handle, request))

    def _arrive(self, now_ms: float, request: Request) -> None:
        if not self._use_queue:
            self._route(now_ms, request)
            return
        queue = self._queues[request.entry]
        is_bulk = request.is_bulk or not self._use_priority
        priority = BULK if is_bulk else INTERACTIVE
        deadline_ms = now_ms + 5_000.0
        queue.offer(
            request, size_bytes=500, deadline_ms=deadline_ms, priority=priority, now_ms=now_ms
        )
        queue.expire(now_ms=now_ms)
        self._start_cpu(now_ms, request.entry)

    def _start_cpu(self, now_ms: float, seat: int) -> None:
        if self._cpu_busy[seat]:
            return
        request = self._queues[seat].take(now_ms=now_ms)
        if request is not None:
            self._cpu_busy[seat] = True
            self._at(now_ms + ENTRY_CPU_MS, self._end_cpu, request)

    def _end_cpu(self, now_ms: float, request: Request) -> None:
        self._cpu_busy[request.entry] = False
        if not request.is_bulk:
            self._route(now_ms, request)
        self._start_cpu(now_ms, request.entry)

    def _allowed(self, now_ms: float, seat: int) -> frozenset[str]:
        cold = self._cold
        if cold is None or self._ramp.is_warm(now_ms=now_ms):
            return self._names
        in_flight = self._routers[0].view(cold.name).in_flight
        if seat == 0 and in_flight < self._ramp.allowance(now_ms=now_ms):
            return self._names
        return self._names - {cold.name}

    def _route(self, now_ms: float, request: Request) -> None:
        router = self._routers[request.entry]
        allowed = self._allowed(now_ms, request.entry)
        view = router.choose(now_ms=now_ms, allowed=allowed, exclude=request.tried)
        if view is None:
            raise RuntimeError("every target was tried")
        router.on_sent(view.target_id, now_ms=now_ms)
        request.sent_ms = now_ms
        request.tried = (*request.tried, view.target_id)
        self._at(now_ms + ONE_WAY_MS, self._reach, request)

    def _reach(self, now_ms: float, request: Request) -> None:
        target = self._by_name[request.tried[-1]]
        target.queue.append(request)
        self._start_next(now_ms, target)

    def _start_next(self, now_ms: float, target: TargetModel) -> None:
        while target.running < SLOTS and target.queue:
            request = target.queue.popleft()
            target.running += 1
            self._at(now_ms + target.time_ms(request, now_ms), self._finish, request)

    def _finish(self, now_ms: float, request: Request) -> None:
        target = self._by_name[request.tried[-1]]
        target.running -= 1
        target.served += 1
        self._start_next(now_ms, target)
        respond = self._fail if target.fails_at(now_ms) else self._responder(target.report())
        self._at(now_ms + ONE_WAY_MS, respond, request)

    def _responder(self, report: LoadReport) -> Callable[[float, Request], None]:
        def respond(now_ms: float, request: Request) -> None:
            target_id = request.tried[-1]
            request.done_ms = now_ms
            elapsed_ms = now_ms - request.sent_ms
            router = self._routers[request.entry]
            router.on_response(target_id, now_ms=now_ms, elapsed_ms=elapsed_ms, report=report)
            if self._cold is not None and self._cold.name == target_id:
                self._ramp.on_success(now_ms=now_ms)

        return respond

    def _fail(self, now_ms: float, request: Request) -> None:
        elapsed_ms = now_ms - request.sent_ms
        router = self._routers[request.entry]
        router.on_failure(request.tried[-1], now_ms=now_ms, elapsed_ms=elapsed_ms)
        self._route(now_ms, request)


def reference_latencies_ms(requests: list[Request], *, slots: int) -> list[float]:
    """Return the sorted response times of one queue that knows every free slot at once."""
    free_ms = [0.0] * slots
    times = []
    for request in requests:
        if request.is_bulk:
            continue
        start_ms = max(request.at_ms, free_ms[0])
        heapreplace(free_ms, start_ms + request.service_ms)
        times.append(start_ms + request.service_ms - request.at_ms + 2 * ONE_WAY_MS)
    return sorted(times[int(len(times) * WARM_UP_SHARE) :])


def quantile(ordered: list[float], share: float) -> float:
    """Return the value below which ``share`` of the sorted values lie."""
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
