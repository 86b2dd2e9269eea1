"""Events that a transport puts into its inbound queue."""

from __future__ import annotations

from msgspec import Struct

from kingcupusher._peers.connection import PeerIdentity
from kingcupusher._peers.messages import Message


class PeerMessage(Struct, frozen=True):
    """A message arrived from a peer."""

    peer: PeerIdentity
    message: Message


class PeerConnected(Struct, frozen=True):
    """A link to a peer was opened; the first heartbeat is due."""

    peer: PeerIdentity


class PeerDisconnected(Struct, frozen=True):
    """The link to a peer ended."""

    peer: PeerIdentity
    reason: str


PeerEvent = PeerMessage | PeerConnected | PeerDisconnected
