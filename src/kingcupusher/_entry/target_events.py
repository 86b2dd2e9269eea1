"""Applies the outcome of a request to the router and to the target table."""

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


def update_router(router: ServiceRouter, event: TargetEvent) -> None:
    """Release the request's slot at the target and record its outcome."""
    try:
        _ROUTER_EFFECTS[type(event)](router, event)
    except UnknownTargetError:
        # The service was removed and republished while the request was in flight.
        return


def update_table(table: TargetTable, event: TargetEvent) -> None:
    """Record what the outcome shows about the state of the target."""
    _TABLE_EFFECTS[type(event)](table, event)


def _sent_ms(event: TargetEvent) -> float:
    return event.at_ms - event.elapsed_ms


def _router_response(router: ServiceRouter, event: TargetEvent) -> None:
    assert isinstance(event, ResponseEvent)
    if event.status >= FIRST_SERVER_ERROR:
        _router_failure(router, event)
        return
    router.on_response(
        event.target_id, now_ms=event.at_ms, elapsed_ms=event.elapsed_ms, report=event.load
    )


def _router_failure(router: ServiceRouter, event: TargetEvent) -> None:
    router.on_failure(event.target_id, now_ms=event.at_ms, elapsed_ms=event.elapsed_ms)


def _router_cancel(router: ServiceRouter, event: TargetEvent) -> None:
    router.on_cancelled(event.target_id, now_ms=event.at_ms)


def _table_response(table: TargetTable, event: TargetEvent) -> None:
    sent_ms = _sent_ms(event)
    table.on_response(event.target_id, event.load, sent_ms=sent_ms, now_ms=event.at_ms)


def _table_refusal(table: TargetTable, event: TargetEvent) -> None:
    sent_ms = _sent_ms(event)
    table.on_refusal(event.target_id, event.load, sent_ms=sent_ms, now_ms=event.at_ms)


def _table_reset(table: TargetTable, event: TargetEvent) -> None:
    assert isinstance(event, ResetEvent)
    # A target may close an idle connection at any time; this does not show a restart.
    if event.is_stale:
        return
    table.on_connection_reset(event.target_id, sent_ms=_sent_ms(event), now_ms=event.at_ms)


def _table_failure(table: TargetTable, event: TargetEvent) -> None:
    table.on_failure(event.target_id, now_ms=event.at_ms)


def _leave_unchanged(_table: TargetTable, _event: TargetEvent) -> None:
    """Leave the table unchanged: the target did not cause the outcome."""


_ROUTER_EFFECTS: dict[type[TargetEvent], Callable[[ServiceRouter, TargetEvent], None]] = {
    ResponseEvent: _router_response,
    RefusalEvent: _router_failure,
    ResetEvent: _router_failure,
    FailureEvent: _router_failure,
    NotSentEvent: _router_cancel,
    AbandonedEvent: _router_cancel,
}
_TABLE_EFFECTS: dict[type[TargetEvent], Callable[[TargetTable, TargetEvent], None]] = {
    ResponseEvent: _table_response,
    RefusalEvent: _table_refusal,
    ResetEvent: _table_reset,
    FailureEvent: _table_failure,
    NotSentEvent: _leave_unchanged,
    AbandonedEvent: _leave_unchanged,
}
