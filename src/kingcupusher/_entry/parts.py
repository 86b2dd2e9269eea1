"""The parts of one entry process."""

from __future__ import annotations

from dataclasses import dataclass

from kingcupusher._entry.active_config import ActiveConfig
from kingcupusher._entry.directory import EntryDirectory
from kingcupusher._entry.driver import MembershipDriver
from kingcupusher._entry.follower import PlatformFollower
from kingcupusher._entry.prober import Prober
from kingcupusher._entry.registration import Registration, Seat
from kingcupusher._membership import Membership
from kingcupusher._peers import PeerTransport
from kingcupusher._platform import KeyValueClient
from kingcupusher._settings import EntrySettings


@dataclass(slots=True, kw_only=True)
class EntryParts:
    """Everything that the tasks of an entry work on."""

    settings: EntrySettings
    store: KeyValueClient
    config: ActiveConfig
    seat: Seat
    membership: Membership
    transport: PeerTransport
    driver: MembershipDriver
    follower: PlatformFollower
    registration: Registration
    directory: EntryDirectory
    prober: Prober
