"""The command ``trace``."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from kingcupusher._cli.exit_codes import ExitCode, fail

CONTEXT_BEFORE_S = 2.0
"""State changes this long before the first line of the request are printed as well."""
REQUEST_EVENTS = frozenset(
    {"choice", "wait", "wait refused", "hedge", "hedge held back", "send", "request"}
)

RequestIdArgument = Annotated[str, typer.Argument(help="Identifier of the request.")]
LogsArgument = Annotated[
    list[Path], typer.Argument(help="Logs of entries, one JSON object a line.")
]


def read_log_lines(files: list[Path]) -> list[dict[str, Any]]:
    """Return the log lines of ``files`` by time; skip text before an object, and other lines."""
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


def related_lines(request_id: str, lines: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the lines of one request, and the state changes of its entries around that time."""
    request_lines = [line for line in lines if line.get("id") == request_id]
    if not request_lines:
        return []
    entries = {line.get("entry") for line in request_lines}
    targets = {line.get("target") for line in request_lines} - {None}
    first_s, last_s = request_lines[0]["time"] - CONTEXT_BEFORE_S, request_lines[-1]["time"]

    def is_related(line: dict[str, Any]) -> bool:
        if line.get("id") == request_id:
            return True
        if line["event"] in REQUEST_EVENTS or not first_s <= line["time"] <= last_s:
            return False
        has_target = line.get("target") is not None
        return line.get("entry") in entries and (not has_target or line["target"] in targets)

    return [line for line in lines if is_related(line)]


def trace(request_id: RequestIdArgument, logs: LogsArgument) -> None:
    """Print the log lines of one request, and the state changes of its entries around that time.

    Example: kingcupusher trace 9c41d07be2a35f68 entry-1.log entry-2.log

    Exit codes: 0 lines were found; 1 none was found; 2 wrong usage.
    """
    missing = [str(log) for log in logs if not log.is_file()]
    if missing:
        fail(f"{missing[0]} is not a file", fix="pass the logs of entries", code=ExitCode.INVALID)
    found = related_lines(request_id, read_log_lines(logs))
    if not found:
        fail(
            f"no line about request {request_id} in {len(logs)} logs",
            fix="pass the logs of all entries at that time; excess lines are dropped",
            code=ExitCode.INVALID,
        )
    for line in found:
        typer.echo(_format_line(line, request_id))


def _format_line(line: dict[str, Any], request_id: str) -> str:
    marker = "*" if line.get("id") == request_id else " "
    fields = {k: v for k, v in line.items() if k not in ("time", "event", "entry", "zone", "id")}
    values = " ".join(f"{name}={value}" for name, value in fields.items())
    return f"{marker} {line['time']:.4f} {line.get('entry')} {line['event']}: {values}"
