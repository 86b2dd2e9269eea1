"""Builds the components of an entry from its settings and connects them."""

from __future__ import annotations

from random import Random

import curio
import logbook

from kingcupusher._config import ConfigDocument
from kingcupusher._config.errors import ConfigError
from kingcupusher._config.stored_document import read_stored_document
from kingcupusher._core import now_ms
from kingcupusher._entry.active_config import ActiveConfig
from kingcupusher._entry.components import EntryComponents
from kingcupusher._entry.driver import MembershipDriver
from kingcupusher._entry.errors import EntryError
from kingcupusher._entry.key_value_watcher import KeyValueWatcher
from kingcupusher._entry.load_balancer import EntryLoadBalancer
from kingcupusher._entry.members import GroupCoordinator, Member
from kingcupusher._entry.prober import Prober
from kingcupusher._entry.registration import Registration, SeatReservation, reserve_seat
from kingcupusher._limits import ColdStartRamp, ProbeBudget
from kingcupusher._membership import Membership
from kingcupusher._peers import PeerTransport
from kingcupusher._platform import KeyValueClient, VmRecord
from kingcupusher._platform.errors import PlatformError
from kingcupusher._settings import EntrySettings

RETRY_DELAY_S = 0.5

log = logbook.Logger("entry")


async def assemble(settings: EntrySettings) -> EntryComponents:
    """Register the entry and build its components; retry while the platform is down."""
    store = KeyValueClient(settings.platform)
    reservation = await _register(store, settings)
    membership = Membership(
        seat=reservation.member.seat,
        boot_id=reservation.member.boot_id,
        ramp_factory=ColdStartRamp,
        budget_factory=ProbeBudget,
    )
    config = ActiveConfig()
    transport = PeerTransport(
        settings.peer_address, seat=reservation.member.seat, boot_id=reservation.member.boot_id
    )
    load_balancer = EntryLoadBalancer(
        membership.target_table,
        seat=reservation.member.seat,
        zone=settings.zone,
        policy=settings.policy,
        rng=Random(settings.seed or None),
    )
    watcher = KeyValueWatcher(store, config, membership)
    registration = Registration(store, reservation, membership=membership, watcher=watcher)
    components = EntryComponents(
        settings=settings,
        store=store,
        config=config,
        reservation=reservation,
        membership=membership,
        transport=transport,
        driver=MembershipDriver(membership, transport, config),
        watcher=watcher,
        registration=registration,
        load_balancer=load_balancer,
        prober=Prober(membership, load_balancer),
    )
    _add_listeners(components)
    return components


def apply_vm_list(components: EntryComponents, records: list[VmRecord]) -> None:
    """Apply a read of the VM list to the request path and the membership."""
    services = components.config.document.services
    targets = [record for record in records if record.service in services]
    components.load_balancer.on_vm_list(targets)
    components.membership.on_vm_list(targets, now_ms=now_ms())


def _add_listeners(components: EntryComponents) -> None:
    def on_config(document: ConfigDocument) -> None:
        components.membership.on_config(document, now_ms=now_ms())
        components.load_balancer.on_config(document)

    def on_members(members: dict[int, Member], coordinators: dict[int, GroupCoordinator]) -> None:
        components.load_balancer.on_members(members, coordinators)

    components.config.add_listener(on_config)
    components.watcher.add_listener(on_members)


async def _register(store: KeyValueClient, settings: EntrySettings) -> SeatReservation:
    def make_member(seat: int, boot_id: int) -> Member:
        return Member(
            seat=seat,
            boot_id=boot_id,
            vm_id=settings.vm_id,
            zone=settings.zone,
            peer_address=str(settings.peer_address),
            admin_address=str(settings.admin_address),
            caller_address=str(settings.caller_address),
        )

    while True:
        try:
            max_entries = (await read_stored_document(store)).document.max_entries
            reservation = await reserve_seat(
                store, max_entries=max_entries, make_member=make_member
            )
            log.info("entry registered", seat=reservation.member.seat)
            return reservation
        except (PlatformError, ConfigError, EntryError) as error:
            log.warning("entry not registered yet", error=str(error))
            await curio.sleep(RETRY_DELAY_S)
