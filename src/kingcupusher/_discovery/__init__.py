"""Discovery of routes, targets, zones and other entries from the platform's store."""

from __future__ import annotations

from kingcupusher._discovery.catalog import Catalog, Target
from kingcupusher._discovery.change_source import (
    ChangeBatch,
    ChangeSource,
    ChangeSourceError,
    HistoryGoneError,
    Update,
)
from kingcupusher._discovery.changes import (
    Change,
    CrashSeen,
    CrashWithdrawn,
    ReaderGone,
    ReaderSeen,
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
    Route,
    RouteTable,
    ServiceConfig,
    TargetRegistration,
    WeightedService,
)
from kingcupusher._discovery.position import NO_POSITION, StorePosition

__all__ = [
    "NO_POSITION",
    "CallerLimits",
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
    "Route",
    "RouteTable",
    "RoutesPublished",
    "ServiceConfig",
    "ChangeBatch",
    "ChangeSource",
    "ChangeSourceError",
    "HistoryGoneError",
    "WeightedService",
    "StoreReturned",
    "Target",
    "TargetGone",
    "TargetRegistration",
    "TargetSeen",
    "Update",
    "ZoneReturned",
    "ZoneTakenOut",
    "key_digest",
]
