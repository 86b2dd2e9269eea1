"""Discovery of routes, targets, zones and other entries from the platform's store."""

from __future__ import annotations

from kingcupusher._discovery.catalog import Catalog
from kingcupusher._discovery.change_source import (
    CallEnd,
    ChangeBatch,
    ChangeSource,
    ChangeSourceError,
    HistoryGoneError,
    RateLimitedError,
    Update,
    WaitCutError,
)
from kingcupusher._discovery.changes import (
    Change,
    CrashSeen,
    CrashWithdrawn,
    ReaderGone,
    ReaderSeen,
    RolloutOrdered,
    RolloutPhaseGone,
    RolloutPhaseSeen,
    RolloutWithdrawn,
    RoutesPublished,
    StoreReturned,
    TargetGone,
    TargetSeen,
    ZoneReturned,
    ZoneTakenOut,
)
from kingcupusher._discovery.customer_keys import key_digest
from kingcupusher._discovery.follower import StoreFollower
from kingcupusher._discovery.live_entries import LiveEntries
from kingcupusher._discovery.model import (
    CallerLimits,
    Customer,
    RolloutOrder,
    RolloutPhase,
    RolloutState,
    Route,
    RouteTable,
    ServiceConfig,
    TargetRegistration,
    WeightedService,
)
from kingcupusher._discovery.position import NO_POSITION, StorePosition
from kingcupusher._discovery.rollout_states import (
    Rollout,
    RolloutStates,
    rejected_before,
    repeats_completed,
)
from kingcupusher._discovery.target import Target

__all__ = [
    "NO_POSITION",
    "CallerLimits",
    "CallEnd",
    "Catalog",
    "Change",
    "CrashSeen",
    "CrashWithdrawn",
    "Customer",
    "LiveEntries",
    "StoreFollower",
    "StorePosition",
    "ReaderGone",
    "ReaderSeen",
    "Rollout",
    "RolloutOrder",
    "RolloutOrdered",
    "RolloutPhase",
    "RolloutPhaseGone",
    "RolloutPhaseSeen",
    "RolloutState",
    "RolloutStates",
    "RolloutWithdrawn",
    "Route",
    "RouteTable",
    "RoutesPublished",
    "ServiceConfig",
    "ChangeBatch",
    "ChangeSource",
    "ChangeSourceError",
    "HistoryGoneError",
    "RateLimitedError",
    "WeightedService",
    "StoreReturned",
    "Target",
    "TargetGone",
    "TargetRegistration",
    "TargetSeen",
    "Update",
    "WaitCutError",
    "ZoneReturned",
    "ZoneTakenOut",
    "key_digest",
    "rejected_before",
    "repeats_completed",
]
