"""Faults of the platform stand-in that the control interface sets."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

from msgspec import Meta, Struct


class Outage(Enum):
    """How calls fail: not at all, with status 503, or without a response."""

    NONE = "none"
    REFUSE = "refuse"
    SILENT = "silent"


class Faults(Struct, forbid_unknown_fields=True):
    """Active faults.

    ``slow_ms`` delays each call: half before it takes effect, half before its response.
    ``drop_put_responses`` is the number of successful puts whose response is still to be dropped.
    """

    outage: Outage = Outage.NONE
    slow_ms: Annotated[int, Meta(ge=0)] = 0
    drop_put_responses: Annotated[int, Meta(ge=0)] = 0

    def take_put_response_drop(self) -> bool:
        """Return whether to drop the response of this put, and count it down."""
        if not self.drop_put_responses:
            return False
        self.drop_put_responses -= 1
        return True
