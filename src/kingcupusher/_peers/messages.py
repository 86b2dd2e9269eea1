"""Messages between entries, encoded as arrays to keep them small.

A newer version may only append fields that have defaults: decoders ignore surplus fields.
"""

from __future__ import annotations

from msgspec import Struct

from kingcupusher._core.target_state import TargetState


class TargetStateUpdate(Struct, array_like=True, frozen=True):
    """State of one target, as its coordinator reports it.

    ``UNKNOWN`` carries no state: the sender does not coordinate the target now, or has yet to
    verify it. ``epoch`` grows with each state that grants or revokes the permission to send.
    """

    target_id: str
    epoch: int
    state: TargetState
    boot_id: str | None = None


class Heartbeat(Struct, array_like=True, frozen=True, tag=1, kw_only=True):
    """Periodic report of an entry to one peer.

    ``echo_sequence`` is the last sequence number received from the peer's process
    ``echo_boot_id`` (0 if none), so that the peer can bound the age of this report by its own
    clock. ``targets`` lists the target states that changed after ``base_list_version``, which the
    receiver has acknowledged, up to ``list_version``; a base of 0 marks the complete list.
    ``acked_list_version`` acknowledges the receiver's list. ``platform_confirmation_age_ms`` is
    the age of the sender's last confirmation by the platform, ``platform_response_age_ms`` the
    time since the key-value service last responded to the sender itself.
    """

    seat: int
    boot_id: int
    sequence: int
    echo_boot_id: int
    echo_sequence: int
    config_version: int
    platform_confirmation_age_ms: int | None
    platform_response_age_ms: int | None
    platform_reachable: bool
    draining: bool
    list_version: int
    base_list_version: int
    acked_list_version: int
    targets: list[TargetStateUpdate] = []


class TargetClosedNotice(Struct, array_like=True, frozen=True, tag=2):
    """Notice that a target must no longer be used as open.

    ``epoch`` is the newest one that the sender had received when it found the target closed; a
    coordinator sends the epoch of its revocation.
    """

    target_id: str
    boot_id: str | None
    state: TargetState
    epoch: int


class TargetClosedAck(Struct, array_like=True, frozen=True, tag=3):
    """Acknowledges that the sender uses no open grant of ``epoch`` or older."""

    target_id: str
    epoch: int


class ConfigRequest(Struct, array_like=True, frozen=True, tag=4):
    """Requests the configuration document if its version is at least ``version``."""

    version: int


class ConfigReply(Struct, array_like=True, frozen=True, tag=5):
    """An encoded configuration document and its version."""

    version: int
    document: bytes


Message = Heartbeat | TargetClosedNotice | TargetClosedAck | ConfigRequest | ConfigReply
