"""Protocol between entries: messages over WebSocket links."""

from __future__ import annotations

from kingcupusher._peers.codec import decode, encode
from kingcupusher._peers.connection import ByteCounters, PeerIdentity
from kingcupusher._peers.errors import HandshakeError, LinkClosedError, MessageError, PeerError
from kingcupusher._peers.events import PeerConnected, PeerDisconnected, PeerEvent, PeerMessage
from kingcupusher._peers.messages import (
    ConfigReply,
    ConfigRequest,
    Heartbeat,
    Message,
    TargetClosedAck,
    TargetClosedNotice,
    TargetStateUpdate,
)
from kingcupusher._peers.transport import PeerTransport

__all__ = [
    "ByteCounters",
    "ConfigReply",
    "ConfigRequest",
    "HandshakeError",
    "Heartbeat",
    "LinkClosedError",
    "Message",
    "MessageError",
    "PeerConnected",
    "PeerDisconnected",
    "PeerError",
    "PeerEvent",
    "PeerTransport",
    "PeerIdentity",
    "PeerMessage",
    "TargetStateUpdate",
    "TargetClosedNotice",
    "TargetClosedAck",
    "decode",
    "encode",
]
