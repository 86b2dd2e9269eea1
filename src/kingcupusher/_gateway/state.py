"""State that all requests of an entry share."""

from __future__ import annotations

from random import Random

from kingcupusher._core import now_ms as monotonic_ms
from kingcupusher._discovery import Catalog, CrashSeen, CrashWithdrawn, Route
from kingcupusher._gateway.attempt import AttemptOutcome, AttemptResult
from kingcupusher._gateway.crash_reports import CrashReports, CrashStore
from kingcupusher._gateway.customer_quotas import CustomerQuotas
from kingcupusher._gateway.drain import Drain
from kingcupusher._gateway.header_codec import HeaderCodec
from kingcupusher._gateway.hedge_state import HedgeState
from kingcupusher._gateway.load_probe import LoadProber
from kingcupusher._gateway.rollout_traffic import RolloutTraffic
from kingcupusher._gateway.selector import TargetSelector
from kingcupusher._gateway.settings import GatewaySettings
from kingcupusher._gateway.target_clients import TargetClients
from kingcupusher._gateway.wait_queue import WaitQueue
from kingcupusher._http.caller_resources import CallerResources
from kingcupusher._http.errors import BadRequestError
from kingcupusher._http.heads import HeaderList, RequestHead
from kingcupusher._http.response_budget import ResponseBudget
from kingcupusher._limits.windowed_retry import WindowedRetryBudget
from kingcupusher._observe.events import EventLog
from kingcupusher._observe.metrics_registry import Labels, Metrics, labels
from kingcupusher._routing.acceptance import ResponseTimeEstimate


