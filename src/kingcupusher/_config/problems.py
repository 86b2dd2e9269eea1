"""Converts validation errors of msgspec into field, invalid value and allowed values."""

from __future__ import annotations

import re
from difflib import get_close_matches
from typing import Any

import msgspec
from msgspec import Struct

from kingcupusher._config.errors import Problem
from kingcupusher._config.model import (
    NonIdempotentRule,
    Priority,
    RequestPolicy,
    Service,
    TargetLimits,
)

# msgspec gives the path of the field only in the message, for example "... - at `$.hosts[0]`".
ERROR_TEXT = re.compile(r"(?P<reason>.*?)(?: - at `\$(?P<place>.*)`)?", re.DOTALL)
PATH_SEGMENT = re.compile(r"\.([^.\[\]]+)|\[(\d+|\.\.\.)\]")
FIELD_IN_REASON = re.compile(r"field `(?P<field>[^`]+)`")

TABLES: dict[str, type[Struct]] = {
    "": Service,
    "target": TargetLimits,
    "request": RequestPolicy,
    "non_idempotent": NonIdempotentRule,
}
ALLOWED_BY_FIELD = {
    "name": "use 1 to 63 lower-case letters, digits and hyphens, starting with a letter",
    "team": "use 1 to 63 lower-case letters, digits and hyphens, starting with a letter",
    "hosts": "use at least one host name in lower case, without port or path",
    "priority": "use one of: " + ", ".join(priority.value for priority in Priority),
    "non_idempotent.method": "use an HTTP method in upper case, such as POST",
    "non_idempotent.path": "use a path prefix that starts with /",
}


def problem_from(error: msgspec.ValidationError, raw: dict[str, Any]) -> Problem:
    """Return the problem that ``error`` reports about ``raw``."""
    match = ERROR_TEXT.fullmatch(str(error))
    assert match is not None
    reason = match["reason"]
    segments = [name or index for name, index in PATH_SEGMENT.findall(match["place"] or "")]
    field_match = FIELD_IN_REASON.search(reason)
    if field_match:
        return _missing_or_unknown_field(reason, field_match["field"], segments)
    field = _field_name(segments)
    return Problem(
        field, repr(_value_at(raw, segments)), ALLOWED_BY_FIELD.get(field, reason.lower())
    )


def _missing_or_unknown_field(reason: str, name: str, segments: list[str]) -> Problem:
    """Return the problem of a field that its table lacks or does not allow."""
    table = _field_name(segments)
    field = f"{table}.{name}".removeprefix(".")
    if "missing" in reason:
        return Problem(field, "nothing", ALLOWED_BY_FIELD.get(field, "this field is required"))
    known = list(TABLES[table].__struct_fields__)
    matches = get_close_matches(name, known, 1)
    hint = f"did you mean {matches[0]}? " if matches else ""
    return Problem(field, "an unknown field", f"{hint}known fields are: {', '.join(known)}")


def _field_name(segments: list[str]) -> str:
    return ".".join(segment for segment in segments if not segment.isdigit() and segment != "...")


def _value_at(raw: Any, segments: list[str]) -> object:
    for segment in segments:
        if segment == "...":
            return raw
        raw = raw[int(segment)] if segment.isdigit() else raw[segment]
    return raw
