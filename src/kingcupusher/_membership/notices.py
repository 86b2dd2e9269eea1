"""Signs of targets that were told to the peers and that no coordinator has answered yet."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from msgspec import Struct

from kingcupusher._membership.bounds import NOTICE_REPEAT_MS
from kingcupusher._membership.record import TargetRecord
from kingcupusher._peers.messages import Message, TargetClosedNotice

# Emits a message to one seat, or to all linked peers for None.
Emit = Callable[[int | None, Message], None]


class _Pending(Struct):
    notice: TargetClosedNotice
    until_ms: float


class PendingNotices:
    """Tells all peers of a sign, again until a coordinator has made a newer statement."""

    __slots__ = ("_emit", "_pending")

    def __init__(self, emit: Emit) -> None:
        self._emit = emit
        self._pending: dict[str, _Pending] = {}

    def tell(self, record: TargetRecord, *, now_ms: float) -> None:
        """Tell the peers what this entry knows of a target."""
        notice = TargetClosedNotice(record.target_id, record.boot_id, record.state, record.epoch)
        self._pending[record.target_id] = _Pending(notice, now_ms + NOTICE_REPEAT_MS)
        self._emit(None, notice)

    def forget(self, target_id: str) -> None:
        """Tell no more of a target."""
        self._pending.pop(target_id, None)

    def repeat(self, records: Mapping[str, TargetRecord], *, now_ms: float) -> None:
        """Send again what is not out of date and was not answered."""
        for target_id, pending in list(self._pending.items()):
            if now_ms >= pending.until_ms or records[target_id].epoch > pending.notice.epoch:
                del self._pending[target_id]
            else:
                self._emit(None, pending.notice)
