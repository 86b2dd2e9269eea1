"""Faults that the control port switches on."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

from msgspec import Meta, Struct


class Outage(Enum):
    """How the service fails: not at all, with status 503, or by never responding."""

    NONE = "none"
    REFUSE = "refuse"
    SILENT = "silent"


class Faults(Struct, forbid_unknown_fields=True):
    """Faults in effect.

    Half of ``slow_ms`` passes before a call takes effect and half before its response.
    ``drop_put_responses`` counts down with each put that took effect.
    """

    outage: Outage = Outage.NONE
    slow_ms: Annotated[int, Meta(ge=0)] = 0
    drop_put_responses: Annotated[int, Meta(ge=0)] = 0

    def take_drop(self) -> bool:
        """Return whether the response of this put is to be dropped."""
        if not self.drop_put_responses:
            return False
        self.drop_put_responses -= 1
        return True
