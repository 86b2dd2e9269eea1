"""Selects a target of one service for each request."""

from __future__ import annotations

from collections.abc import Container, Iterable
from random import Random

from kingcupusher._routing.errors import UnknownTargetError
from kingcupusher._routing.latency import LatencyTracker
from kingcupusher._routing.policies import POLICIES, PolicySettings
from kingcupusher._routing.report import LoadReport
from kingcupusher._routing.view import Target, TargetView

DEFAULT_POLICY = "expected_load"

OTHER_ZONE_PENALTY = 0.25
"""Number of requests by which a target in another zone must be less loaded to be preferred."""


class ServiceRouter:
    """Selects targets by a policy and by the load and latency of earlier responses.

    With ``zone``, the router slightly prefers targets in that zone, which is the entry's own.
    """

    __slots__ = ("_views", "_latency", "_listed", "_policy", "_zone", "service")

    def __init__(
        self,
        service: str,
        *,
        policy: str = DEFAULT_POLICY,
        seat: int,
        seat_count: int,
        rng: Random,
        zone: str = "",
    ) -> None:
        self.service = service
        self._zone = zone
        self._policy = POLICIES.get(policy)(PolicySettings(rng, seat, seat_count))
        self._latency = LatencyTracker()
        self._views: dict[str, TargetView] = {}
        self._listed: list[TargetView] = []

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Replace the targets that may be chosen.

        The view of a target that is no longer listed is kept while it has requests in flight.
        """
        known = self._listed
        expected = sum(view.others_load for view in known) / len(known) if known else 0.0
        ordered = sorted(targets, key=lambda target: target.target_id)
        self._listed = [self._get_or_create_view(target, expected) for target in ordered]
        kept = {key: view for key, view in self._views.items() if view.in_flight}
        self._views = kept | {view.target_id: view for view in self._listed}
        self._latency.set_views(self._listed)

    def view(self, target_id: str) -> TargetView:
        """Return the view of a target; raise :class:`UnknownTargetError` if there is none."""
        try:
            return self._views[target_id]
        except KeyError:
            raise UnknownTargetError(
                f"service {self.service!r} has no target {target_id!r}; call set_targets first"
            ) from None

    def choose(
        self, *, now_ms: float, allowed: Container[str], exclude: Container[str] = ()
    ) -> TargetView | None:
        """Return a target that is in ``allowed`` and not in ``exclude``, or None."""
        views = [
            view
            for view in self._listed
            if view.target_id in allowed and view.target_id not in exclude
        ]
        if not views:
            return None
        if self._latency.slow_count:
            views = self._latency.exclude_slow(views)
        return self._policy.pick(views, now_ms=now_ms, median_ms=self._latency.median_ms)

    def on_sent(self, target_id: str, *, now_ms: float) -> None:  # noqa: ARG002
        """Record that a request is sent to a target."""
        view = self.view(target_id)
        view.in_flight += 1
        self._latency.on_sent(view)

    def on_response(
        self, target_id: str, *, now_ms: float, elapsed_ms: float, report: LoadReport | None
    ) -> None:
        """Record a complete response and its load report, if it has one."""
        view = self._end_request(target_id)
        load = 0
        if report is not None:
            load = report.in_flight + report.queued
            self._record_report(view, report.boot_id, load, now_ms)
        self._latency.on_success(view, elapsed_ms, load)

    def on_failure(
        self, target_id: str, *, now_ms: float, elapsed_ms: float  # noqa: ARG002
    ) -> None:
        """Record a request without a usable response; it counts as slow."""
        self._latency.on_failure(self._end_request(target_id), elapsed_ms)

    def on_cancelled(self, target_id: str, *, now_ms: float) -> None:  # noqa: ARG002
        """Record a request that its caller cancelled; it is no evidence about the target."""
        self._end_request(target_id)

    def _end_request(self, target_id: str) -> TargetView:
        view = self.view(target_id)
        view.in_flight -= 1
        return view

    def _record_report(self, view: TargetView, boot_id: str, load: int, now_ms: float) -> None:
        if boot_id != view.boot_id:
            view.boot_id = boot_id
            view.reset_latency()
            self._latency.update_slow_count()
        view.record_load(load, now_ms=now_ms)

    def _get_or_create_view(self, target: Target, expected: float) -> TargetView:
        view = self._views.get(target.target_id)
        if view is None:
            # Assumes that a new target has the average load of the others. With 0, all entries
            # would send it their next requests at once.
            view = TargetView(target.target_id, target.zone, target.slots, others_load=expected)
        view.zone = target.zone
        view.slots = target.slots
        view.other_zone_penalty = OTHER_ZONE_PENALTY if self._zone not in ("", target.zone) else 0.0
        return view
