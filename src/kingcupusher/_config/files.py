"""Loading of TOML service files."""

from __future__ import annotations

import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from kingcupusher._config.errors import ServiceFileError, ServiceFilesError
from kingcupusher._config.model import ConfigDocument, Service
from kingcupusher._config.problems import describe
from kingcupusher._config.rules import service_problem


def load_service_file(path: Path) -> Service:
    """Return the service described in ``path``; raise ServiceFileError if it is not valid."""
    raw = _read(path)
    try:
        service = msgspec.convert(raw, Service)
    except msgspec.ValidationError as error:
        problem = describe(error, raw)
    else:
        found = service_problem(service, ConfigDocument())
        if found is None:
            return service
        problem = found
    raise ServiceFileError(
        source=str(path), field=problem.field, value=problem.value, allowed=problem.allowed
    )


def load_service_files(paths: Iterable[Path]) -> list[Service]:
    """Return the services of several files; raise ServiceFilesError with every problem found."""
    services: dict[Path, Service] = {}
    problems: list[ServiceFileError] = []
    for path in dict.fromkeys(paths):
        try:
            services[path] = load_service_file(path)
        except ServiceFileError as error:
            problems.append(error)
    problems += _duplicates(services)
    if problems:
        raise ServiceFilesError(problems)
    return list(services.values())


def _read(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ServiceFileError(
            source=str(path),
            field="(file)",
            value=error.strerror,
            allowed="give the path of a readable TOML file",
        ) from None
    except ValueError as error:
        raise ServiceFileError(
            source=str(path), field="(syntax)", value=str(error), allowed="use valid TOML in UTF-8"
        ) from None


def _duplicates(services: dict[Path, Service]) -> list[ServiceFileError]:
    owners: dict[tuple[str, str], Path] = {}
    problems = []
    for path, service in services.items():
        for field, value in _unique_values(service):
            owner = owners.setdefault((field, value), path)
            if owner != path:
                problems.append(
                    ServiceFileError(
                        source=str(path),
                        field=field,
                        value=value,
                        allowed=f"{owner} already uses it and it must be unique",
                    )
                )
    return problems


def _unique_values(service: Service) -> list[tuple[str, str]]:
    return [("name", service.name), *(("hosts", host) for host in service.hosts)]
