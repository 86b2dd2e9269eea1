"""When a rollout goes from one phase to the next."""

from __future__ import annotations

from msgspec import Struct

from kingcupusher._discovery.model import RolloutPhase
from kingcupusher._limits.rollout_verdict import Verdict

SHIFT_MS = 2_500.0
"""Shortest time from the write of the shift to its end, when the old targets stop without draining.
Entries mostly learn of the shift within 0.5 s, move all requests within 0.8 s, finish the old ones,
and report that within 1 s."""
WRITE_MARGIN_MS = 400.0
"""A write takes 4 ms, 200 ms while the store is slow."""
SHIFT_WINDOW_MS = 800.0
"""The shift begins within this time before the last moment that lets it end by the deadline. More
evidence before it is better: a fault that begins late costs a tenth if it is found in the trial."""
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50.0
DETECTION_MS = 1_500.0
"""Requests are exposed for this time between a report and the effect of a rollback: the reports of
1 s, the write, and the reader's pause of 0.4 s between two reads."""
MIN_AGE_WITHOUT_OLD_MS = 3_000.0
"""Registrations of old targets that this entry does not know yet would have arrived by then."""


class Evidence(Struct, frozen=True, kw_only=True):
    """What a lead knows when it decides.

    ``has_majority`` is whether at least half of the known entries are linked to this lead. Of two
    leads, only one may move requests to the new version, and both may roll it back.
    ``had_old_since_order`` is whether a target of another version was registered since the order.
    ``have_all_moved`` is whether all linked entries reported that they send nothing to other
    versions any more. ``phase_age_ms`` counts from the write of the phase, however late this lead
    saw it. ``has_capacity`` is whether enough new targets are warm and usable.
    """

    verdict: Verdict
    requests: int
    exposed: int
    order_age_ms: float
    phase_age_ms: float
    duration_ms: float
    has_majority: bool
    had_old_since_order: bool = True
    has_new: bool = True
    have_all_moved: bool = True
    has_capacity: bool = True

    @property
    def latest_shift_ms(self) -> float:
        """Age of the order until which a shift may begin and be completed in time."""
        return self.duration_ms - SHIFT_MS - WRITE_MARGIN_MS

    @property
    def is_exposure_used_up(self) -> bool:
        """Whether a rollback in the shift would only just keep the bound for a bad version."""
        per_ms = self.requests / max(self.order_age_ms, 1.0)
        remaining_ms = max(0.0, self.duration_ms - self.order_age_ms)
        expected = self.requests + per_ms * remaining_ms
        return self.exposed + per_ms * DETECTION_MS > EXPOSURE_SHARE * expected + EXPOSURE_SLACK


class Decision(Struct, frozen=True):
    """The next phase, and the reason that the log gives."""

    phase: RolloutPhase
    reason: str


def decide(phase: RolloutPhase, evidence: Evidence) -> Decision | None:
    """Return the next phase, or None if ``phase`` lasts."""
    if phase.is_final:
        return None
    if not evidence.had_old_since_order:
        return _without_old(evidence)
    if evidence.verdict is Verdict.BAD:
        return Decision(RolloutPhase.ROLLED_BACK, "the new version is bad")
    if phase is RolloutPhase.TRIAL:
        return _after_trial(evidence)
    if evidence.verdict is Verdict.SUSPECT and evidence.is_exposure_used_up:
        return Decision(RolloutPhase.ROLLED_BACK, "the new version may be bad and got enough")
    return _after_shift(evidence)


def _without_old(evidence: Evidence) -> Decision | None:
    """Complete an order for the only version; after a rollback nothing could serve the requests."""
    if evidence.has_new and evidence.order_age_ms >= MIN_AGE_WITHOUT_OLD_MS:
        return Decision(RolloutPhase.COMPLETED, "no target runs another version")
    return None


def _after_trial(evidence: Evidence) -> Decision | None:
    age_ms, latest_ms = evidence.order_age_ms, evidence.latest_shift_ms
    is_time = latest_ms - SHIFT_WINDOW_MS <= age_ms <= latest_ms
    if _may_move_all(evidence) and is_time:
        return Decision(RolloutPhase.SHIFT, "the new version is good")
    if age_ms > latest_ms:
        return Decision(RolloutPhase.ROLLED_BACK, _missing(evidence))
    return None


def _may_move_all(evidence: Evidence) -> bool:
    is_good = evidence.verdict is Verdict.GOOD
    return is_good and evidence.has_majority and evidence.has_capacity


def _after_shift(evidence: Evidence) -> Decision | None:
    if evidence.phase_age_ms < SHIFT_MS:
        return None
    is_last_moment = evidence.order_age_ms >= evidence.duration_ms - WRITE_MARGIN_MS
    # A rollback would move the requests of all entries back because of one that does not report.
    if _may_move_all(evidence) and (evidence.have_all_moved or is_last_moment):
        return Decision(RolloutPhase.COMPLETED, "the new version is good")
    if is_last_moment:
        return Decision(RolloutPhase.ROLLED_BACK, _missing(evidence))
    return None


def _missing(evidence: Evidence) -> str:
    if evidence.verdict is Verdict.GOOD and not evidence.has_capacity:
        return "too few targets of the new version are warm and usable"
    return "the evidence is not enough"
