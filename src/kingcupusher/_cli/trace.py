"""The command ``trace``."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from kingcupusher._cli.exits import ExitCode, fail

NEARBY_S = 2.0
"""Changes of what an entry believed this long before the request's first line are shown too."""
REQUEST_EVENTS = frozenset({"choice", "wait", "send", "request"})

RequestIdArgument = Annotated[str, typer.Argument(help="Identifier of the request.")]
LogsArgument = Annotated[
    list[Path], typer.Argument(help="Logs of entries, one JSON object a line.")
]


def read_lines(files: list[Path]) -> list[dict[str, Any]]:
    """Return the log lines of ``files`` by time; text before an object and other lines are left."""
    lines = []
    for file in files:
        for text in file.read_text(encoding="utf-8", errors="replace").splitlines():
            start = text.find("{")
            if start < 0:
                continue
            try:
                line = msgspec.json.decode(text[start:])
            except msgspec.DecodeError:
                continue
            if isinstance(line, dict) and isinstance(line.get("time"), float) and "event" in line:
                lines.append(line)
    return sorted(lines, key=lambda line: line["time"])


def lines_of(request_id: str, lines: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the lines of one request, and what its entries came to believe shortly before."""
    own = [line for line in lines if line.get("id") == request_id]
    if not own:
        return []
    entries = {line.get("entry") for line in own}
    targets = {line.get("target") for line in own} - {None}
    first_s, last_s = own[0]["time"] - NEARBY_S, own[-1]["time"]

    def is_related(line: dict[str, Any]) -> bool:
        if line.get("id") == request_id:
            return True
        if line["event"] in REQUEST_EVENTS or not first_s <= line["time"] <= last_s:
            return False
        names_target = line.get("target") is not None
        return line.get("entry") in entries and (not names_target or line["target"] in targets)

    return [line for line in lines if is_related(line)]


def trace(request_id: RequestIdArgument, logs: LogsArgument) -> None:
    """Print what the entries decided about one request, and what they believed then.

    Example: kingcupusher trace 9c41d07be2a35f68 entry-1.log entry-2.log

    Exit codes: 0 lines were found; 1 none was found; 2 wrong usage.
    """
    missing = [str(log) for log in logs if not log.is_file()]
    if missing:
        fail(f"{missing[0]} is not a file", fix="name the logs of entries", code=ExitCode.INVALID)
    found = lines_of(request_id, read_lines(logs))
    if not found:
        fail(
            f"no line about request {request_id} in {len(logs)} logs",
            fix="name the logs of all entries for that time; lines may have been left out",
            code=ExitCode.INVALID,
        )
    for line in found:
        typer.echo(_shown(line, request_id))


def _shown(line: dict[str, Any], request_id: str) -> str:
    mark = "*" if line.get("id") == request_id else " "
    fields = {k: v for k, v in line.items() if k not in ("time", "event", "entry", "zone", "id")}
    values = " ".join(f"{name}={value}" for name, value in fields.items())
    return f"{mark} {line['time']:.4f} {line.get('entry')} {line['event']}: {values}"
