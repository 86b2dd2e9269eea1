"""Typer options generated from the settings fields, so that flags and documentation agree."""

from __future__ import annotations

import inspect
from collections.abc import Callable, Sequence
from typing import Annotated, Any

import typer

from kingcupusher._settings import SettingField

Command = Callable[..., None]


def _parameter(field: SettingField) -> inspect.Parameter:
    default = "" if field.default is None else f" Default: {field.default or 'empty'}."
    option = typer.Option(
        field.flag,
        envvar=field.variable,
        help=f"{field.help} Allowed: {field.allowed}.{default}",
        show_default=False,
    )
    return inspect.Parameter(
        field.name,
        inspect.Parameter.KEYWORD_ONLY,
        default=None,
        annotation=Annotated[str | None, option],
    )


def with_options(fields: Sequence[SettingField]) -> Callable[[Command], Command]:
    """Return a decorator that adds one option per field to a command, passed as a string."""

    def decorate(command: Command) -> Command:
        parameters = [_parameter(field) for field in fields]

        def wrapper(**raw: Any) -> None:
            command(**raw)

        wrapper.__name__ = command.__name__
        wrapper.__doc__ = command.__doc__
        wrapper.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
        wrapper.__annotations__ = {p.name: p.annotation for p in parameters}
        return wrapper

    return decorate
