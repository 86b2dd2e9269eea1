"""Writes service files for one scenario."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory

TOP_LEVEL = ("team", "hosts", "priority", "non_idempotent")


def write_file(context, file, name, line, *, team="team"):
    """Write a service file in which ``line`` replaces or adds a field."""
    if not hasattr(context, "directory"):
        directory = TemporaryDirectory()
        context.add_cleanup(directory.cleanup)
        context.directory = Path(directory.name)
        context.files = []
    top = {"name": f'name = "{name}"', "team": f'team = "{team}"'}
    top["hosts"] = f'hosts = ["{name}.example"]'
    field = line.split(" ")[0]
    if field in TOP_LEVEL:
        top[field] = line
        line = ""
    path = context.directory / file
    path.write_text("\n".join([*filter(None, top.values()), "[target]", line]))
    if path not in context.files:
        context.files.append(path)
