"""Requests of an entry during a rollout: which version they may go to, and what became of them."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from kingcupusher._core import now_ms as monotonic_ms
from kingcupusher._discovery import Catalog, Rollout, RolloutOrder, RolloutPhase, Target
from kingcupusher._gateway.attempt import DEADLINE_REASON, Attempt, AttemptOutcome, AttemptResult
from kingcupusher._limits.rollout_ledger import EntryCounts, RouteOutcomes
from kingcupusher._observe.metrics_registry import Metrics, labels
from kingcupusher._routing.version_choice import OLD_VERSION_DRAW, VersionRule, choose_targets

MIN_CAPACITY_SHARE = 0.8
"""The new version needs this share of the slots of the old one before it gets all requests. A few
of its targets may be lost or late."""
IS_FAILURE_BY_OUTCOME = {
    AttemptOutcome.SUCCESS: False,
    AttemptOutcome.FAILURE: True,
    AttemptOutcome.UNPROVEN_REFUSAL: True,
    AttemptOutcome.BROKEN: True,
    AttemptOutcome.SUPERSEDED: False,
    AttemptOutcome.UNANSWERED: False,
}
"""Outcomes that tell about a version. An attempt that was superseded, or that the caller gave up,
would have taken longer still."""


class RolloutTraffic:
    """Applies the rollouts in force to the requests of this entry, and counts their responses."""

    __slots__ = ("_catalog", "_counts", "_had_old", "_in_flight", "_metrics", "_rng")

    def __init__(self, catalog: Catalog, metrics: Metrics, *, rng: Random) -> None:
        self._catalog = catalog
        self._metrics = metrics
        self._rng = rng
        self._counts: dict[str, tuple[int, EntryCounts]] = {}
        self._had_old: set[tuple[str, int]] = set()
        self._in_flight: dict[int, Attempt] = {}

    # -- choice

    def draw(self, service: str) -> float:
        """Return the number of a new request, by which its version is chosen.

        A request that began before the order stays one for the old version.
        """
        if self._catalog.rollout_states.in_force(service) is None:
            return OLD_VERSION_DRAW
        return self._rng.random()

    def allowed(self, service: str, targets: Sequence[Target], draw: float) -> Sequence[Target]:
        """Return those of the usable ``targets`` that the request may go to."""
        rollout = self._catalog.rollout_states.in_force(service)
        if rollout is None:
            refused = self._catalog.rollout_states.refused(service)
            return [t for t in targets if t.version not in refused] if refused else targets
        current_ms = monotonic_ms()
        rule = self._rule(rollout, current_ms)
        return choose_targets(targets, rule, draw=draw, now_ms=current_ms)

    def followed_phase(self, service: str) -> RolloutPhase | None:
        """Return the phase that new requests follow; until the ramp is over, that is the trial."""
        rollout = self._catalog.rollout_states.in_force(service)
        if rollout is None or rollout.phase is not RolloutPhase.SHIFT:
            return None if rollout is None else rollout.phase
        has_shifted = self._rule(rollout, monotonic_ms()).new_share() >= 1.0
        return RolloutPhase.SHIFT if has_shifted else RolloutPhase.TRIAL

    def _rule(self, rollout: Rollout, current_ms: float) -> VersionRule:
        return VersionRule(
            service=rollout.service,
            target_version=rollout.target_version,
            phase=rollout.phase,
            phase_age_ms=current_ms - rollout.phase_seen_ms,
            rejected=rollout.rejected,
            had_old_since_order=self.had_old_since_order(rollout),
            has_new=self.has_new(rollout),
            skips_ramp=rollout.is_first_phase,
        )

    def had_old_since_order(self, rollout: Rollout) -> bool:
        """Return whether a target of another version was registered since the order.

        Targets of rejected versions count only while no other target is registered.
        """
        if rollout.has_only_rejected:
            return True
        key = (rollout.service, rollout.order_revision)
        if key not in self._had_old and any(
            t.version not in (rollout.target_version, *rollout.rejected)
            for t in self._catalog.targets.values()
            if t.record.service == rollout.service
        ):
            self._had_old.add(key)
        return key in self._had_old

    def has_new(self, rollout: Rollout) -> bool:
        """Return whether a target of the ordered version is registered."""
        return any(
            t.version == rollout.target_version
            for t in self._catalog.targets.values()
            if t.record.service == rollout.service
        )

    def has_capacity(self, rollout: Rollout) -> bool:
        """Return whether the warm new targets can take the load of the old ones."""
        current_ms = monotonic_ms()
        old_slots = new_slots = 0
        for target in self._catalog.usable_targets(rollout.service):
            if target.version == rollout.target_version:
                new_slots += target.record.slots if target.warm_at_ms <= current_ms else 0
            elif target.version not in rollout.rejected:
                old_slots += target.record.slots
        return new_slots >= MIN_CAPACITY_SHARE * old_slots

    # -- counts

    def on_send(self, attempt: Attempt, *, is_first: bool) -> None:
        """Count a request that is sent to a target, the first time or again."""
        self._in_flight[id(attempt)] = attempt
        target = attempt.probed.target
        service = target.record.service
        order = self._active_order(service)
        if order is None:
            return
        counts = self.counts_since(order)
        is_new = target.version == order.target_version
        counts.requests += is_first
        counts.exposed += is_new
        key = labels(service=service, version="new" if is_new else "old")
        self._metrics.count("rollout_sends_total", key)

    def on_result(self, route: str, result: AttemptResult) -> None:
        """Count what an attempt tells about the version of its target."""
        attempt = result.attempt
        self.on_end(attempt)
        order = self._active_order(attempt.probed.target.record.service)
        if order is None or not result.was_sent:
            return
        is_failure = IS_FAILURE_BY_OUTCOME.get(result.outcome)
        if result.outcome is AttemptOutcome.UNANSWERED and result.reason == DEADLINE_REASON:
            is_failure = True
        if is_failure is None:
            return
        routes = self.counts_since(order).routes
        outcomes = routes.get(route)
        if outcomes is None:
            outcomes = routes[route] = RouteOutcomes()
        is_new = attempt.probed.target.version == order.target_version
        (outcomes.new if is_new else outcomes.old).add(
            attempt.ended_ms - attempt.sent_ms, is_failure=is_failure
        )

    def on_end(self, attempt: Attempt) -> None:
        """Forget an attempt that is no longer in flight, with or without a result."""
        self._in_flight.pop(id(attempt), None)

    def old_in_flight(self, order: RolloutOrder) -> int:
        """Return the number of attempts in flight to targets of other versions."""
        targets = (attempt.probed.target for attempt in self._in_flight.values())
        return sum(
            t.record.service == order.service and t.version != order.target_version for t in targets
        )

    def counts_since(self, order: RolloutOrder) -> EntryCounts:
        """Return the counts since this entry learned of ``order``."""
        known = self._counts.get(order.service)
        if known is None or known[0] != order.revision:
            known = self._counts[order.service] = (order.revision, EntryCounts())
        return known[1]

    def _active_order(self, service: str) -> RolloutOrder | None:
        rollouts = self._catalog.rollout_states
        order = rollouts.orders.get(service)
        return None if order is None or rollouts.final_of(order) is not None else order
