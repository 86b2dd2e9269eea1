"""The components of one entry process."""

from __future__ import annotations

from dataclasses import dataclass

from kingcupusher._entry.active_config import ActiveConfig
from kingcupusher._entry.driver import MembershipDriver
from kingcupusher._entry.key_value_watcher import KeyValueWatcher
from kingcupusher._entry.load_balancer import EntryLoadBalancer
from kingcupusher._entry.prober import Prober
from kingcupusher._entry.registration import Registration, SeatReservation
from kingcupusher._membership import Membership
from kingcupusher._peers import PeerTransport
from kingcupusher._platform import KeyValueClient
from kingcupusher._settings import EntrySettings


@dataclass(slots=True, kw_only=True)
class EntryComponents:
    """Objects that the tasks of an entry share."""

    settings: EntrySettings
    store: KeyValueClient
    config: ActiveConfig
    reservation: SeatReservation
    membership: Membership
    transport: PeerTransport
    driver: MembershipDriver
    watcher: KeyValueWatcher
    registration: Registration
    load_balancer: EntryLoadBalancer
    prober: Prober
