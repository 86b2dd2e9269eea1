"""Expected rows of the tables in the documentation, generated from the code."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

from kingcupusher._config.model import NonIdempotentRule, RequestPolicy, Service, TargetLimits
from kingcupusher._config.problems import ALLOWED_BY_FIELD
from kingcupusher._settings import ENTRY_SETTINGS

UNIT_OF_SUFFIX = {"_ms": "ms", "_per_s": "1/s", "_bytes": "bytes", "_percent": "%"}
SERVICE_TABLES = {
    "": Service,
    "target": TargetLimits,
    "request": RequestPolicy,
    "non_idempotent": NonIdempotentRule,
}
TYPE_NAMES = {msgspec.inspect.IntType: "an integer", msgspec.inspect.FloatType: "a number"}


def table_rows(text: str, *, heading: str) -> list[list[str]]:
    """Return the cells of the first table below ``heading``, without its two header lines."""
    lines = text.split(f"\n{heading}\n", 1)[1].splitlines()
    start = next(i for i, line in enumerate(lines) if line.startswith("|"))
    rows = []
    for line in lines[start + 2 :]:
        if not line.startswith("|"):
            break
        rows.append([cell.strip() for cell in line.strip("|").split("|")])
    return rows


def setting_rows() -> list[list[str]]:
    """Return flag, variable, allowed values, default and help text of each entry setting."""
    return [
        [f"`{f.flag}`", f"`{f.variable}`", f.allowed, _setting_default(f.default), f.help]
        for f in ENTRY_SETTINGS
    ]


def service_field_rows(table: str) -> list[list[str]]:
    """Return name, unit, allowed values and default of each field of one service file table."""
    structure = SERVICE_TABLES[table]
    return [
        [f"`{f.name}`", _unit(f.name), _allowed(table, f), _service_default(f)]
        for f in msgspec.inspect.type_info(structure).fields
        if f.name not in SERVICE_TABLES
    ]


def _setting_default(default: str | None) -> str:
    if default is None:
        return "required"
    return f"`{default}`" if default else "empty"


def _unit(name: str) -> str:
    return next((u for suffix, u in UNIT_OF_SUFFIX.items() if name.endswith(suffix)), "-")


def _allowed(table: str, field: Any) -> str:
    text = ALLOWED_BY_FIELD.get(f"{table}.{field.name}".removeprefix("."))
    if text is not None:
        return text.removeprefix("use ")
    kinds = getattr(field.type, "types", (field.type,))
    kind = next(k for k in kinds if type(k) in TYPE_NAMES)
    return f"{TYPE_NAMES[type(kind)]} from {kind.ge:,g} to {_number(kind.le)}"


def _number(value: float) -> str:
    return f"{int(value):,}"


def _service_default(field: Any) -> str:
    if field.required:
        return "required"
    value = field.default
    if isinstance(value, Enum):
        return f"`{value.value}`"
    if value is None:
        return "not set"
    return f"`{value:_}`" if isinstance(value, int) else f"`{value}`"
