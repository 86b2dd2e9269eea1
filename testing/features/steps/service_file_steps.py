"""Steps for validating service files."""

from __future__ import annotations

from pathlib import Path

from behave import given, then, when

from kingcupusher._config import ServiceFilesError, load_service_files
from testing.service_file_writer import write_service_file

EXAMPLES = Path("examples")


def check_files(context, paths):
    context.error = ""
    try:
        load_service_files(paths)
    except ServiceFilesError as error:
        context.error = str(error)


@given('the file "{file}" of service "{name}" with {line}')
def given_file(context, file, name, line):
    write_service_file(context, file, name, line)


@given('the file "{file}" of service "{name}" without team')
def given_file_without_team(context, file, name):
    write_service_file(context, file, name, "")
    path = context.files[-1]
    path.write_text(path.read_text().replace('team = "team"', ""))


@when("the files are checked")
def when_checked(context):
    check_files(context, context.files)


@when('the files "{name}" are checked')
def when_named_checked(context, name):
    check_files(context, [Path(name)])


@when("the example files are checked")
def when_examples_checked(context):
    paths = sorted(EXAMPLES.glob("*/*.toml"))
    assert len(paths) == 6
    check_files(context, paths)


@then('the error reads "{text}"')
def then_error_reads(context, text):
    assert text in context.error, context.error


@then("there is no error")
def then_no_error(context):
    assert not context.error, context.error
