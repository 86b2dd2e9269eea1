"""Loading of TOML service files."""

from __future__ import annotations

import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from kingcupusher._config.errors import Problem, ServiceFileError, ServiceFilesError
from kingcupusher._config.model import ConfigDocument, Service
from kingcupusher._config.problems import problem_from
from kingcupusher._config.rules import service_problem


class ServiceFile(Struct, frozen=True):
    """A valid service and the path of its file."""

    path: Path
    service: Service


def load_service_file(path: Path) -> Service:
    """Return the service described in ``path``; raise ServiceFileError if it is not valid."""
    raw = _read_toml(path)
    try:
        service = msgspec.convert(raw, Service)
    except msgspec.ValidationError as error:
        raise ServiceFileError(str(path), problem_from(error, raw)) from None
    problem = service_problem(service, ConfigDocument())
    if problem:
        raise ServiceFileError(str(path), problem)
    return service


def load_service_files(paths: Iterable[Path]) -> list[ServiceFile]:
    """Return the services of several files; raise ServiceFilesError with every problem found."""
    files: list[ServiceFile] = []
    problems: list[ServiceFileError] = []
    for path in dict.fromkeys(paths):
        try:
            files.append(ServiceFile(path, load_service_file(path)))
        except ServiceFileError as error:
            problems.append(error)
    problems += _duplicate_problems(files)
    if problems:
        raise ServiceFilesError(problems)
    return files


def _read_toml(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        problem = Problem("(file)", str(error.strerror), "give the path of a readable TOML file")
    except ValueError as error:
        problem = Problem("(syntax)", f"an error: {error}", "use valid TOML in UTF-8")
    raise ServiceFileError(str(path), problem)


def _duplicate_problems(files: list[ServiceFile]) -> list[ServiceFileError]:
    path_by_value: dict[tuple[str, str], Path] = {}
    problems = []
    for file in files:
        for field, value in _unique_values(file.service):
            first_path = path_by_value.setdefault((field, value), file.path)
            if first_path != file.path:
                problem = Problem(
                    field, repr(value), f"{first_path} already uses it; choose another"
                )
                problems.append(ServiceFileError(str(file.path), problem))
    return problems


def _unique_values(service: Service) -> list[tuple[str, str]]:
    return [("name", service.name), *(("hosts", host) for host in service.hosts)]
