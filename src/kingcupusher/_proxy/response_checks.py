"""Checks of the head of a target's response."""

from __future__ import annotations

from kingcupusher._http.client_connection import ClientConnection
from kingcupusher._http.errors import ExchangeError
from kingcupusher._http.framing import invalid_framing_reason
from kingcupusher._http.heads import ResponseHead
from kingcupusher._proxy.errors import RefusedError

NOT_RUN = (b"x-outcome", b"not-run")


def check_request_id(head: ResponseHead, connection: ClientConnection, request_id: bytes) -> None:
    """Raise :class:`ExchangeError` if the response repeats one to an earlier request.

    A target need not echo ``X-Request-Id``. If it has done so on a connection, a response with
    another identifier, or a refusal without one, does not show what became of this request.
    """
    response_id = dict(head.headers).get(b"x-request-id")
    is_own = response_id == request_id
    must_be_own = response_id is not None or NOT_RUN in head.headers
    if connection.echoes_request_ids and must_be_own and not is_own:
        raise ExchangeError(f"{connection.address} sent a response to another request")
    connection.echoes_request_ids |= is_own


def check_response(head: ResponseHead, connection: ClientConnection, method: bytes) -> None:
    """Raise :class:`RefusedError` for a refusal, :class:`ExchangeError` for ambiguous framing."""
    if NOT_RUN in head.headers:
        connection.discard_received_body()
        raise RefusedError(f"{connection.address} did not run the request")
    reason = invalid_framing_reason(head, method)
    if reason is not None:
        raise ExchangeError(f"invalid response from {connection.address}: {reason}")
