"""What the lead knows of one rollout."""

from __future__ import annotations

from msgspec import Struct, field

from kingcupusher._discovery import RolloutPhase
from kingcupusher._limits.rollout_ledger import RolloutLedger


class RolloutCase(Struct):
    """A rollout as its lead knows it; nothing is written before ``retry_ms``.

    ``has_moved`` is, by entry, what its last report says. ``written_from`` is the phase that the
    last write was to replace.
    """

    order_revision: int
    ledger: RolloutLedger
    has_moved: dict[str, bool] = field(default_factory=dict)
    written_from: RolloutPhase | None = None
    retry_ms: float = 0.0
