"""Which targets of a service a request may go to during and after the rollout of a version.

Each request draws a number from 0 to 1 for its first choice. In the trial, requests whose number is
below the canary share go to a few of the new targets, the others to old ones. A request that the
choice leaves without a target may go to an old one, and never the other way round. Later choices
(retries, hedges, requests that wait) use ``OLD_VERSION_DRAW``, so that they cannot raise the share
of the new version.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol, TypeVar

from msgspec import Struct

from kingcupusher._core.rendezvous import rendezvous_weight
from kingcupusher._discovery.model import RolloutPhase

CANARY_SHARE = 0.06
OLD_VERSION_DRAW = 1.0
"""Number of a request that goes to the old version as long as not all requests go to the new."""
RAMP_MS = 800.0
RAMP_START_SHARE = 0.2
"""Shares rise from this one within ``RAMP_MS`` after an entry learns of the shift. Faults that show
only under full load are reported before most requests are exposed to them."""


class VersionedTarget(Protocol):
    """Properties of a target that determine whether it may get a request."""

    @property
    def target_id(self) -> str:
        """Identity of the target."""

    @property
    def version(self) -> str:
        """Version that it runs."""

    @property
    def warm_at_ms(self) -> float:
        """When its cold start ends."""


T = TypeVar("T", bound=VersionedTarget)


class VersionRule(Struct, frozen=True, kw_only=True):
    """What a rollout orders for the requests of a service now.

    ``phase`` is None before the trial. ``had_old_since_order`` is whether any target of another
    version was registered since the order, usable or not; ``has_new`` is whether one of the ordered
    version is registered now. ``rejected`` versions get no requests. An entry that joins in the
    shift skips the ramp, which the other entries began before.
    """

    service: str
    target_version: str
    phase: RolloutPhase | None
    phase_age_ms: float = 0.0
    rejected: tuple[str, ...] = ()
    had_old_since_order: bool = True
    has_new: bool = True
    skips_ramp: bool = False

    def new_share(self) -> float:
        """Return the share of the requests that may go to the new version."""
        if self.phase is RolloutPhase.TRIAL:
            return CANARY_SHARE
        if self.phase is RolloutPhase.SHIFT:
            if self.skips_ramp:
                return 1.0
            progress = min(1.0, max(0.0, self.phase_age_ms) / RAMP_MS)
            return RAMP_START_SHARE + (1.0 - RAMP_START_SHARE) * progress
        return 1.0 if self.phase is RolloutPhase.COMPLETED else 0.0


def choose_targets(
    targets: Sequence[T], rule: VersionRule, *, draw: float, now_ms: float
) -> Sequence[T]:
    """Return those of the usable ``targets`` that a request with the number ``draw`` may go to."""
    new = [t for t in targets if t.version == rule.target_version]
    old = [t for t in targets if t.version != rule.target_version]
    old = [t for t in old if t.version not in rule.rejected]
    if rule.phase is RolloutPhase.ROLLED_BACK:
        return old
    if rule.phase is RolloutPhase.COMPLETED:
        return new if rule.has_new else old
    if not rule.had_old_since_order:
        # No other version was registered since the order, so there is nothing to compare with.
        return new
    share = rule.new_share()
    if draw >= share and share < 1.0:
        return old
    warm = [t for t in new if t.warm_at_ms <= now_ms]
    if rule.phase is RolloutPhase.TRIAL:
        warm = canaries(warm, service=rule.service, old_count=len(old))
    return warm or old or (new if share >= 1.0 else [])


def canaries(targets: Sequence[T], *, service: str, old_count: int) -> list[T]:
    """Return as many of the new ``targets`` as get the load of an old one from the canary share.

    All entries choose the same ones. Faults that show only under load would stay hidden if the few
    requests were spread over all new targets.
    """
    count = max(1, round(old_count * CANARY_SHARE / (1.0 - CANARY_SHARE)))
    return sorted(targets, key=lambda t: rendezvous_weight(service, t.target_id))[:count]
