"""State that the parts of the target table share."""

from __future__ import annotations

from kingcupusher._core.target_state import TargetState
from kingcupusher._membership.confirmation import ConfigConfirmation
from kingcupusher._membership.coordinated_targets import CoordinatedTarget, CoordinatedTargets
from kingcupusher._membership.coordinator import CoordinatorRole
from kingcupusher._membership.groups import group_of
from kingcupusher._membership.notices import Emit, PendingNotices
from kingcupusher._membership.record import TargetRecord

LEAVING_STATES = frozenset({TargetState.DRAINING, TargetState.GONE})


class TableState:
    """Records of all targets, those that this entry coordinates, and the zones that are out.

    ``must_reassign`` tells that the coordinated targets have to be determined again.
    """

    __slots__ = (
        "confirmation",
        "coordinated",
        "emit",
        "must_reassign",
        "notices",
        "records",
        "role",
        "zones_out",
    )

    def __init__(
        self,
        *,
        confirmation: ConfigConfirmation,
        role: CoordinatorRole,
        coordinated: CoordinatedTargets,
        emit: Emit,
    ) -> None:
        self.confirmation = confirmation
        self.role = role
        self.coordinated = coordinated
        self.emit = emit
        self.records: dict[str, TargetRecord] = {}
        self.notices = PendingNotices(emit)
        self.zones_out: frozenset[str] = frozenset()
        self.must_reassign = False

    def get_or_add(self, target_id: str) -> TargetRecord:
        """Return the record of a target, which is added if needed."""
        record = self.records.get(target_id)
        if record is None:
            record = TargetRecord(target_id, group_of(target_id))
            self.records[target_id] = record
        return record

    def coordinated_target(self, record: TargetRecord, now_ms: float) -> CoordinatedTarget | None:
        """Return the coordinated target; release it if this entry is no longer its coordinator."""
        target = self.coordinated.get(record.target_id)
        if target is None or self.role.is_active_for(record.group, now_ms=now_ms):
            return target
        self.coordinated.release(record.target_id, now_ms=now_ms)
        self.must_reassign = True
        return None
