"""Errors of service files and of the configuration document."""

from __future__ import annotations

from kingcupusher._core import KingcupusherError


class ConfigError(KingcupusherError):
    """Base of the errors of service files and of the configuration document."""


class FieldError(ConfigError):
    """Raised when a field has a value that is not allowed."""

    def __init__(self, *, source: str, field: str, value: object, allowed: str) -> None:
        super().__init__(f"{source}: {field}: {value!r} is not allowed; {allowed}")
        self.source = source
        self.field = field
        self.value = value
        self.allowed = allowed


class ServiceFileError(FieldError):
    """Raised when a service file cannot be accepted."""


class ServiceFilesError(ConfigError):
    """Raised when one or more of several service files cannot be accepted."""

    def __init__(self, problems: list[ServiceFileError]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


class MergeError(FieldError):
    """Raised when a valid service does not fit into the document in force."""


class DocumentError(ConfigError):
    """Raised when the stored document cannot be read."""
