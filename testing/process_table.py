"""Reads parents, command lines and sockets of processes from /proc."""

from __future__ import annotations

import os
from pathlib import Path

PROC = Path("/proc")
LISTEN_STATE = "0A"
# Indexes of fields of /proc/PID/stat after the command name, which may contain spaces.
PARENT_PID_FIELD = 1
CHILD_MINOR_FAULTS_FIELD = 8


def read_stat_fields(pid):
    """Return the fields of /proc/PID/stat after the command name."""
    return (PROC / str(pid) / "stat").read_text(encoding="utf-8").rpartition(")")[2].split()


def child_pids(pid):
    """Return the process ids of all children."""
    return [child for child in _process_ids() if _parent_pid(child) == pid]


def had_children(pid):
    """Return whether the process has reaped a child, since every child causes page faults."""
    return int(read_stat_fields(pid)[CHILD_MINOR_FAULTS_FIELD]) > 0


def command_line(pid):
    """Return the arguments of the command line."""
    return (PROC / str(pid) / "cmdline").read_text(encoding="utf-8").split("\0")[:-1]


def handles_signal(pid, signal_number):
    """Return whether the process has a handler for the signal; a process that ended has none."""
    try:
        status = (PROC / str(pid) / "status").read_text(encoding="utf-8")
    except (FileNotFoundError, ProcessLookupError):
        return False
    (mask,) = [line.split()[1] for line in status.splitlines() if line.startswith("SigCgt:")]
    return bool(int(mask, 16) >> (signal_number - 1) & 1)


def listens_on(pid, port):
    """Return whether the process has a descriptor of the IPv4 socket listening on ``port``."""
    descriptors = {_link_target(path) for path in (PROC / str(pid) / "fd").iterdir()}
    return any(f"socket:[{inode}]" in descriptors for inode in _listening_inodes(port))


def _process_ids():
    return [int(path.name) for path in PROC.iterdir() if path.name.isdigit()]


def _parent_pid(pid):
    try:
        return int(read_stat_fields(pid)[PARENT_PID_FIELD])
    except (FileNotFoundError, ProcessLookupError):
        return None


def _link_target(path):
    try:
        return os.readlink(path)
    except FileNotFoundError:
        return None


def _listening_inodes(port):
    for line in (PROC / "net" / "tcp").read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        if fields[3] == LISTEN_STATE and int(fields[1].rpartition(":")[2], 16) == port:
            yield fields[9]
