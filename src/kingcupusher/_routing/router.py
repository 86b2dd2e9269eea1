"""Router of one service: the entry's view of its targets and the choice among them."""

from __future__ import annotations

from collections.abc import Container, Iterable
from random import Random

from kingcupusher._routing.errors import UnknownTargetError
from kingcupusher._routing.policies import POLICIES, PolicySettings
from kingcupusher._routing.report import LoadReport
from kingcupusher._routing.view import Target, TargetView

DEFAULT_POLICY = "least_in_flight"
REPORT_VALID_MS = 15.0


class ServiceRouter:
    """Chooses a target of one service for each request and learns from the responses."""

    __slots__ = ("_all", "_ordered", "_policy", "service")

    def __init__(
        self, service: str, *, policy: str = DEFAULT_POLICY, seat: int, seats: int, rng: Random
    ) -> None:
        self.service = service
        self._policy = POLICIES.get(policy)(PolicySettings(rng, seat, seats))
        self._all: dict[str, TargetView] = {}
        self._ordered: list[TargetView] = []

    def sync(self, targets: Iterable[Target]) -> None:
        """Take ``targets`` as the targets that may be chosen from now on.

        The view of a target that is no longer listed is kept while requests are in flight on it.
        """
        listed = sorted(targets, key=lambda target: target.target_id)
        views = [self._view_of(target) for target in listed]
        kept = {key: view for key, view in self._all.items() if view.in_flight}
        self._all = kept | {view.target_id: view for view in views}
        self._ordered = views

    def view(self, target_id: str) -> TargetView:
        """Return the view of a target; raise :class:`UnknownTargetError` if there is none."""
        try:
            return self._all[target_id]
        except KeyError:
            raise UnknownTargetError(
                f"service {self.service!r} has no target {target_id!r}; call sync first"
            ) from None

    def choose(
        self, *, now_ms: float, allowed: Container[str], exclude: Container[str] = ()
    ) -> TargetView | None:
        """Return a target that is in ``allowed`` and not in ``exclude``, or None."""
        views = [
            view
            for view in self._ordered
            if view.target_id in allowed and view.target_id not in exclude
        ]
        if not views:
            return None
        return self._policy.pick(views, now_ms=now_ms)

    def on_sent(self, target_id: str, *, now_ms: float) -> None:  # noqa: ARG002
        """Note that a request is sent to a target."""
        self.view(target_id).in_flight += 1

    def on_response(
        self, target_id: str, *, now_ms: float, elapsed_ms: float, report: LoadReport | None
    ) -> None:
        """Note a complete response, with the load report if it carried one."""
        view = self._finish(target_id, elapsed_ms)
        if report is None:
            return
        view.others_load = max(0, report.in_flight + report.queued - view.in_flight)
        view.report_deadline_ms = now_ms + REPORT_VALID_MS

    def on_failure(self, target_id: str, *, now_ms: float, elapsed_ms: float) -> None:
        """Note a request that ended without a usable response."""
        view = self._finish(target_id, elapsed_ms)
        view.report_deadline_ms = now_ms

    def on_cancel(self, target_id: str) -> None:
        """Note a request that ended for a reason that says nothing about the target."""
        self.view(target_id).in_flight -= 1

    def _finish(self, target_id: str, elapsed_ms: float) -> TargetView:
        view = self.view(target_id)
        view.in_flight -= 1
        view.latency_ms += (elapsed_ms - view.latency_ms) * 0.2
        return view

    def _view_of(self, target: Target) -> TargetView:
        view = self._all.get(target.target_id)
        if view is None:
            return TargetView(target.target_id, target.zone, target.slots)
        view.zone = target.zone
        view.slots = target.slots
        return view
