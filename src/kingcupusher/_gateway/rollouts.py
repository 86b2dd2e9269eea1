"""Rollouts of versions: what an entry reports, and what the lead decides and writes.

The lead sums the reports of all entries and writes the phase of each rollout to the store. All
entries, the lead included, follow what is written. Each write names the phase and the order that it
is based on, so that of two leads only one succeeds, and a repeated write has no effect.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Protocol

import curio
from msgspec import Struct
from msgspec.structs import replace

from kingcupusher._core import now_ms
from kingcupusher._discovery import (
    Catalog,
    ChangeSourceError,
    RolloutOrder,
    RolloutPhase,
    RolloutState,
    rejected_before,
    repeats_completed,
)
from kingcupusher._gateway.rollout_case import RolloutCase
from kingcupusher._gateway.rollout_traffic import RolloutTraffic
from kingcupusher._limits.rollout_ledger import RolloutLedger
from kingcupusher._limits.rollout_phases import Decision, Evidence, decide
from kingcupusher._observe.metrics_registry import Labels, labels
from kingcupusher._relay import LeadLink, LeadServer, LeadUnavailableError
from kingcupusher._relay.messages import RolloutReport

REPORT_INTERVAL_S = 1.0
CHECK_INTERVAL_S = 0.1
MAX_CHECK_GAP_MS = 1_000.0
"""A lead that made no check for longer was frozen, or is new. What it knows may be old. Dialling
a dead reader takes up to 0.5 s, during which this entry does not lead."""
NEW_LEAD_WAIT_MS = 1_500.0
"""A new lead has the reports of all entries after this time; a woken one has the changes, too."""
MAX_RUN = 2**31
RETRY_AFTER_WRITE_MS = 2_000.0
"""A written phase comes back by the store within this time."""
RETRY_AFTER_CONFLICT_MS = 500.0
RETRY_AFTER_FAILURE_MS = 200.0
RESTORE_INTERVAL_MS = 1_000.0
"""A lost final phase is written again at most this often. Entries follow it without the store."""


class RolloutStore(Protocol):
    """The part of the store client that writes phases."""

    async def write_rollout(self, state: RolloutState) -> bool:
        """Write a phase and its status if ``state.revision`` and its order are still current.

        Returns False if they are not; raises ``ChangeSourceError`` if the outcome is unknown.
        """


class RolloutControl:
    """Reports to the lead, and decides while this entry is its own lead."""

    __slots__ = (
        "_cases",
        "_catalog",
        "_checked_ms",
        "_link",
        "_on_event",
        "_restore_from_ms",
        "_run_id",
        "_server",
        "_store",
        "_traffic",
        "_wait_until_ms",
    )

    def __init__(
        self,
        catalog: Catalog,
        traffic: RolloutTraffic,
        link: LeadLink,
        server: LeadServer,
        store: RolloutStore,
        *,
        on_event: Callable[..., None],
        rng: Random,
    ) -> None:
        self._catalog = catalog
        self._traffic = traffic
        self._link = link
        self._server = server
        self._store = store
        self._on_event = on_event
        self._run_id = rng.randrange(MAX_RUN)
        self._cases: dict[str, RolloutCase] = {}
        self._checked_ms = 0.0
        self._wait_until_ms = 0.0
        self._restore_from_ms: dict[str, float] = {}
        server.register(RolloutReport, self._on_report)

    # -- reports

    async def run_reports(self) -> None:
        """Send the counts of this entry to the lead until cancelled."""
        while True:
            await curio.sleep(REPORT_INTERVAL_S)
            await self.report()

    async def report(self) -> None:
        """Send one report on each rollout in progress; the next makes up for a lost one."""
        rollouts = self._catalog.rollout_states
        for order in rollouts.active_orders():
            if not self._is_current(order):
                continue
            age_ms = rollouts.order_age_ms(order.service, now_ms=now_ms())
            # The lead keeps its own report, which must not change with the counts.
            counts = self._traffic.counts_since(order).copy()
            message = RolloutReport(
                order.service,
                order.revision,
                round(age_ms),
                self._run_id,
                counts,
                self._traffic.followed_phase(order.service),
                self._traffic.old_in_flight(order),
            )
            try:
                await self._link.tell(message)
            except LeadUnavailableError:
                return

    # -- lead

    async def run_lead(self) -> None:
        """Check all rollouts until cancelled."""
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            await self.check()

    async def check(self) -> None:
        """Decide on each rollout if this entry leads, and write what was decided."""
        current_ms = now_ms()
        if not self._link.is_lead:
            return
        if current_ms - self._checked_ms > MAX_CHECK_GAP_MS:
            self._wait_until_ms = current_ms + NEW_LEAD_WAIT_MS
        orders = self._catalog.rollout_states.active_orders()
        self._drop_ended(orders)
        for order in orders:
            if self._is_current(order):
                await self._check_order(order)
        for lost in self._catalog.rollout_states.lost_finals():
            await self._restore_final(lost)
        # Writes take time of their own, which is not a gap between checks.
        self._checked_ms = now_ms()

    def gauges(self) -> dict[tuple[str, Labels], float]:
        """Return the phase of each rollout that is known."""
        rollouts = self._catalog.rollout_states
        values: dict[tuple[str, Labels], float] = {}
        for service in {*rollouts.orders, *rollouts.states}:
            rollout = rollouts.in_force(service)
            if rollout is not None:
                phase = rollout.phase.value if rollout.phase else "ordered"
                values["rollouts", labels(service=service, phase=phase)] = 1.0
        return values

    def _is_current(self, order: RolloutOrder) -> bool:
        """Return whether ``order`` is still the one known, which may change at each await."""
        return self._catalog.rollout_states.orders.get(order.service) == order

    def _drop_ended(self, orders: list[RolloutOrder]) -> None:
        revisions = {order.service: order.revision for order in orders}
        for service, case in list(self._cases.items()):
            if revisions.get(service) != case.order_revision:
                del self._cases[service]

    def _on_report(self, entry: str, message: Struct) -> None:
        assert isinstance(message, RolloutReport)
        order = self._catalog.rollout_states.orders.get(message.service)
        if order is None or order.revision != message.order_revision:
            return
        case = self._case(order)
        case.ledger.add(entry, message.run, message.counts)
        case.has_moved[entry] = message.has_moved
        self._catalog.rollout_states.raise_order_age(
            order.service, float(message.order_age_ms), now_ms=now_ms()
        )

    def _case(self, order: RolloutOrder) -> RolloutCase:
        case = self._cases.get(order.service)
        if case is None or case.order_revision != order.revision:
            case = self._cases[order.service] = RolloutCase(order.revision, RolloutLedger())
        return case

    async def _check_order(self, order: RolloutOrder) -> None:
        case = self._case(order)
        case.ledger.remember(now_ms=now_ms())
        state = self._catalog.rollout_states.states.get(order.service)
        if state is None or state.order_revision != order.revision:
            versions = self._catalog.registered_versions(order.service)
            earlier = self._catalog.rollout_states.earlier(order.service)
            is_done = earlier is not None and repeats_completed(order, earlier, versions)
            phase = RolloutPhase.COMPLETED if is_done else RolloutPhase.TRIAL
            begun = RolloutState(
                service=order.service,
                target_version=order.target_version,
                order_revision=order.revision,
                phase=phase,
                rejected=tuple(v for v in rejected_before(order, earlier) if v in versions),
                revision=state.revision if state else 0,
            )
            await self._write(case, None, begun, Decision(phase, "ordered"))
            return
        if now_ms() < self._wait_until_ms:
            return
        decision = decide(state.phase, self._evidence(order, case, state))
        if decision is not None:
            await self._write(case, state.phase, replace(state, phase=decision.phase), decision)

    def _evidence(self, order: RolloutOrder, case: RolloutCase, state: RolloutState) -> Evidence:
        current_ms = now_ms()
        rollouts = self._catalog.rollout_states
        rollout = rollouts.in_force(order.service)
        assert rollout is not None
        order_age_ms = rollouts.order_age_ms(order.service, now_ms=current_ms)
        linked = self._server.linked_entries
        known = self._catalog.live_entries.names(now_ms=current_ms)
        return Evidence(
            verdict=case.ledger.verdict(now_ms=current_ms),
            requests=case.ledger.requests,
            exposed=case.ledger.exposed,
            order_age_ms=order_age_ms,
            phase_age_ms=order_age_ms - state.order_age_ms,
            duration_ms=order.duration_ms,
            has_majority=2 * len(linked) >= len(known),
            has_capacity=self._traffic.has_capacity(rollout),
            have_all_moved=all(case.has_moved.get(entry, False) for entry in linked),
            had_old_since_order=self._traffic.had_old_since_order(rollout),
            has_new=self._traffic.has_new(rollout),
        )

    async def _write(
        self,
        case: RolloutCase,
        before: RolloutPhase | None,
        state: RolloutState,
        decision: Decision,
    ) -> None:
        if case.written_from is before and now_ms() < case.retry_ms:
            return
        case.written_from = before
        age_ms = self._catalog.rollout_states.order_age_ms(state.service, now_ms=now_ms())
        result = await self._try_write(replace(state, order_age_ms=age_ms))
        case.retry_ms = now_ms() + result
        old, new = case.ledger.counts()
        self._on_event(
            "rollout decided",
            service=state.service,
            target_version=state.target_version,
            phase=decision.phase.value,
            reason=decision.reason,
            is_written=result == RETRY_AFTER_WRITE_MS,
            order_age_ms=round(age_ms),
            requests=case.ledger.requests,
            exposed=case.ledger.exposed,
            old=old,
            new=new,
        )

    async def _restore_final(self, lost: RolloutState) -> None:
        """Write a final phase again that a restored store does not have."""
        order = self._catalog.rollout_states.orders.get(lost.service)
        if order is None or order.revision != lost.order_revision:
            return
        present = self._catalog.rollout_states.states.get(lost.service)
        if now_ms() < self._restore_from_ms.get(lost.service, 0.0):
            return
        self._restore_from_ms[lost.service] = now_ms() + RESTORE_INTERVAL_MS
        state = replace(lost, revision=present.revision if present else 0)
        await self._try_write(state)
        self._on_event("rollout restored", service=lost.service, phase=lost.phase.value)

    async def _try_write(self, state: RolloutState) -> float:
        """Write ``state`` and return the time until the next write is tried."""
        try:
            is_written = await self._store.write_rollout(state)
        except ChangeSourceError as error:
            self._on_event("rollout not written", service=state.service, reason=str(error))
            return RETRY_AFTER_FAILURE_MS
        return RETRY_AFTER_WRITE_MS if is_written else RETRY_AFTER_CONFLICT_MS
