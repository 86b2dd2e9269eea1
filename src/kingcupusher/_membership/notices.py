"""Notices of closed targets, which are resent until a coordinator has superseded them."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from msgspec import Struct

from kingcupusher._membership.bounds import NOTICE_RESEND_DURATION_MS
from kingcupusher._membership.record import TargetRecord
from kingcupusher._peers.messages import Message, TargetClosedNotice

# Queues a message for one seat, or for all connected peers if the seat is None.
Emit = Callable[[int | None, Message], None]


class _PendingNotice(Struct):
    notice: TargetClosedNotice
    until_ms: float


class PendingNotices:
    """Broadcasts notices and resends them until a coordinator has sent a newer update."""

    __slots__ = ("_emit", "_notices")

    def __init__(self, emit: Emit) -> None:
        self._emit = emit
        self._notices: dict[str, _PendingNotice] = {}

    def broadcast(self, record: TargetRecord, *, now_ms: float) -> None:
        """Send the state of a target to all peers."""
        notice = TargetClosedNotice(record.target_id, record.boot_id, record.state, record.epoch)
        self._notices[record.target_id] = _PendingNotice(notice, now_ms + NOTICE_RESEND_DURATION_MS)
        self._emit(None, notice)

    def discard(self, target_id: str) -> None:
        """Stop resending the notice of a target."""
        self._notices.pop(target_id, None)

    def resend(self, records: Mapping[str, TargetRecord], *, now_ms: float) -> None:
        """Resend the notices that have neither expired nor been superseded."""
        for target_id, pending in list(self._notices.items()):
            if now_ms >= pending.until_ms or records[target_id].epoch > pending.notice.epoch:
                del self._notices[target_id]
            else:
                self._emit(None, pending.notice)
