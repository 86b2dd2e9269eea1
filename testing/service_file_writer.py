"""Writes service files to a temporary directory for one scenario."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory

TOP_LEVEL_FIELDS = ("team", "hosts", "priority", "non_idempotent")


def write_service_file(context, file, name, line, *, team="team"):
    """Write a service file; ``line`` replaces a default field or adds one."""
    if not hasattr(context, "directory"):
        directory = TemporaryDirectory()
        context.add_cleanup(directory.cleanup)
        context.directory = Path(directory.name)
        context.files = []
    top_level_lines = {"name": f'name = "{name}"', "team": f'team = "{team}"'}
    top_level_lines["hosts"] = f'hosts = ["{name}.example"]'
    field = line.split(" ")[0]
    if field in TOP_LEVEL_FIELDS:
        top_level_lines[field] = line
        line = ""
    path = context.directory / file
    path.write_text("\n".join([*filter(None, top_level_lines.values()), "[target]", line]))
    if path not in context.files:
        context.files.append(path)
