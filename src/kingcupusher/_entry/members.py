"""Registration records of entries and coordinators in the key-value service."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from msgspec import Struct

from kingcupusher._core.address import Address
from kingcupusher._platform import VersionedValue

MEMBER_PREFIX = "members/"
COORDINATOR_PREFIX = "coordinators/"


class Member(Struct, frozen=True):
    """One registered entry; addresses are texts of the form ``IP:PORT``."""

    seat: int
    boot_id: int
    vm_id: str
    zone: str
    peer_address: str
    admin_address: str
    caller_address: str

    @property
    def peer(self) -> Address:
        """Address for the inner protocol."""
        return Address.parse(self.peer_address)

    @property
    def caller(self) -> Address:
        """Address on which callers are served."""
        return Address.parse(self.caller_address)


class Holder(Struct, frozen=True):
    """The entry that coordinates a group of targets."""

    seat: int
    boot_id: int


class GroupKey(Struct, frozen=True):
    """The coordinator key of one group, with the revision of its last change and its lease."""

    group: int
    holder: Holder
    revision: int
    lease_id: str | None


def member_key(seat: int) -> str:
    """Return the key that reserves ``seat``."""
    return f"{MEMBER_PREFIX}{seat}"


def coordinator_key(group: int) -> str:
    """Return the key that names the coordinator of ``group``."""
    return f"{COORDINATOR_PREFIX}{group}"


def encode(record: Member | Holder) -> bytes:
    """Return the value under which a record is stored."""
    return msgspec.json.encode(record)


def decode_members(values: Iterable[VersionedValue]) -> dict[int, Member]:
    """Return the registered entries by seat; a value that cannot be read is left out."""
    members = {}
    for value in values:
        if not value.key.startswith(MEMBER_PREFIX):
            continue
        try:
            member = msgspec.json.decode(value.value, type=Member)
        except msgspec.MsgspecError:
            continue
        members[member.seat] = member
    return members


def groups_in(values: Iterable[VersionedValue]) -> dict[int, GroupKey]:
    """Return the held coordinator keys by group."""
    groups = {}
    for value in values:
        number = value.key.removeprefix(COORDINATOR_PREFIX)
        if number == value.key or not number.isdigit():
            continue
        try:
            holder = msgspec.json.decode(value.value, type=Holder)
        except msgspec.MsgspecError:
            continue
        groups[int(number)] = GroupKey(int(number), holder, value.revision, value.lease_id)
    return groups
