"""Router of one service: the entry's view of its targets and the choice among them."""

from __future__ import annotations

from collections.abc import Container, Iterable
from random import Random

from kingcupusher._routing.errors import UnknownTargetError
from kingcupusher._routing.latency import LatencyTracker
from kingcupusher._routing.policies import POLICIES, PolicySettings
from kingcupusher._routing.report import LoadReport
from kingcupusher._routing.view import Target, TargetView

DEFAULT_POLICY = "expected_load"

OTHER_ZONE_LOAD = 0.25
"""Requests by which a target in another zone must be less loaded to be preferred."""


class ServiceRouter:
    """Chooses a target of one service for each request and learns from the responses.

    With ``zone``, targets in the entry's own zone are preferred slightly.
    """

    __slots__ = ("_all", "_latency", "_listed", "_policy", "_zone", "service")

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
        self._all: dict[str, TargetView] = {}
        self._listed: list[TargetView] = []

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Take ``targets`` as the targets that may be chosen from now on.

        The view of a target that is no longer listed is kept while requests are in flight on it.
        """
        known = self._listed
        expected = sum(view.others_mean for view in known) / len(known) if known else 0.0
        ordered = sorted(targets, key=lambda target: target.target_id)
        self._listed = [self._view_of(target, expected) for target in ordered]
        kept = {key: view for key, view in self._all.items() if view.in_flight}
        self._all = kept | {view.target_id: view for view in self._listed}
        self._latency.track(self._listed)

    def view(self, target_id: str) -> TargetView:
        """Return the view of a target; raise :class:`UnknownTargetError` if there is none."""
        try:
            return self._all[target_id]
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
            views = self._latency.without_slow(views)
        return self._policy.pick(views, now_ms=now_ms, typical_ms=self._latency.typical_ms)

    def on_sent(self, target_id: str, *, now_ms: float) -> None:  # noqa: ARG002
        """Note that a request is sent to a target."""
        view = self.view(target_id)
        view.in_flight += 1
        self._latency.on_sent(view)

    def on_response(
        self, target_id: str, *, now_ms: float, elapsed_ms: float, report: LoadReport | None
    ) -> None:
        """Note a complete response, with the load report if it carried one."""
        view = self._end(target_id)
        load = 0
        if report is not None:
            load = report.in_flight + report.queued
            self._note_report(view, report.boot_id, load, now_ms)
        self._latency.on_success(view, elapsed_ms, load)

    def on_failure(
        self, target_id: str, *, now_ms: float, elapsed_ms: float  # noqa: ARG002
    ) -> None:
        """Note a request that ended without a usable response; it counts as a slow one."""
        self._latency.on_failure(self._end(target_id), elapsed_ms)

    def on_cancelled(self, target_id: str, *, now_ms: float) -> None:  # noqa: ARG002
        """Note a request that its caller gave up; it says nothing about the target."""
        self._end(target_id)

    def _end(self, target_id: str) -> TargetView:
        view = self.view(target_id)
        view.in_flight -= 1
        return view

    def _note_report(self, view: TargetView, boot_id: str, load: int, now_ms: float) -> None:
        if boot_id != view.boot_id:
            view.boot_id = boot_id
            view.forget_latency()
            self._latency.recount()
        view.note_load(load, now_ms=now_ms)

    def _view_of(self, target: Target, expected: float) -> TargetView:
        view = self._all.get(target.target_id)
        if view is None:
            # A new target is expected to be as loaded as the others. With 0, all entries would
            # send it their next requests at once.
            view = TargetView(target.target_id, target.zone, target.slots, others_mean=expected)
        view.zone = target.zone
        view.slots = target.slots
        view.zone_load = OTHER_ZONE_LOAD if self._zone not in ("", target.zone) else 0.0
        return view
