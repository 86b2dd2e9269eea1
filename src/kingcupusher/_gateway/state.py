"""What all requests of an entry share."""

from __future__ import annotations

from random import Random

from kingcupusher._discovery import Catalog, Route
from kingcupusher._gateway.header_codec import HeaderCodec
from kingcupusher._gateway.load_probe import Surveyor
from kingcupusher._gateway.selector import Selector
from kingcupusher._gateway.settings import GatewaySettings
from kingcupusher._gateway.target_clients import Links
from kingcupusher._gateway.wait_queue import Line
from kingcupusher._limits.sliding_window_retry import SlidingWindowRetryBudget
from kingcupusher._observe.events import EventLog
from kingcupusher._observe.metrics_registry import Labels, Metrics, labels
from kingcupusher._routing.acceptance import ResponseTimeEstimate


class Gateway:
    """Shared state of the request path."""

    __slots__ = (
        "_budgets",
        "_lines",
        "_work",
        "catalog",
        "header_codec",
        "is_stopping",
        "links",
        "log",
        "metrics",
        "selector",
        "settings",
        "surveyor",
    )

    def __init__(
        self, settings: GatewaySettings, catalog: Catalog, header_codec: HeaderCodec, log: EventLog
    ) -> None:
        self.settings = settings
        self.catalog = catalog
        self.header_codec = header_codec
        self.log = log
        self.metrics = Metrics()
        self.links = Links(catalog, connection_limit=settings.connection_limit)
        self.surveyor = Surveyor(self.links, header_codec)
        self.selector = Selector(
            catalog,
            self.links,
            self.surveyor,
            entry=settings.entry,
            zone=settings.zone,
            fleet_limits=settings.fleet_limits,
            rng=Random(),
        )
        self._budgets: dict[str, SlidingWindowRetryBudget] = {}
        self._lines: dict[str, Line] = {}
        self._work: dict[str, ResponseTimeEstimate] = {}
        self.is_stopping = False

    def budget(self, service: str) -> SlidingWindowRetryBudget:
        """Return the budget of repeats to ``service``."""
        budget = self._budgets.get(service)
        if budget is None:
            fleet_limits = self.settings.fleet_limits
            budget = SlidingWindowRetryBudget(
                ratio=fleet_limits.retry_ratio, window_ms=fleet_limits.retry_window_ms
            )
            self._budgets[service] = budget
        return budget

    def line(self, service: str) -> Line:
        """Return the requests that wait for a place at ``service``."""
        line = self._lines.get(service)
        if line is None:
            line = self._lines[service] = Line(self.selector)
        return line

    def work(self, route: Route) -> ResponseTimeEstimate:
        """Return the usual response time of the requests of ``route``."""
        work = self._work.get(route.name)
        if work is None:
            work = self._work[route.name] = ResponseTimeEstimate(objective_ms=route.objective_ms)
        return work

    def gauges(self, *, now_ms: float) -> dict[tuple[str, Labels], float]:
        """Return the current values that the metrics show."""
        catalog = self.catalog
        values: dict[tuple[str, Labels], float] = {
            ("routes_version", ()): catalog.route_table.version if catalog.route_table else 0,
            ("zones_out", ()): len(catalog.zones_out),
            ("entries", ()): len(catalog.live_entries.names(now_ms=now_ms)),
            ("log_lines_dropped_total", ()): self.log.dropped_lines,
            ("questions_total", ()): self.surveyor.asked_count,
        }
        slack = self.repeat_slack(now_ms=now_ms)
        for service in catalog.route_table.services if catalog.route_table else ():
            usable = len(catalog.usable_targets(service))
            known = sum(t.record.service == service for t in catalog.targets.values())
            values["targets", labels(service=service, usable="yes")] = usable
            values["targets", labels(service=service, usable="no")] = known - usable
            left = self.budget(service).remaining(slack=slack, now_ms=now_ms)
            values["repeats_left", labels(service=service)] = left
        return values

    def repeat_slack(self, *, now_ms: float) -> float:
        """Return this entry's part of the repeats that the fleet may send beside the ratio."""
        return self.settings.fleet_limits.retry_slack / self.catalog.live_entries.count(
            now_ms=now_ms
        )
