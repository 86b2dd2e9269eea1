"""What an event of a request means for the router and for the target table."""

from __future__ import annotations

from collections.abc import Callable

from kingcupusher._membership import TargetTable
from kingcupusher._proxy import (
    AbandonedEvent,
    FailureEvent,
    NotSentEvent,
    RefusalEvent,
    ResetEvent,
    ResponseEvent,
    TargetEvent,
)
from kingcupusher._routing import ServiceRouter, UnknownTargetError

FIRST_SERVER_ERROR = 500


def note_at_router(router: ServiceRouter, event: TargetEvent) -> None:
    """Give the place at the target back and learn from the outcome."""
    try:
        _ROUTER_EFFECTS[type(event)](router, event)
    except UnknownTargetError:
        # The service was removed and published again while the request was in flight.
        return


def note_at_table(table: TargetTable, event: TargetEvent) -> None:
    """Pass on what the outcome shows of the target's state."""
    _TABLE_EFFECTS[type(event)](table, event)


def _sent_ms(event: TargetEvent) -> float:
    return event.at_ms - event.elapsed_ms


def _route_response(router: ServiceRouter, event: TargetEvent) -> None:
    assert isinstance(event, ResponseEvent)
    if event.status >= FIRST_SERVER_ERROR:
        _route_failure(router, event)
        return
    router.on_response(
        event.target_id, now_ms=event.at_ms, elapsed_ms=event.elapsed_ms, report=event.load
    )


def _route_failure(router: ServiceRouter, event: TargetEvent) -> None:
    router.on_failure(event.target_id, now_ms=event.at_ms, elapsed_ms=event.elapsed_ms)


def _route_cancel(router: ServiceRouter, event: TargetEvent) -> None:
    router.on_cancelled(event.target_id, now_ms=event.at_ms)


def _note_response(table: TargetTable, event: TargetEvent) -> None:
    sent_ms = _sent_ms(event)
    table.on_response(event.target_id, event.load, sent_ms=sent_ms, now_ms=event.at_ms)


def _note_refusal(table: TargetTable, event: TargetEvent) -> None:
    sent_ms = _sent_ms(event)
    table.on_refusal(event.target_id, event.load, sent_ms=sent_ms, now_ms=event.at_ms)


def _note_reset(table: TargetTable, event: TargetEvent) -> None:
    assert isinstance(event, ResetEvent)
    # A target may close an idle connection at any time; that says nothing about its warmth.
    if event.is_stale:
        return
    table.on_connection_reset(event.target_id, sent_ms=_sent_ms(event), now_ms=event.at_ms)


def _note_failure(table: TargetTable, event: TargetEvent) -> None:
    table.on_failure(event.target_id, now_ms=event.at_ms)


def _note_nothing(_table: TargetTable, _event: TargetEvent) -> None:
    """Leave the table as it is: the target is not the cause."""


_ROUTER_EFFECTS: dict[type[TargetEvent], Callable[[ServiceRouter, TargetEvent], None]] = {
    ResponseEvent: _route_response,
    RefusalEvent: _route_failure,
    ResetEvent: _route_failure,
    FailureEvent: _route_failure,
    NotSentEvent: _route_cancel,
    AbandonedEvent: _route_cancel,
}
_TABLE_EFFECTS: dict[type[TargetEvent], Callable[[TargetTable, TargetEvent], None]] = {
    ResponseEvent: _note_response,
    RefusalEvent: _note_refusal,
    ResetEvent: _note_reset,
    FailureEvent: _note_failure,
    NotSentEvent: _note_nothing,
    AbandonedEvent: _note_nothing,
}
