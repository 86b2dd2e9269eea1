"""Discrete-event simulation of entries and targets with generated arrivals and service times."""

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
MEAN_SERVICE_TIME_MS = 10.0
ONE_WAY_MS = 0.5
WARM_UP_SHARE = 0.05
FAILURE_TIME_MS = 0.2
COLD_SLOWNESS = 4.0
ENTRY_CPU_PER_REQUEST_MS = 0.4
QUEUE_LENGTH = 64
INTERACTIVE_PRIORITY, BULK_PRIORITY = 0, 2


@dataclass(slots=True)
class Request:
    """A generated request and its progress in the simulation."""

    arrival_ms: float
    service_time_ms: float
    entry: int
    sent_ms: float = 0.0
    completed_ms: float = 0.0
    tried_target_ids: tuple[str, ...] = ()
    is_bulk: bool = False


@dataclass(slots=True, frozen=True, kw_only=True)
class Workload:
    """Parameters of the generated requests."""

    entries: int
    utilisation: float
    shape: float
    seed: int
    count: int
    entry_weights: tuple[float, ...] = ()
    bulk_per_entry_s: float = 0.0

    def generate_requests(self) -> list[Request]:
        """Return the requests in order of arrival; equal workloads generate equal requests."""
        rng = Random(self.seed)
        rate_per_ms = self.utilisation * TARGETS * SLOTS / MEAN_SERVICE_TIME_MS
        seats = range(self.entries)
        request_seats = rng.choices(seats, self.entry_weights or None, k=self.count)
        requests = []
        now_ms = 0.0
        for seat in request_seats:
            now_ms += rng.expovariate(rate_per_ms)
            service_time_ms = rng.gammavariate(self.shape, MEAN_SERVICE_TIME_MS / self.shape)
            requests.append(Request(now_ms, service_time_ms, seat))
        return sorted(
            requests + self._bulk_requests(now_ms), key=lambda request: request.arrival_ms
        )

    def _bulk_requests(self, until_ms: float) -> list[Request]:
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
    """A target with slots, a queue and optional faults."""

    name: str
    zone: str
    slowness: float = 1.0
    fails: bool = False
    fault_start_ms: float = inf
    """Instant from which ``slowness`` or ``fails`` applies."""
    slow_request_count: int = 0
    running: int = 0
    served: int = 0
    queue: deque[Request] = field(default_factory=deque)

    def fails_at(self, now_ms: float) -> bool:
        """Return whether a request that completes at ``now_ms`` fails."""
        return self.fails and now_ms >= self.fault_start_ms

    def duration_ms(self, request: Request, now_ms: float) -> float:
        """Return the service time of a request that the target starts at ``now_ms``."""
        if self.fails_at(now_ms):
            return FAILURE_TIME_MS
        cold = COLD_SLOWNESS if self.served < self.slow_request_count else 1.0
        slowness = self.slowness if now_ms >= self.fault_start_ms else 1.0
        return request.service_time_ms * slowness * cold

    def report(self) -> LoadReport:
        """Return the current load report."""
        return LoadReport(self.running, len(self.queue), SLOTS, "warm", "1")


@dataclass(slots=True, frozen=True)
class ColdLimits:
    """Limits of the cold target."""

    slots: int = SLOTS
    cold_concurrency: int = 1
    warmup_ms: int = 5_000


