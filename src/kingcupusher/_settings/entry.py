"""Settings of the entry process."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from kingcupusher._core.address import Address
from kingcupusher._routing import DEFAULT_POLICY, POLICIES
from kingcupusher._settings.errors import SettingsError
from kingcupusher._settings.fields import (
    SettingField,
    integer_between,
    matching_pattern,
    number_between,
    one_of,
    parse_address,
)

NAME_PATTERN = r"[a-z0-9][a-z0-9-]{0,62}"
NAME_ALLOWED = "lower-case letters, digits and hyphens, at most 63"
ADDRESS_ALLOWED = "IP:PORT, or [IPV6]:PORT"
LOG_LEVELS = ("debug", "info", "warning", "error")
MAX_DRAIN_TIMEOUT_MS = 3_600_000
MAX_SEED = 2**32 - 1

ENTRY_SETTINGS: tuple[SettingField, ...] = (
    SettingField(
        name="vm_id",
        allowed=NAME_ALLOWED,
        parse=matching_pattern(NAME_PATTERN),
        help="Identifier of this VM.",
    ),
    SettingField(
        name="zone",
        allowed=NAME_ALLOWED,
        parse=matching_pattern(NAME_PATTERN),
        help="Availability zone of this VM.",
    ),
    SettingField(
        name="caller_address",
        allowed=ADDRESS_ALLOWED,
        parse=parse_address,
        help="Address on which callers are served.",
    ),
    SettingField(
        name="peer_address",
        allowed=ADDRESS_ALLOWED,
        parse=parse_address,
        help="Address on which other entries connect.",
    ),
    SettingField(
        name="admin_address",
        allowed=ADDRESS_ALLOWED,
        parse=parse_address,
        help="Address of the administration interface.",
    ),
    SettingField(
        name="platform",
        allowed=ADDRESS_ALLOWED,
        parse=parse_address,
        help="Address of the platform's key-value service and VM list.",
    ),
    SettingField(
        name="admin_token",
        allowed="at least 16 visible ASCII characters, or empty to refuse writes",
        parse=matching_pattern(r"|[!-~]{16,}"),
        default="",
        help="Bearer token that writes to the administration interface must carry.",
    ),
    SettingField(
        name="policy",
        allowed="one of: " + ", ".join(sorted(POLICIES)),
        parse=one_of(tuple(POLICIES)),
        default=DEFAULT_POLICY,
        help="Routing policy.",
    ),
    SettingField(
        name="drain_timeout_ms",
        allowed=f"an integer from 0 to {MAX_DRAIN_TIMEOUT_MS}",
        parse=integer_between(0, MAX_DRAIN_TIMEOUT_MS),
        default="30000",
        help="Longest wait for requests in flight at shutdown.",
    ),
    SettingField(
        name="log_level",
        allowed="one of: " + ", ".join(LOG_LEVELS),
        parse=one_of(LOG_LEVELS),
        default="info",
        help="Least severe level that is logged.",
    ),
    SettingField(
        name="trace_sample_percent",
        allowed="a number from 0 to 100",
        parse=number_between(0.0, 100.0),
        default="0",
        help="Share of requests without a trace context that are traced; above 0, "
        "a request with one follows its sampled flag.",
    ),
    SettingField(
        name="seed",
        allowed=f"an integer from 0 to {MAX_SEED}",
        parse=integer_between(0, MAX_SEED),
        default="0",
        help="Seed of the routing random source; 0 takes one from the operating system.",
    ),
)


@dataclass(slots=True, frozen=True, kw_only=True)
class EntrySettings:
    """Validated settings of one entry process."""

    vm_id: str
    zone: str
    caller_address: Address
    peer_address: Address
    admin_address: Address
    platform: Address
    admin_token: str
    policy: str
    drain_timeout_ms: int
    log_level: str
    trace_sample_percent: float
    seed: int


def parse_entry_settings(raw: Mapping[str, str | None]) -> EntrySettings:
    """Parse all settings; raise one :class:`SettingsError` that lists every invalid one."""
    values = {}
    problems = []
    for field in ENTRY_SETTINGS:
        text = raw.get(field.name)
        text = field.default if text is None else text
        if text is None:
            problems.append(f"{field.flag} ({field.variable}) is missing; use {field.allowed}")
            continue
        try:
            values[field.name] = field.parse(text)
        except ValueError:
            shown_value = "(hidden)" if field.name == "admin_token" else repr(text)
            problems.append(
                f"{field.flag} ({field.variable}) is {shown_value}; use {field.allowed}"
            )
    if problems:
        raise SettingsError(problems)
    return EntrySettings(**values)