class GatewayState:
    """Catalog, target clients, wait queues and budgets of the request path."""

    __slots__ = (
        "_retry_budgets",
        "_wait_queues",
        "_response_times",
        "caller_resources",
        "crash_reports",
        "customer_quotas",
        "drain",
        "hedge_state",
        "rollout_traffic",
        "response_budget",
        "catalog",
        "header_codec",
        "target_clients",
        "log",
        "metrics",
        "selector",
        "settings",
        "prober",
    )

    def __init__(
        self,
        settings: GatewaySettings,
        catalog: Catalog,
        header_codec: HeaderCodec,
        log: EventLog,
        *,
        store: CrashStore,
    ) -> None:
        self.settings = settings
        self.catalog = catalog
        self.header_codec = header_codec
        self.log = log
        self.metrics = Metrics()
        self.target_clients = TargetClients(
            catalog, connection_limit=settings.connection_limit, on_event=self.on_event
        )
        self.response_budget = ResponseBudget(settings.response_memory_bytes)
        self.caller_resources = CallerResources(
            memory_bytes=settings.caller_memory_bytes,
            connection_limit=settings.caller_connection_limit,
            refusal_headers=self._refusal_headers,
            on_refused=self._on_refused,
        )
        self.prober = LoadProber(self.target_clients, header_codec, budget=self.response_budget)
        self.rollout_traffic = RolloutTraffic(catalog, self.metrics, rng=Random())
        self.selector = TargetSelector(
            catalog,
            self.target_clients,
            self.prober,
            entry=settings.entry,
            zone=settings.zone,
            fleet_limits=settings.fleet_limits,
            rollout_traffic=self.rollout_traffic,
            rng=Random(),
        )
        self._retry_budgets: dict[str, WindowedRetryBudget] = {}
        self._wait_queues: dict[str, WaitQueue] = {}
        self._response_times: dict[str, ResponseTimeEstimate] = {}
        catalog.listeners.append(self._forget_removed_routes)
        self.crash_reports = CrashReports(store, on_event=self.on_event)
        self.drain = Drain()
        self.hedge_state: HedgeState | None = None
        if settings.hedge_percent > 0.0:
            self.hedge_state = HedgeState(percent=settings.hedge_percent, rng=Random())
        self.customer_quotas: CustomerQuotas | None = None
        """None in an entry without a link to the lead."""

    def on_event(self, event: str, **fields: object) -> None:
        """Log an event and count it in the metrics."""
        self.metrics.count("events_total", labels(event=event))
        self.log.event(event, **fields)

    def _refusal_headers(self, head: RequestHead) -> HeaderList:
        return self.header_codec.error_response_headers(head, retry_after_ms=None)

    def _on_refused(self, error: BadRequestError) -> None:
        """Count a request that was rejected before it was complete; log lack of memory."""
        self.metrics.count("requests_rejected_total", labels(status=str(error.status)))
        if error.retry_after_ms is not None:
            self.log.event(
                "request refused",
                reason=str(error),
                used_bytes=self.caller_resources.budget.used_bytes,
            )

    async def learn_from(self, result: AttemptResult, *, request_id: bytes) -> None:
        """Record what an attempt shows about its target and about equal requests."""
        client = result.attempt.probed.client
        self.target_clients.record_announcement(
            client, result.announcement, request_id=request_id.decode("latin-1")
        )
        fingerprint = result.attempt.fingerprint
        if result.outcome is AttemptOutcome.SUCCESS:
            await self._withdraw_evidence(fingerprint)
        elif result.has_lost_response:
            await self._record_evidence(fingerprint, client.target.target_id)

    async def _record_evidence(self, fingerprint: str, target_id: str) -> None:
        """Record that a target ended its connection during a request, and tell other entries."""
        crash = CrashSeen(fingerprint, target_id)
        if self.catalog.crashes.record(fingerprint, target_id, now_ms=monotonic_ms()):
            self.on_event("target ended under a request", fingerprint=fingerprint, target=target_id)
            await self.crash_reports.add(crash)

    async def _withdraw_evidence(self, fingerprint: str) -> None:
        """Withdraw the evidence against equal requests, also at other entries."""
        targets = self.catalog.crashes.on_success(fingerprint, now_ms=monotonic_ms())
        for target_id in targets:
            await self.crash_reports.add(CrashWithdrawn(fingerprint, target_id))

    def on_request(self, service: str) -> None:
        """Count a request of ``service``, of which retries and hedges may be a share."""
        current_ms = monotonic_ms()
        self.retry_budget(service).on_request(now_ms=current_ms)
        if self.hedge_state is not None:
            entries = self.catalog.live_entries.count(now_ms=current_ms)
            self.hedge_state.limit(service).on_request(entries=entries)

    def may_hedge(self, route: Route) -> bool:
        """Return whether requests of ``route`` may be sent to a second target in parallel."""
        return self.hedge_state is not None and route.is_idempotent

    def retry_budget(self, service: str) -> WindowedRetryBudget:
        """Return the retry budget of ``service``."""
        budget = self._retry_budgets.get(service)
        if budget is None:
            limits = self.settings.fleet_limits
            budget = WindowedRetryBudget(ratio=limits.retry_ratio, window_ms=limits.retry_window_ms)
            self._retry_budgets[service] = budget
        return budget

    def wait_queue(self, service: str) -> WaitQueue:
        """Return the wait queue of ``service``."""
        wait_queue = self._wait_queues.get(service)
        if wait_queue is None:
            wait_queue = self._wait_queues[service] = WaitQueue(self.selector)
        return wait_queue

    def response_time(self, route: Route) -> ResponseTimeEstimate:
        """Return the response time estimate of ``route``."""
        estimate = self._response_times.get(route.name)
        if estimate is None:
            estimate = self._response_times[route.name] = ResponseTimeEstimate(
                objective_ms=route.objective_ms
            )
        return estimate

    def _forget_removed_routes(self, event: str, fields: dict[str, object]) -> None:  # noqa: ARG002
        """Drop the response time estimates of routes that are no longer in force."""
        table = self.catalog.route_table
        if event != "routes in force" or table is None:
            return
        names = {route.name for route in table.routes}
        self._response_times = {
            name: estimate for name, estimate in self._response_times.items() if name in names
        }

    def gauges(self, *, now_ms: float) -> dict[tuple[str, Labels], float]:
        """Return the current values of the gauges."""
        catalog = self.catalog
        values: dict[tuple[str, Labels], float] = {
            ("routes_version", ()): catalog.route_table.version if catalog.route_table else 0,
            ("zones_out", ()): len(catalog.zones_out),
            ("entries", ()): len(catalog.live_entries.names(now_ms=now_ms)),
            ("log_lines_dropped_total", ()): self.log.dropped_lines,
            ("questions_total", ()): self.prober.probe_count,
            ("response_memory_bytes", ()): self.response_budget.used_bytes,
            ("request_memory_bytes", ()): self.caller_resources.budget.used_bytes,
            ("requests_evicted_total", ()): self.caller_resources.budget.evicted_count,
            ("requests_quarantined", ()): catalog.crashes.refused_count(now_ms=now_ms),
        }
        slack = self.retry_slack(now_ms=now_ms)
        for service in catalog.route_table.services if catalog.route_table else ():
            usable = len(catalog.usable_targets(service))
            known = sum(t.record.service == service for t in catalog.targets.values())
            values["targets", labels(service=service, usable="yes")] = usable
            values["targets", labels(service=service, usable="no")] = known - usable
            limited = self.target_clients.rate_limited_count(service)
            values["targets_rate_limited", labels(service=service)] = limited
            for state in ("leaving", "paused"):
                announced = self.target_clients.announced_count(service, state)
                values["targets_announced", labels(service=service, state=state)] = announced
            remaining = self.retry_budget(service).remaining(slack=slack, now_ms=now_ms)
            values["repeats_left", labels(service=service)] = remaining
        for service, wait_queue in self._wait_queues.items():
            values["waiting_requests", labels(service=service)] = len(wait_queue)
        return values

    def retry_slack(self, *, now_ms: float) -> float:
        """Return this entry's share of the retries beyond the ratio, 0 in an unknown fleet."""
        live_entries = self.catalog.live_entries
        if not live_entries.is_known(now_ms=now_ms):
            return 0.0
        return self.settings.fleet_limits.retry_slack / live_entries.count(now_ms=now_ms)
