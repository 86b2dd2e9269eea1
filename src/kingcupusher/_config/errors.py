"""Errors of service files and of the configuration document."""

from __future__ import annotations

from msgspec import Struct

from kingcupusher._core import KingcupusherError


class ConfigError(KingcupusherError):
    """Base of the errors of service files and of the configuration document."""


class Problem(Struct, frozen=True):
    """A field with the value that was found and a description of the allowed values."""

    field: str
    found: str
    allowed: str


class FieldError(ConfigError):
    """Raised when a field has a value that is not allowed.

    ``source`` is the file, or the service if the file is not known.
    """

    def __init__(self, source: str, problem: Problem) -> None:
        super().__init__(f"{source}: {problem.field}: found {problem.found}; {problem.allowed}")
        self.source = source
        self.problem = problem


class ServiceFileError(FieldError):
    """Raised when a service file cannot be accepted."""


class ServiceFilesError(ConfigError):
    """Raised when one or more of several service files cannot be accepted."""

    def __init__(self, problems: list[ServiceFileError]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


class MergeError(FieldError):
    """Raised when a valid service conflicts with the rest of the stored document."""

    def __init__(self, service: str, problem: Problem) -> None:
        super().__init__(f"service {service}", problem)
        self.service = service


class DocumentError(ConfigError):
    """Raised when the stored document cannot be read."""
