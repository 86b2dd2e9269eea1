"""Reads what /proc shows of a process."""

from __future__ import annotations

import os
from pathlib import Path

PROC = Path("/proc")
LISTEN = "0A"
# Fields of /proc/PID/stat after the command name, which is in parentheses and may hold spaces.
PARENT = 1
CHILD_MINOR_FAULTS = 8


def stat_fields(pid):
    """Return the fields of a process after its name."""
    return (PROC / str(pid) / "stat").read_text(encoding="utf-8").rpartition(")")[2].split()


def children(pid):
    """Return the process ids of all children."""
    return [number for number in _process_ids() if _parent(number) == pid]


def had_children(pid):
    """Return whether the process has waited for a child; every child causes page faults."""
    return int(stat_fields(pid)[CHILD_MINOR_FAULTS]) > 0


def command_line(pid):
    """Return the words of the command line."""
    return (PROC / str(pid) / "cmdline").read_text(encoding="utf-8").split("\0")[:-1]


def listens(pid, port):
    """Return whether the process itself holds the listening IPv4 socket of ``port``."""
    held = {_link(entry) for entry in (PROC / str(pid) / "fd").iterdir()}
    return any(f"socket:[{inode}]" in held for inode in _listening_inodes(port))


def _process_ids():
    return [int(entry.name) for entry in PROC.iterdir() if entry.name.isdigit()]


def _parent(pid):
    try:
        return int(stat_fields(pid)[PARENT])
    except (FileNotFoundError, ProcessLookupError):
        return None


def _link(entry):
    try:
        return os.readlink(entry)
    except FileNotFoundError:
        return None


def _listening_inodes(port):
    for line in (PROC / "net" / "tcp").read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        if fields[3] == LISTEN and int(fields[1].rpartition(":")[2], 16) == port:
            yield fields[9]
