"""Steps for the commands, which run in this process against the platform stand-in."""

from __future__ import annotations

from behave import given, then, when
from typer.testing import CliRunner

from kingcupusher._cli.main import app
from testing.platform_process import start_platform
from testing.service_file_writer import write_service_file

VMS = [("lookups", "north"), ("lookups", "south"), ("exports", "south")]


@given('a running platform with VMs of "lookups" in north and south and of "exports" in south')
def given_platform_with_vms(context):
    start_platform(context)
    vms = [
        {"vm_id": f"vm-{n}", "zone": zone, "service": service, "address": f"127.0.0.1:{n + 1}"}
        for n, (service, zone) in enumerate(VMS)
    ]
    context.platform.control("PUT", "/vms", vms)


@given('the file "{file}" now belongs to team "{team}"')
def given_other_team(context, file, team):
    write_service_file(context, file, file.removesuffix(".toml"), "", team=team)


@given('the command "{command}"')
@when('the command "{command}" runs')
def when_command_runs(context, command):
    arguments = [
        str(context.directory / word) if word.endswith(".toml") else word
        for word in command.split()
    ]
    environment = {"KINGCUPUSHER_PLATFORM": str(context.platform.address)}
    context.command_result = CliRunner().invoke(app, arguments, env=environment)


@then("it exits with code {code:d}")
def then_exit_code(context, code):
    assert context.command_result.exit_code == code, (
        context.command_result.exit_code,
        context.command_result.output,
    )


@then('it prints "{text}"')
def then_prints(context, text):
    assert text in context.command_result.output, context.command_result.output
