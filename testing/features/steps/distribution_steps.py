"""Steps for the distribution file, which is built once for the feature."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import zipfile
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import given, then, when

from distribution.staging import ROOT
from standins.cluster import Cluster, Program
from standins.processes import ProcessGroup
from testing import process_table

# Ends a step that hangs; no scenario depends on the duration of a step.
STEP_TIMEOUT_S = 120.0
SITE_DIR = "site-packages/"


def _build(path, *, umask=-1):
    command = [sys.executable, "-m", "distribution", str(path)]
    result = subprocess.run(
        command, cwd=ROOT, umask=umask, timeout=STEP_TIMEOUT_S, capture_output=True, text=True
    )
    assert result.returncode == 0, result.stderr


def _environment(unpack_directory):
    # PATH leads to the interpreter and env only, not to the packages of this project.
    path = os.pathsep.join([str(Path(sys.base_prefix) / "bin"), "/usr/bin", "/bin"])
    return {"PATH": path, "SHIV_ROOT": str(unpack_directory)}


@given("the distribution file")
def given_file(context):
    feature = context.feature
    if not hasattr(feature, "built_directory"):
        directory = TemporaryDirectory(prefix="kingcupusher-dist-")
        context.add_cleanup(directory.cleanup, layer="feature")
        feature.built_directory = Path(directory.name)
        _build(feature.built_directory / "kingcupusher")
    context.built_directory = feature.built_directory
    context.file = feature.built_directory / "kingcupusher"
    context.environment = _environment(feature.built_directory / "unpacked")


@then("the file contains exactly these packages")
def then_packages(context):
    with zipfile.ZipFile(context.file) as archive:
        names = [n.removeprefix(SITE_DIR) for n in archive.namelist() if n.startswith(SITE_DIR)]
    top = {name.split("/")[0].removesuffix(".py") for name in names}
    packages = {name for name in top if not name.endswith(".dist-info")}
    expected = {row["package"] for row in context.table}
    assert packages == expected, packages ^ expected


@when("the file is built again under umask 077")
def when_built_again(context):
    context.second_build = context.built_directory / "again"
    _build(context.second_build, umask=0o077)


@then("both files are equal")
def then_equal(context):
    assert context.second_build.read_bytes() == context.file.read_bytes()


@when('the file runs "{command}"')
def when_file_runs(context, command):
    words = [path for word in command.split() for path in _expand_glob(word)]
    context.run = subprocess.run(
        [str(context.file), *words],
        env=context.environment,
        timeout=STEP_TIMEOUT_S,
        capture_output=True,
        text=True,
    )


def _expand_glob(word):
    return sorted(str(path) for path in ROOT.glob(word)) if "*" in word else [word]


@then('the file exits with status {status:d} and prints "{text}"')
def then_run(context, status, text):
    run = context.run
    assert run.returncode == status, (run.returncode, run.stderr)
    assert text in run.stdout, run.stdout


@given("a platform with the example files published, and one entry run from the file")
def given_entry(context):
    group = ProcessGroup().__enter__()
    context.add_cleanup(group.__exit__, None, None, None)
    program = Program((str(context.file),), context.environment)
    context.cluster = Cluster(group, zones=["a"], program=program, timeout_s=STEP_TIMEOUT_S)
    context.cluster.publish(sorted((ROOT / "examples").glob("*/*.toml")))
    # The entry must unpack the file itself, since the first start could compile in child processes.
    context.cluster.program = Program(program.command, _environment(group.directory / "unpacked"))
    context.cluster.start_entries(1)
    context.cluster.publish_vms()


@when("the entry is ready")
def when_ready(context):
    context.cluster.wait_for_entries()
    context.entry = context.cluster.entries[0]
    context.pid = context.entry.process.pid


@then("the started process listens on the caller address")
def then_listens(context):
    port = context.entry.caller_address.port
    assert process_table.listens_on(context.pid, port), f"{context.pid} lacks port {port}"


@then("the started process runs Python with the file")
def then_runs_python(context):
    words = process_table.command_line(context.pid)
    assert words[0].startswith("python3") and str(context.file) in words, words


@then("the started process has no child process and has had none")
def then_no_children(context):
    children = process_table.child_pids(context.pid)
    assert not children, f"children: {children}"
    assert not process_table.had_children(context.pid), "it had a child process"


@when("the started process gets SIGTERM")
def when_terminated(context):
    context.entry.process.send_signal(signal.SIGTERM)


@then("the started process exits with status {status:d}")
def then_status(context, status):
    assert context.entry.process.wait(timeout_s=STEP_TIMEOUT_S) == status
