"""Why the connection of a caller ended; the values appear in logs and metrics."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """The first cause for the end of a connection."""

    CALLER = "the caller closed its connection"
    DEADLINE = "the caller sent nothing in time"
    CONNECTION_LIMIT = "the entry had too many connections and this one was idle for longest"
    DRAIN = "the entry stops"
    FAILED_HANDLER = "a request could not be handled"
    UNREAD = "the caller did not read its response"
    LAST_RESPONSE = "the response was the last of the connection"