class Simulation:
    """Sends generated requests through the routers of the product to simulated targets."""

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
        self.requests = workload.generate_requests()
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
        self._is_processing = [False] * workload.entries
        self._queues: list[AdmissionQueue[Request]] = [
            AdmissionQueue(max_length=QUEUE_LENGTH, max_bytes=1 << 20) for _ in self._routers
        ]
        self._target_names = frozenset(self._by_name)
        self._cold_target: TargetModel | None = None
        self._ramp = ColdStartRamp(ColdLimits())

    def set_cold(self, target: TargetModel, *, slow_requests: int) -> None:
        """Let only the entry with seat 0 use ``target`` until its cold-start ramp has ended."""
        target.slow_request_count = slow_requests
        self._cold_target = target

    def run(self) -> None:
        """Process events until all requests have completed."""
        self._events = [
            (request.arrival_ms, number, self._arrive, request)
            for number, request in enumerate(self.requests)
        ]
        self._sequence = len(self._events)
        heapify(self._events)
        while self._events:
            now_ms, _, handle, request = heappop(self._events)
            handle(now_ms, request)

    def latencies_ms(self) -> list[float]:
        """Return the sorted latencies of the interactive requests after the warm-up."""
        requests = [request for request in self.requests if not request.is_bulk]
        measured = requests[int(len(requests) * WARM_UP_SHARE) :]
        return sorted(request.completed_ms - request.arrival_ms for request in measured)

    def _schedule(
        self, due_ms: float, handle: Callable[[float, Request], None], request: Request
    ) -> None:
        self._sequence += 1
        heappush(self._events, (due_ms, self._sequence, handle, request))

    def _arrive(self, now_ms: float, request: Request) -> None:
        if not self._use_queue:
            self._route(now_ms, request)
            return
        queue = self._queues[request.entry]
        is_bulk = request.is_bulk or not self._use_priority
        priority = BULK_PRIORITY if is_bulk else INTERACTIVE_PRIORITY
        deadline_ms = now_ms + 5_000.0
        queue.offer(
            request, size_bytes=500, deadline_ms=deadline_ms, priority=priority, now_ms=now_ms
        )
        queue.expire(now_ms=now_ms)
        self._start_processing(now_ms, request.entry)

    def _start_processing(self, now_ms: float, seat: int) -> None:
        if self._is_processing[seat]:
            return
        request = self._queues[seat].take(now_ms=now_ms)
        if request is not None:
            self._is_processing[seat] = True
            self._schedule(now_ms + ENTRY_CPU_PER_REQUEST_MS, self._finish_processing, request)

    def _finish_processing(self, now_ms: float, request: Request) -> None:
        self._is_processing[request.entry] = False
        if not request.is_bulk:
            self._route(now_ms, request)
        self._start_processing(now_ms, request.entry)

    def _allowed_targets(self, now_ms: float, seat: int) -> frozenset[str]:
        cold = self._cold_target
        if cold is None or self._ramp.is_warm(now_ms=now_ms):
            return self._target_names
        in_flight = self._routers[0].view(cold.name).in_flight
        if seat == 0 and in_flight < self._ramp.allowance(now_ms=now_ms):
            return self._target_names
        return self._target_names - {cold.name}

    def _route(self, now_ms: float, request: Request) -> None:
        router = self._routers[request.entry]
        allowed = self._allowed_targets(now_ms, request.entry)
        view = router.choose(now_ms=now_ms, allowed=allowed, exclude=request.tried_target_ids)
        if view is None:
            raise RuntimeError("every target was tried")
        router.on_sent(view.target_id, now_ms=now_ms)
        request.sent_ms = now_ms
        request.tried_target_ids = (*request.tried_target_ids, view.target_id)
        self._schedule(now_ms + ONE_WAY_MS, self._reach_target, request)

    def _reach_target(self, now_ms: float, request: Request) -> None:
        target = self._by_name[request.tried_target_ids[-1]]
        target.queue.append(request)
        self._start_queued_requests(now_ms, target)

    def _start_queued_requests(self, now_ms: float, target: TargetModel) -> None:
        while target.running < SLOTS and target.queue:
            request = target.queue.popleft()
            target.running += 1
            self._schedule(now_ms + target.duration_ms(request, now_ms), self._finish, request)

    def _finish(self, now_ms: float, request: Request) -> None:
        target = self._by_name[request.tried_target_ids[-1]]
        target.running -= 1
        target.served += 1
        self._start_queued_requests(now_ms, target)
        respond = self._on_failure if target.fails_at(now_ms) else self._responder(target.report())
        self._schedule(now_ms + ONE_WAY_MS, respond, request)

    def _responder(self, report: LoadReport) -> Callable[[float, Request], None]:
        def respond(now_ms: float, request: Request) -> None:
            target_id = request.tried_target_ids[-1]
            request.completed_ms = now_ms
            elapsed_ms = now_ms - request.sent_ms
            router = self._routers[request.entry]
            router.on_response(target_id, now_ms=now_ms, elapsed_ms=elapsed_ms, report=report)
            if self._cold_target is not None and self._cold_target.name == target_id:
                self._ramp.on_success(now_ms=now_ms)

        return respond

    def _on_failure(self, now_ms: float, request: Request) -> None:
        elapsed_ms = now_ms - request.sent_ms
        router = self._routers[request.entry]
        router.on_failure(request.tried_target_ids[-1], now_ms=now_ms, elapsed_ms=elapsed_ms)
        self._route(now_ms, request)


def reference_latencies_ms(requests: list[Request], *, slots: int) -> list[float]:
    """Return the sorted latencies of an ideal single queue in front of all slots."""
    free_at_ms = [0.0] * slots
    times_ms = []
    for request in requests:
        if request.is_bulk:
            continue
        start_ms = max(request.arrival_ms, free_at_ms[0])
        heapreplace(free_at_ms, start_ms + request.service_time_ms)
        times_ms.append(start_ms + request.service_time_ms - request.arrival_ms + 2 * ONE_WAY_MS)
    return sorted(times_ms[int(len(times_ms) * WARM_UP_SHARE) :])


def quantile(ordered: list[float], share: float) -> float:
    """Return the value below which ``share`` of the sorted values lie."""
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
