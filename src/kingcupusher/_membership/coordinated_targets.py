"""Targets that this entry coordinates: opening, closing, ramping and probing them."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from math import inf

from msgspec import Struct

from kingcupusher._config import TargetLimits
from kingcupusher._core.target_state import TargetState
from kingcupusher._membership.bounds import (
    DEREGISTERED_HOLDER_WAIT_MS,
    DRAIN_RECHECK_MS,
    IDLE_PROBE_INTERVAL_MS,
    REVOCATION_TIMEOUT_MS,
    WARM_VERIFICATION_TIMEOUT_MS,
)
from kingcupusher._membership.interfaces import ProbeBudget, ProbeBudgetFactory, Ramp, RampFactory
from kingcupusher._membership.peers import EntryId
from kingcupusher._membership.record import TargetRecord
from kingcupusher._membership.registered_entries import GrantHolders
from kingcupusher._membership.states import StateEvent, next_state
from kingcupusher._peers.messages import TargetClosedNotice, TargetStateUpdate

# Updates per term; the term is the revision of the coordinator key.
EPOCHS_PER_TERM = 1 << 20


@dataclass(slots=True)
class Revocation:
    """Permissions that may still be in use after a target was closed.

    They end once no entry is ``unacknowledged``, but not before ``not_before_ms``, and at
    ``expires_ms`` at the latest.
    """

    epoch: int
    not_before_ms: float
    expires_ms: float
    unacknowledged: set[EntryId]

    def is_complete(self, *, now_ms: float) -> bool:
        """Return whether every permission was given up or has expired."""
        return now_ms >= (self.expires_ms if self.unacknowledged else self.not_before_ms)


@dataclass(slots=True)
class CoordinatedTarget:
    """A target that this entry coordinates."""

    record: TargetRecord
    limits: TargetLimits
    budget: ProbeBudget
    first_epoch: int
    changed_version: int = 0
    revocation: Revocation | None = None
    ramp: Ramp | None = None
    # Send time of the first request of the ramp whose response reported "warm".
    warm_sent_ms: float = inf
    # Set while a target opened by an earlier coordinator still has to be proved warm.
    verify_until_ms: float | None = None

    def max_in_flight(self, *, now_ms: float) -> int:
        """Return how many requests a ramping target may have in flight.

        A target that has not reported to be warm stays at the first step, however many requests
        it has served.
        """
        if self.ramp is None:
            return 0
        allowed = self.ramp.allowance(now_ms=now_ms)
        return allowed if self.warm_sent_ms < inf else min(allowed, self.limits.cold_concurrency)


class DueProbe(Struct, frozen=True):
    """A probe to send to a target before ``until_ms``."""

    target_id: str
    until_ms: float


class ReleasedTarget(Struct, frozen=True):
    """A target that this entry no longer coordinates, kept to notify the peers."""

    epoch: int
    version: int


class CoordinatedTargets:
    """The coordinated targets, and the versioned list of their states for heartbeats.

    ``holders`` returns the entries that may use a target now; ``broadcast`` sends a revocation
    to all peers at once.
    """

    __slots__ = (
        "_broadcast",
        "_budget_factory",
        "_by_target",
        "_holders",
        "_ramp_factory",
        "_released",
        "list_version",
    )

    def __init__(
        self,
        *,
        ramp_factory: RampFactory,
        budget_factory: ProbeBudgetFactory,
        holders: Callable[[float], GrantHolders],
        broadcast: Callable[[TargetClosedNotice], None],
    ) -> None:
        self._ramp_factory = ramp_factory
        self._budget_factory = budget_factory
        self._holders = holders
        self._broadcast = broadcast
        self._by_target: dict[str, CoordinatedTarget] = {}
        self._released: dict[str, ReleasedTarget] = {}
        self.list_version = 1

    def get(self, target_id: str) -> CoordinatedTarget | None:
        """Return a coordinated target, None if this entry does not coordinate it."""
        return self._by_target.get(target_id)

    def __iter__(self) -> Iterator[CoordinatedTarget]:
        return iter(list(self._by_target.values()))

    def add(self, record: TargetRecord, *, term: int, limits: TargetLimits, now_ms: float) -> None:
        """Start to coordinate a target; it stays open only if it is proved to be warm."""
        target = CoordinatedTarget(
            record,
            limits,
            self._budget_factory(limits.probes_per_s, start_ms=now_ms),
            first_epoch=term * EPOCHS_PER_TERM,
        )
        self._by_target[record.target_id] = target
        self._released.pop(record.target_id, None)
        if record.state is not TargetState.OPEN or record.is_closed_by_zone:
            self._revoke(target, next_state(record.state, StateEvent.COLD), now_ms)
        elif now_ms < record.warm_evidence_until_ms:
            self._open(target, now_ms)
        else:
            target.verify_until_ms = now_ms + WARM_VERIFICATION_TIMEOUT_MS
            self._mark_changed(target)

    def release(self, target_id: str, *, now_ms: float) -> None:
        """Stop coordinating a target; its ramp ends and peers drop its grant."""
        target = self._by_target.pop(target_id, None)
        if target is None:
            return
        record = target.record
        if record.state is TargetState.OPEN:
            record.last_grant_until_ms = now_ms
        if record.state is TargetState.RAMPING:
            record.set_state(TargetState.COLD, now_ms=now_ms)
        self.list_version += 1
        self._released[target_id] = ReleasedTarget(record.epoch, self.list_version)

    def close(self, target: CoordinatedTarget, event: StateEvent, *, now_ms: float) -> None:
        """Apply an event that closes a target, and revoke the grants of the peers."""
        state = next_state(target.record.state, event)
        if state is not target.record.state:
            self._revoke(target, state, now_ms)

    def confirm_warm(self, target: CoordinatedTarget, *, now_ms: float) -> None:
        """Open a target whose verification is pending, after proof that it is warm."""
        if target.verify_until_ms is not None:
            self._open(target, now_ms)

    def on_ack(self, target_id: str, sender: EntryId, epoch: int) -> None:
        """Record that an entry uses no grant of ``epoch`` or older."""
        target = self._by_target.get(target_id)
        if target is None:
            return
        if epoch > target.record.epoch:
            # After a rewind of the store, the epochs of this term start too low.
            target.record.epoch = epoch + 1
            target.record.revoked_epoch = max(target.record.revoked_epoch, epoch)
            self._mark_changed(target)
        elif target.revocation is not None and epoch >= target.revocation.epoch:
            target.revocation.unacknowledged.discard(sender)

    def advance(self, target: CoordinatedTarget, *, is_zone_out: bool, now_ms: float) -> None:
        """Apply the VM list and the zone orders, and start or finish a due ramp."""
        record = target.record
        if not record.is_listed:
            self.close(target, StateEvent.ABSENT, now_ms=now_ms)
        elif record.is_leaving:
            self.close(target, StateEvent.DRAIN, now_ms=now_ms)
        elif record.state is TargetState.GONE:
            self.close(target, StateEvent.RETURN, now_ms=now_ms)
        elif is_zone_out or self._is_verification_over(target, now_ms):
            self.close(target, StateEvent.COLD, now_ms=now_ms)
        elif record.state is TargetState.COLD:
            self._start_ramp(target, now_ms)
        elif record.state is TargetState.RAMPING:
            self._finish_ramp(target, now_ms)

    def take_due_probes(self, *, until_ms: float, now_ms: float) -> list[DueProbe]:
        """Return the due probes and count them against the probe budgets."""
        return [
            DueProbe(target.record.target_id, until_ms)
            for target in self
            if _is_probe_due(target, now_ms) and target.budget.try_take(now_ms=now_ms)
        ]

    def changes_since(self, base_version: int) -> list[TargetStateUpdate]:
        """Return the changes of the list after ``base_version``, or the full list if that is 0."""
        changed = [
            _state_update(target) for target in self if target.changed_version > base_version
        ]
        if base_version:
            changed += [
                TargetStateUpdate(target_id, released.epoch, TargetState.UNKNOWN)
                for target_id, released in self._released.items()
                if released.version > base_version
            ]
        return changed

    def _is_verification_over(self, target: CoordinatedTarget, now_ms: float) -> bool:
        return target.verify_until_ms is not None and now_ms >= target.verify_until_ms

    def _start_ramp(self, target: CoordinatedTarget, now_ms: float) -> None:
        if target.revocation is not None and not target.revocation.is_complete(now_ms=now_ms):
            return
        target.revocation = None
        target.ramp = self._ramp_factory(target.limits)
        target.warm_sent_ms = inf
        target.record.set_state(next_state(target.record.state, StateEvent.RAMP), now_ms=now_ms)
        self._mark_changed(target)

    def _finish_ramp(self, target: CoordinatedTarget, now_ms: float) -> None:
        ramp = target.ramp
        if ramp is not None and target.warm_sent_ms < inf and ramp.is_warm(now_ms=now_ms):
            target.record.state = next_state(target.record.state, StateEvent.WARM)
            target.record.state_since_ms = now_ms
            self._open(target, now_ms)

    def _open(self, target: CoordinatedTarget, now_ms: float) -> None:
        record = target.record
        record.epoch = max(target.first_epoch, record.epoch + 1)
        record.is_closed_by_zone = False
        record.last_response_ms = max(record.last_response_ms, now_ms - IDLE_PROBE_INTERVAL_MS)
        target.ramp = None
        target.verify_until_ms = None
        self._mark_changed(target)

    def _revoke(self, target: CoordinatedTarget, state: TargetState, now_ms: float) -> None:
        record = target.record
        # No grant is issued between two ramps, so a closed target needs no second revocation.
        is_granted = target.changed_version == 0 or record.state is TargetState.OPEN
        record.set_state(state, now_ms=now_ms)
        record.epoch = max(target.first_epoch, record.epoch + 1)
        record.revoked_epoch = record.epoch
        target.ramp = None
        target.verify_until_ms = None
        if is_granted:
            target.revocation = self._revocation(record.epoch, now_ms)
        self._mark_changed(target)
        self._broadcast(TargetClosedNotice(record.target_id, record.boot_id, state, record.epoch))

    def _revocation(self, epoch: int, now_ms: float) -> Revocation:
        holders = self._holders(now_ms)
        min_wait_ms = DEREGISTERED_HOLDER_WAIT_MS if holders.has_deregistered else 0.0
        return Revocation(
            epoch, now_ms + min_wait_ms, now_ms + REVOCATION_TIMEOUT_MS, holders.entries
        )

    def _mark_changed(self, target: CoordinatedTarget) -> None:
        self.list_version += 1
        target.changed_version = self.list_version


def _state_update(target: CoordinatedTarget) -> TargetStateUpdate:
    record = target.record
    state = record.state if target.verify_until_ms is None else TargetState.UNKNOWN
    return TargetStateUpdate(record.target_id, record.epoch, state, record.boot_id)


def _is_probe_due(target: CoordinatedTarget, now_ms: float) -> bool:
    """Return whether the target needs a response that regular requests did not provide."""
    record = target.record
    if not record.is_listed or record.is_leaving:
        return False
    if target.verify_until_ms is not None:
        return True
    if record.state is TargetState.OPEN:
        return now_ms >= record.last_response_ms + IDLE_PROBE_INTERVAL_MS
    if record.state is TargetState.DRAINING:
        return now_ms >= record.state_since_ms + DRAIN_RECHECK_MS
    return False
