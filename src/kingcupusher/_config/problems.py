"""Translation of msgspec's validation errors into field, offending value and allowed values."""

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

# The library gives the place only as text, for example "... - at `$.hosts[0]`".
PLACE = re.compile(r"(?P<reason>.*?)(?: - at `\$(?P<place>.*)`)?", re.DOTALL)
STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+|\.\.\.)\]")
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


def describe(error: msgspec.ValidationError, raw: dict[str, Any]) -> Problem:
    """Return the problem that ``error`` reports about ``raw``."""
    found = PLACE.fullmatch(str(error))
    assert found is not None
    reason = found["reason"]
    steps = [name or index for name, index in STEP.findall(found["place"] or "")]
    named = FIELD_IN_REASON.search(reason)
    if named:
        return _field_set_problem(reason, named["field"], steps)
    field = _dotted(steps)
    return Problem(field, repr(_value_at(raw, steps)), ALLOWED_BY_FIELD.get(field, reason.lower()))


def _field_set_problem(reason: str, name: str, steps: list[str]) -> Problem:
    """Describe a field that is unknown or missing in its table."""
    table = _dotted(steps)
    field = f"{table}.{name}".removeprefix(".")
    if "missing" in reason:
        return Problem(field, "nothing", ALLOWED_BY_FIELD.get(field, "this field is required"))
    known = list(TABLES[table].__struct_fields__)
    close = get_close_matches(name, known, 1)
    hint = f"did you mean {close[0]}? " if close else ""
    return Problem(field, "an unknown field", f"{hint}known fields are: {', '.join(known)}")


def _dotted(steps: list[str]) -> str:
    return ".".join(step for step in steps if not step.isdigit() and step != "...")


def _value_at(raw: Any, steps: list[str]) -> object:
    for step in steps:
        if step == "...":
            return raw
        raw = raw[int(step)] if step.isdigit() else raw[step]
    return raw
