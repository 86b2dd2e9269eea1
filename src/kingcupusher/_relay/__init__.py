"""Relays the changes of the store from a few readers to all other entries."""

from __future__ import annotations

from kingcupusher._relay.lead_link import LeadLink, LeadUnavailableError
from kingcupusher._relay.lead_server import LeadServer
from kingcupusher._relay.messages import TokenGrant, TokenRequest
from kingcupusher._relay.reader_slots import ReaderSlot, ReaderSlotStore
from kingcupusher._relay.server import RelayServer
from kingcupusher._relay.subscriptions import Subscriptions

__all__ = [
    "LeadLink",
    "LeadServer",
    "LeadUnavailableError",
    "ReaderSlot",
    "ReaderSlotStore",
    "RelayServer",
    "Subscriptions",
    "TokenGrant",
    "TokenRequest",
]
