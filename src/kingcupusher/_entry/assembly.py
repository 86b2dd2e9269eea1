"""Assembly of the parts of an entry from its settings."""

from __future__ import annotations

from random import Random

import curio
import logbook

from kingcupusher._config import ConfigDocument
from kingcupusher._config.errors import ConfigError
from kingcupusher._config.stored_document import read_stored_document
from kingcupusher._core import now_ms
from kingcupusher._entry.active_config import ActiveConfig
from kingcupusher._entry.directory import EntryDirectory
from kingcupusher._entry.driver import MembershipDriver
from kingcupusher._entry.errors import EntryError
from kingcupusher._entry.follower import PlatformFollower
from kingcupusher._entry.members import GroupKey, Member
from kingcupusher._entry.parts import EntryParts
from kingcupusher._entry.prober import Prober
from kingcupusher._entry.registration import Registration, Seat, take_seat
from kingcupusher._limits import ColdStartRamp, ProbeBudget
from kingcupusher._membership import Membership
from kingcupusher._peers import PeerTransport
from kingcupusher._platform import KeyValueClient, VmRecord
from kingcupusher._platform.errors import PlatformError
from kingcupusher._settings import EntrySettings

RETRY_S = 0.5

log = logbook.Logger("entry")


async def assemble(settings: EntrySettings) -> EntryParts:
    """Register the entry and connect its parts; wait for the platform if it is down."""
    store = KeyValueClient(settings.platform)
    seat = await _register(store, settings)
    membership = Membership(
        seat=seat.member.seat,
        boot_id=seat.member.boot_id,
        ramp_factory=ColdStartRamp,
        budget_factory=ProbeBudget,
    )
    config = ActiveConfig()
    transport = PeerTransport(
        settings.peer_address, seat=seat.member.seat, boot_id=seat.member.boot_id
    )
    directory = EntryDirectory(
        membership.target_table,
        seat=seat.member.seat,
        zone=settings.zone,
        policy=settings.policy,
        rng=Random(settings.seed or None),
    )
    follower = PlatformFollower(store, config, membership)
    registration = Registration(store, seat, membership=membership, follower=follower)
    parts = EntryParts(
        settings=settings,
        store=store,
        config=config,
        seat=seat,
        membership=membership,
        transport=transport,
        driver=MembershipDriver(membership, transport, config),
        follower=follower,
        registration=registration,
        directory=directory,
        prober=Prober(membership, directory),
    )
    _connect(parts)
    return parts


def vm_listener(parts: EntryParts, records: list[VmRecord]) -> None:
    """Pass a reading of the VM list on to the request path and the membership."""
    services = parts.config.document.services
    targets = [record for record in records if record.service in services]
    parts.directory.on_vm_list(targets)
    parts.membership.on_vm_list(targets, now_ms=now_ms())


def _connect(parts: EntryParts) -> None:
    def on_config(document: ConfigDocument) -> None:
        parts.membership.on_config(document, now_ms=now_ms())
        parts.directory.on_config(document)

    def on_fleet(members: dict[int, Member], groups: dict[int, GroupKey]) -> None:
        parts.directory.on_fleet(members, groups)

    parts.config.listen(on_config)
    parts.follower.listen(on_fleet)


async def _register(store: KeyValueClient, settings: EntrySettings) -> Seat:
    def make(seat: int, boot_id: int) -> Member:
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
            seat = await take_seat(store, max_entries=max_entries, make=make)
            log.info("entry registered", seat=seat.member.seat)
            return seat
        except (PlatformError, ConfigError, EntryError) as error:
            log.warning("entry not registered yet", error=str(error))
            await curio.sleep(RETRY_S)
