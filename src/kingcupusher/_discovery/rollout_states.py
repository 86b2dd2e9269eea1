"""Rollouts that an entry knows: the orders, their phases in the store, and what is in force."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from msgspec import Struct

from kingcupusher._discovery.changes import (
    Change,
    RolloutOrdered,
    RolloutPhaseGone,
    RolloutPhaseSeen,
    RolloutWithdrawn,
)
from kingcupusher._discovery.model import RolloutOrder, RolloutPhase, RolloutState

ASSUMED_ORDER_AGE_MS = 700.0
"""Age of an order when an entry sees it first; a change is seen up to 2 s after its write, by a
reader mostly within 0.5 s."""


class Rollout(Struct, frozen=True, kw_only=True):
    """The rollout in force for a service.

    ``phase`` is None before a lead has written one. ``phase_seen_ms`` is when this entry saw it.
    ``rejected`` versions get no requests, except while all registered targets run one of them
    (``has_only_rejected``): then nothing else could serve the requests. ``is_first_phase`` is
    whether this entry knew no phase of the order before.
    """

    service: str
    order_revision: int
    target_version: str
    phase: RolloutPhase | None
    phase_seen_ms: float = 0.0
    rejected: tuple[str, ...] = ()
    has_only_rejected: bool = False
    is_first_phase: bool = False


class RolloutStates:
    """Applies the changes of rollouts and returns what is in force.

    A final phase that was seen stays in force until the next order, even if a restored store has an
    earlier phase: the targets of the other version are stopped by then, or its faults are known.
    """

    __slots__ = (
        "_final",
        "_first_phases",
        "_notify",
        "_phase_seen_ms",
        "_versions",
        "_ordered_ms",
        "orders",
        "states",
    )

    def __init__(
        self, notify: Callable[..., None], versions: Callable[[str], frozenset[str]]
    ) -> None:
        self._notify = notify
        self._versions = versions
        self.orders: dict[str, RolloutOrder] = {}
        self.states: dict[str, RolloutState] = {}
        self._ordered_ms: dict[str, float] = {}
        self._phase_seen_ms: dict[str, float] = {}
        self._final: dict[str, RolloutState] = {}
        self._first_phases: dict[str, bool] = {}

    def apply(self, change: Change, *, now_ms: float) -> None:
        """Apply a change of an order or a phase; ignore others."""
        if isinstance(change, RolloutOrdered):
            self._on_order(change.order, now_ms)
        elif isinstance(change, RolloutWithdrawn):
            if self.orders.pop(change.service, None) is not None:
                self._notify("rollout withdrawn", service=change.service)
        elif isinstance(change, RolloutPhaseSeen):
            self._on_state(change.state, now_ms)
        elif isinstance(change, RolloutPhaseGone):
            self.states.pop(change.service, None)

    def missing_from(self, changes: Iterable[Change]) -> list[Change]:
        """Return the removals of what is known here and not contained in a full snapshot."""
        ordered, stated = set(), set()
        for change in changes:
            if isinstance(change, RolloutOrdered):
                ordered.add(change.order.service)
            elif isinstance(change, RolloutPhaseSeen):
                stated.add(change.state.service)
        missing: list[Change] = [RolloutWithdrawn(s) for s in self.orders if s not in ordered]
        return missing + [RolloutPhaseGone(s) for s in self.states if s not in stated]

    def snapshot(self) -> list[Change]:
        """Return all orders and phases as changes."""
        changes: list[Change] = [RolloutOrdered(order) for order in self.orders.values()]
        return changes + [RolloutPhaseSeen(state) for state in self.states.values()]

    def in_force(self, service: str) -> Rollout | None:
        """Return the rollout by which targets of ``service`` are chosen, None without one."""
        if not self.orders and not self._final:
            return None
        order, state = self.orders.get(service), self.states.get(service)
        final = self._final.get(service)
        if order is None:
            return None if final is None else self._after_order(final)
        if final is not None and final.order_revision == order.revision:
            return self._rollout(final)
        if state is not None and state.order_revision == order.revision:
            return self._rollout(state)
        earlier = self.earlier(service)
        versions = self._versions(service)
        if earlier is not None and repeats_completed(order, earlier, versions):
            return self._rollout(earlier)
        rejected = rejected_before(order, earlier)
        has_only_rejected = _has_only(rejected, versions)
        return Rollout(
            service=service,
            order_revision=order.revision,
            target_version=order.target_version,
            phase=None,
            rejected=() if has_only_rejected else rejected,
            has_only_rejected=has_only_rejected,
        )

    def earlier(self, service: str) -> RolloutState | None:
        """Return the last rollout before an order that has no phase yet.

        A final phase that was seen counts more than the phase in a restored store.
        """
        return self._final.get(service) or self.states.get(service)

    def refused(self, service: str) -> tuple[str, ...]:
        """Return the versions that get no requests although no rollout is in force.

        Those are the rejected ones of a rollout whose order was withdrawn before its end.
        """
        state = self.states.get(service)
        if state is None or state.phase.is_final or not state.rejected:
            return ()
        return () if _has_only(state.rejected, self._versions(service)) else state.rejected

    def active_orders(self) -> list[RolloutOrder]:
        """Return the orders whose rollout has not ended, as far as this entry knows."""
        return [o for o in self.orders.values() if not self._has_ended(o)]

    @property
    def needs_lead(self) -> bool:
        """Whether a lead has something to decide or to write."""
        return bool(self.active_orders() or self.lost_finals())

    def final_of(self, order: RolloutOrder) -> RolloutState | None:
        """Return the final phase of ``order`` if it was seen."""
        final = self._final.get(order.service)
        return final if final is not None and final.order_revision == order.revision else None

    def lost_finals(self) -> list[RolloutState]:
        """Return final phases that a restored store no longer has, for a lead to write again."""
        lost = []
        for order in self.orders.values():
            final, state = self.final_of(order), self.states.get(order.service)
            if final is not None and (state is None or not _is_same_end(state, final)):
                lost.append(final)
        return lost

    def order_age_ms(self, service: str, *, now_ms: float) -> float:
        """Return how long ago the order was written, at least as far as is known."""
        return now_ms - self._ordered_ms[service]

    def raise_order_age(self, service: str, age_ms: float, *, now_ms: float) -> None:
        """Take over the age of an order that another entry has known for longer."""
        known_ms = self._ordered_ms.get(service)
        if known_ms is not None:
            self._ordered_ms[service] = min(known_ms, now_ms - age_ms)

    def _has_ended(self, order: RolloutOrder) -> bool:
        return self.final_of(order) is not None

    def _on_order(self, order: RolloutOrder, now_ms: float) -> None:
        if self.orders.get(order.service) == order:
            return
        self.orders[order.service] = order
        self._ordered_ms[order.service] = now_ms - ASSUMED_ORDER_AGE_MS
        self._notify("rollout ordered", service=order.service, target_version=order.target_version)
        state = self.states.get(order.service)
        if state is not None and state.order_revision == order.revision:
            self.raise_order_age(order.service, state.order_age_ms, now_ms=now_ms)
            # A full read of the store may have the phase before its order.
            self._update_final(state, order)

    def _on_state(self, state: RolloutState, now_ms: float) -> None:
        before = self.states.get(state.service)
        self.states[state.service] = state
        if before == state:
            return
        self._phase_seen_ms[state.service] = now_ms
        is_first = before is None or before.order_revision != state.order_revision
        self._first_phases[state.service] = is_first
        order = self.orders.get(state.service)
        if order is not None and order.revision == state.order_revision:
            self.raise_order_age(state.service, state.order_age_ms, now_ms=now_ms)
        self._update_final(state, order)
        self._notify(
            "rollout phase",
            service=state.service,
            target_version=state.target_version,
            phase=state.phase.value,
        )

    def _update_final(self, state: RolloutState, order: RolloutOrder | None) -> None:
        """Take over a final phase; one of the present order stays whatever a restored store has."""
        if order is not None and self.final_of(order) is not None:
            return
        if state.phase.is_final:
            self._final[state.service] = state
        else:
            self._final.pop(state.service, None)

    def _after_order(self, final: RolloutState) -> Rollout | None:
        """Return the ended rollout as long as its losing version may still be registered.

        A rollback ends with the last target of another version. Otherwise no request would get a
        target until the next order.
        """
        refused = {*final.rejected, final.target_version}
        if final.phase is RolloutPhase.ROLLED_BACK and self._versions(final.service) <= refused:
            return None
        return self._rollout(final)

    def _rollout(self, state: RolloutState) -> Rollout:
        has_only_rejected = bool(state.rejected) and _has_only(
            state.rejected, self._versions(state.service)
        )
        return Rollout(
            service=state.service,
            order_revision=state.order_revision,
            target_version=state.target_version,
            phase=state.phase,
            phase_seen_ms=self._phase_seen_ms.get(state.service, 0.0),
            rejected=() if has_only_rejected else state.rejected,
            has_only_rejected=has_only_rejected,
            is_first_phase=self._first_phases.get(state.service, False),
        )


def repeats_completed(order: RolloutOrder, earlier: RolloutState, versions: frozenset[str]) -> bool:
    """Return whether the service runs on the ordered version since an earlier order.

    Registered targets of another version may have been started on purpose after that order, so that
    the ordered one is tried out again beside them.
    """
    is_completed = earlier.phase is RolloutPhase.COMPLETED
    is_same = earlier.target_version == order.target_version
    return is_completed and is_same and versions <= {order.target_version}


def rejected_before(order: RolloutOrder, earlier: RolloutState | None) -> tuple[str, ...]:
    """Return the versions that earlier rollouts rejected, without the one of ``order``."""
    if earlier is None:
        return ()
    rejected = set(earlier.rejected)
    if earlier.phase is RolloutPhase.ROLLED_BACK:
        rejected.add(earlier.target_version)
    return tuple(sorted(rejected - {order.target_version}))


def _has_only(rejected: tuple[str, ...], versions: frozenset[str]) -> bool:
    """Return whether targets are registered, and all of them run ``rejected`` versions."""
    return bool(versions) and versions <= {*rejected}


def _is_same_end(state: RolloutState, final: RolloutState) -> bool:
    return state.phase is final.phase and state.order_revision == final.order_revision
