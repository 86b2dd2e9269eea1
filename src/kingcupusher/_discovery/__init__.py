"""What an entry believes about routes, targets, zones and other entries, and how it learns it."""

from __future__ import annotations

from kingcupusher._discovery.catalog import Catalog, Target
from kingcupusher._discovery.changes import (
    Change,
    EntryGone,
    EntrySeen,
    RoutesPublished,
    TargetGone,
    TargetSeen,
    ZoneReturned,
    ZoneTakenOut,
)
from kingcupusher._discovery.follower import Follower, Snapshot, Source, SourceError, SourceReset
from kingcupusher._discovery.model import (
    CallerLimits,
    Route,
    RouteTable,
    ServicePolicy,
    SplitPart,
    TargetRecord,
)

__all__ = [
    "CallerLimits",
    "Catalog",
    "Change",
    "EntryGone",
    "EntrySeen",
    "Follower",
    "Route",
    "RouteTable",
    "RoutesPublished",
    "ServicePolicy",
    "Snapshot",
    "Source",
    "SourceError",
    "SourceReset",
    "SplitPart",
    "Target",
    "TargetGone",
    "TargetRecord",
    "TargetSeen",
    "ZoneReturned",
    "ZoneTakenOut",
]
