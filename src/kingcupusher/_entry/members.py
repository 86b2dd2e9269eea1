"""Records of entries and coordinators in the key-value service."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from msgspec import Struct

from kingcupusher._core.address import Address
from kingcupusher._core.json_decoding import JsonError, decode_json
from kingcupusher._platform import VersionedValue

MEMBER_PREFIX = "members/"
COORDINATOR_PREFIX = "coordinators/"


class Member(Struct, frozen=True):
    """A registered entry; addresses are strings of the form ``IP:PORT``."""

    seat: int
    boot_id: int
    vm_id: str
    zone: str
    peer_address: str
    admin_address: str
    caller_address: str

    @property
    def peer_endpoint(self) -> Address:
        """Address that the entry's peers connect to."""
        return Address.parse(self.peer_address)

    @property
    def caller_endpoint(self) -> Address:
        """Address that callers connect to."""
        return Address.parse(self.caller_address)


class CoordinatorId(Struct, frozen=True):
    """Identifies the entry that coordinates a group of targets."""

    seat: int
    boot_id: int


class GroupCoordinator(Struct, frozen=True):
    """Coordinator of one group, with the revision and the lease of its key."""

    group: int
    coordinator: CoordinatorId
    revision: int
    lease_id: str | None


def member_key(seat: int) -> str:
    """Return the key that reserves ``seat``."""
    return f"{MEMBER_PREFIX}{seat}"


def coordinator_key(group: int) -> str:
    """Return the key that holds the coordinator of ``group``."""
    return f"{COORDINATOR_PREFIX}{group}"


def encode_record(record: Member | CoordinatorId) -> bytes:
    """Return the stored form of a record."""
    return msgspec.json.encode(record)


def decode_members(values: Iterable[VersionedValue]) -> dict[int, Member]:
    """Return the registered entries by seat; values that cannot be decoded are skipped."""
    members = {}
    for value in values:
        if not value.key.startswith(MEMBER_PREFIX):
            continue
        try:
            member = decode_json(value.value, Member)
        except JsonError:
            continue
        members[member.seat] = member
    return members


def decode_coordinators(values: Iterable[VersionedValue]) -> dict[int, GroupCoordinator]:
    """Return the coordinators by group; values that cannot be decoded are skipped."""
    coordinators = {}
    for value in values:
        number = value.key.removeprefix(COORDINATOR_PREFIX)
        if number == value.key or not (number.isascii() and number.isdecimal()):
            continue
        try:
            coordinator = decode_json(value.value, CoordinatorId)
        except JsonError:
            continue
        coordinators[int(number)] = GroupCoordinator(
            int(number), coordinator, value.revision, value.lease_id
        )
    return coordinators
