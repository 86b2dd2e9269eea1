"""Settings fields: flag, environment variable, parser and allowed values of each."""

from __future__ import annotations

import re
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Any

from kingcupusher._core.address import Address, AddressError

VARIABLE_PREFIX = "KINGCUPUSHER_"

Parser = Callable[[str], Any]


@dataclass(slots=True, frozen=True, kw_only=True)
class SettingField:
    """One setting; ``default`` is None if the setting is required."""

    name: str
    allowed: str
    parse: Parser
    help: str
    default: str | None = None

    @property
    def flag(self) -> str:
        """Name of the command-line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return VARIABLE_PREFIX + self.name.upper()


def parse_address(text: str) -> Address:
    """Parse ``IP:PORT``; raise ValueError if ``text`` is not an address."""
    try:
        return Address.parse(text)
    except AddressError as error:
        raise ValueError(str(error)) from error


def matching_pattern(pattern: str) -> Parser:
    """Return a parser that accepts strings that ``pattern`` matches completely."""
    expression = re.compile(pattern)

    def parse(text: str) -> str:
        if not expression.fullmatch(text):
            raise ValueError(text)
        return text

    return parse


def one_of(names: Collection[str]) -> Parser:
    """Return a parser that accepts one of ``names``."""

    def parse(text: str) -> str:
        if text not in names:
            raise ValueError(text)
        return text

    return parse


def integer_between(low: int, high: int) -> Parser:
    """Return a parser that accepts an integer from ``low`` to ``high``."""

    def parse(text: str) -> int:
        number = int(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return parse


def number_between(low: float, high: float) -> Parser:
    """Return a parser that accepts a number from ``low`` to ``high``."""

    def parse(text: str) -> float:
        number = float(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return parse
