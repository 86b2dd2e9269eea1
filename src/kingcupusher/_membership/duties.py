"""What a coordinator does for the targets of its groups."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from math import inf

from msgspec import Struct

from kingcupusher._config import TargetLimits
from kingcupusher._core.target_state import TargetState
from kingcupusher._membership.bounds import (
    DEPARTED_HOLD_MS,
    DRAIN_RECHECK_MS,
    IDLE_PROBE_MS,
    REVOCATION_MS,
    VERIFY_MS,
)
from kingcupusher._membership.fleet import Holders
from kingcupusher._membership.peers import EntryId
from kingcupusher._membership.ports import Budget, BudgetFactory, Ramp, RampFactory
from kingcupusher._membership.record import TargetRecord
from kingcupusher._membership.states import Sign, next_state
from kingcupusher._peers.messages import TargetClosedNotice, TargetStateUpdate

# A term is the revision of the coordinator key; each term has room for this many statements.
EPOCHS_PER_TERM = 1 << 20


@dataclass(slots=True)
class Revocation:
    """Rights that may still be in use after a target was closed.

    They end when all ``waiting`` entries have acknowledged, but not before ``hold_until_ms``, or
    else at ``expires_ms``.
    """

    epoch: int
    hold_until_ms: float
    expires_ms: float
    waiting: set[EntryId]

    def is_done(self, *, now_ms: float) -> bool:
        """Return whether every right was given up or has expired."""
        return now_ms >= (self.expires_ms if self.waiting else self.hold_until_ms)


@dataclass(slots=True)
class Duty:
    """One target that this entry coordinates."""

    record: TargetRecord
    limits: TargetLimits
    budget: Budget
    first_epoch: int
    version: int = 0
    revocation: Revocation | None = None
    ramp: Ramp | None = None
    # Send instant of the first request of the ramp that the target answered as warm.
    warm_ms: float = inf
    # Set while the proof is awaited that a target opened by an earlier coordinator is still warm.
    verify_until_ms: float | None = None

    def allowance(self, *, now_ms: float) -> int:
        """Return how many requests a ramping target may have in flight.

        A target that does not say that it is warm keeps the first step, however many requests
        it served.
        """
        if self.ramp is None:
            return 0
        allowed = self.ramp.allowance(now_ms=now_ms)
        return allowed if self.warm_ms < inf else min(allowed, self.limits.cold_concurrency)


class DueProbe(Struct, frozen=True):
    """Permission to probe a target, valid before ``until_ms``."""

    target_id: str
    until_ms: float


class Dropped(Struct, frozen=True):
    """A target that this entry no longer coordinates, in its list until peers know."""

    epoch: int
    version: int


class Duties:
    """Coordinated targets, the statements about them, and the list that heartbeats carry.

    ``holders`` returns the entries that may use a target now; ``announce`` is called with each
    revocation, to be sent to all peers at once.
    """

    __slots__ = (
        "_announce",
        "_budget_factory",
        "_by_target",
        "_dropped",
        "_holders",
        "_ramp_factory",
        "version",
    )

    def __init__(
        self,
        *,
        ramp_factory: RampFactory,
        budget_factory: BudgetFactory,
        holders: Callable[[float], Holders],
        announce: Callable[[TargetClosedNotice], None],
    ) -> None:
        self._ramp_factory = ramp_factory
        self._budget_factory = budget_factory
        self._holders = holders
        self._announce = announce
        self._by_target: dict[str, Duty] = {}
        self._dropped: dict[str, Dropped] = {}
        self.version = 1

    def of(self, target_id: str) -> Duty | None:
        """Return the duty for a target, None if this entry does not coordinate it."""
        return self._by_target.get(target_id)

    def __iter__(self) -> Iterator[Duty]:
        return iter(list(self._by_target.values()))

    def begin(
        self, record: TargetRecord, *, term: int, limits: TargetLimits, now_ms: float
    ) -> None:
        """Take charge of a target; it stays open only if it is proved to be warm."""
        duty = Duty(
            record,
            limits,
            self._budget_factory(limits.probes_per_s, start_ms=now_ms),
            first_epoch=term * EPOCHS_PER_TERM,
        )
        self._by_target[record.target_id] = duty
        self._dropped.pop(record.target_id, None)
        if record.state is not TargetState.OPEN or record.is_zone_closed:
            self._revoke(duty, next_state(record.state, Sign.COLD), now_ms)
        elif now_ms < record.evidence_until_ms:
            self._open(duty, now_ms)
        else:
            duty.verify_until_ms = now_ms + VERIFY_MS
            self._restate(duty)

    def end(self, target_id: str, *, now_ms: float) -> None:
        """Stop acting for a target; its ramp ends and peers drop its grant."""
        duty = self._by_target.pop(target_id, None)
        if duty is None:
            return
        record = duty.record
        if record.state is TargetState.OPEN:
            record.last_grant_until_ms = now_ms
        if record.state is TargetState.RAMPING:
            record.move(TargetState.COLD, now_ms=now_ms)
        self.version += 1
        self._dropped[target_id] = Dropped(record.epoch, self.version)

    def close(self, duty: Duty, sign: Sign, *, now_ms: float) -> None:
        """Apply a sign that closes a target, and revoke what peers hold."""
        state = next_state(duty.record.state, sign)
        if state is not duty.record.state:
            self._revoke(duty, state, now_ms)

    def confirm_warm(self, duty: Duty, *, now_ms: float) -> None:
        """End the verification of a target with the proof that it is warm."""
        if duty.verify_until_ms is not None:
            self._open(duty, now_ms)

    def on_ack(self, target_id: str, sender: EntryId, epoch: int) -> None:
        """Note that an entry uses no grant of ``epoch`` or older."""
        duty = self._by_target.get(target_id)
        if duty is None:
            return
        if epoch > duty.record.epoch:
            # The store was rewound, so that this term counts from too low.
            duty.record.epoch = epoch + 1
            duty.record.closed_epoch = max(duty.record.closed_epoch, epoch)
            self._restate(duty)
        elif duty.revocation is not None and epoch >= duty.revocation.epoch:
            duty.revocation.waiting.discard(sender)

    def advance(self, duty: Duty, *, is_zone_out: bool, now_ms: float) -> None:
        """Apply the VM list and the zone orders, and start or finish a ramp that is due."""
        record = duty.record
        if not record.is_listed:
            self.close(duty, Sign.ABSENT, now_ms=now_ms)
        elif record.is_leaving:
            self.close(duty, Sign.DRAIN, now_ms=now_ms)
        elif record.state is TargetState.GONE:
            self.close(duty, Sign.RETURN, now_ms=now_ms)
        elif is_zone_out or self._is_verification_over(duty, now_ms):
            self.close(duty, Sign.COLD, now_ms=now_ms)
        elif record.state is TargetState.COLD:
            self._start_ramp(duty, now_ms)
        elif record.state is TargetState.RAMPING:
            self._finish_ramp(duty, now_ms)

    def take_due_probes(self, *, until_ms: float, now_ms: float) -> list[DueProbe]:
        """Return the probes that are due, and count them against the budgets."""
        return [
            DueProbe(duty.record.target_id, until_ms)
            for duty in self
            if _is_probe_due(duty, now_ms) and duty.budget.try_take(now_ms=now_ms)
        ]

    def entries_since(self, base_version: int) -> list[TargetStateUpdate]:
        """Return what changed in the list after ``base_version``; all of it after 0."""
        changed = [_entry(duty) for duty in self if duty.version > base_version]
        if base_version:
            changed += [
                TargetStateUpdate(target_id, dropped.epoch, TargetState.UNKNOWN)
                for target_id, dropped in self._dropped.items()
                if dropped.version > base_version
            ]
        return changed

    def _is_verification_over(self, duty: Duty, now_ms: float) -> bool:
        return duty.verify_until_ms is not None and now_ms >= duty.verify_until_ms

    def _start_ramp(self, duty: Duty, now_ms: float) -> None:
        if duty.revocation is not None and not duty.revocation.is_done(now_ms=now_ms):
            return
        duty.revocation = None
        duty.ramp = self._ramp_factory(duty.limits)
        duty.warm_ms = inf
        duty.record.move(next_state(duty.record.state, Sign.RAMP), now_ms=now_ms)
        self._restate(duty)

    def _finish_ramp(self, duty: Duty, now_ms: float) -> None:
        ramp = duty.ramp
        if ramp is not None and duty.warm_ms < inf and ramp.is_warm(now_ms=now_ms):
            duty.record.state = next_state(duty.record.state, Sign.WARM)
            duty.record.since_ms = now_ms
            self._open(duty, now_ms)

    def _open(self, duty: Duty, now_ms: float) -> None:
        record = duty.record
        record.epoch = max(duty.first_epoch, record.epoch + 1)
        record.is_zone_closed = False
        record.last_direct_ms = max(record.last_direct_ms, now_ms - IDLE_PROBE_MS)
        duty.ramp = None
        duty.verify_until_ms = None
        self._restate(duty)

    def _revoke(self, duty: Duty, state: TargetState, now_ms: float) -> None:
        record = duty.record
        # Nothing is granted between two ramps, so a closed target needs no second revocation.
        is_granted = duty.version == 0 or record.state is TargetState.OPEN
        record.move(state, now_ms=now_ms)
        record.epoch = max(duty.first_epoch, record.epoch + 1)
        record.closed_epoch = record.epoch
        duty.ramp = None
        duty.verify_until_ms = None
        if is_granted:
            duty.revocation = self._revocation(record.epoch, now_ms)
        self._restate(duty)
        self._announce(TargetClosedNotice(record.target_id, record.boot_id, state, record.epoch))

    def _revocation(self, epoch: int, now_ms: float) -> Revocation:
        holders = self._holders(now_ms)
        hold_ms = DEPARTED_HOLD_MS if holders.has_departed else 0.0
        return Revocation(epoch, now_ms + hold_ms, now_ms + REVOCATION_MS, holders.entries)

    def _restate(self, duty: Duty) -> None:
        self.version += 1
        duty.version = self.version


def _entry(duty: Duty) -> TargetStateUpdate:
    record = duty.record
    state = record.state if duty.verify_until_ms is None else TargetState.UNKNOWN
    return TargetStateUpdate(record.target_id, record.epoch, state, record.boot_id)


def _is_probe_due(duty: Duty, now_ms: float) -> bool:
    """Return whether a direct response is needed and passive evidence did not give it."""
    record = duty.record
    if not record.is_listed or record.is_leaving:
        return False
    if duty.verify_until_ms is not None:
        return True
    if record.state is TargetState.OPEN:
        return now_ms >= record.last_direct_ms + IDLE_PROBE_MS
    if record.state is TargetState.DRAINING:
        return now_ms >= record.since_ms + DRAIN_RECHECK_MS
    return False
