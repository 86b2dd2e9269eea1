"""Steps that compare the documentation with the code."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import msgspec
from behave import given, register_type, then

from kingcupusher._config import ConfigDocument, Service
from kingcupusher._config.rules import service_problem
from kingcupusher._observe.metrics_registry import HELP_TEXTS
from testing.documented_tables import service_field_rows, setting_rows, table_rows

ROOT = Path(__file__).resolve().parents[3]
TOML_BLOCK = re.compile(r"^```toml\n(.*?)^```$", re.DOTALL | re.MULTILINE)
METRIC = re.compile(r"`([a-z]+(?:_[a-z]+)+)`")
LINK = re.compile(r"\]\(([^)#]+)(?:#[^)]*)?\)")


def _text(value):
    return value


_text.pattern = r"[^\"]*"
register_type(Text=_text)


@given('the page "{page}"')
def given_page(context, page):
    context.path = ROOT / page
    context.page_text = context.path.read_text(encoding="utf-8")


@then("its table of settings equals the settings in the code")
def then_settings_agree(context):
    assert table_rows(context.page_text, heading="## Settings of an entry") == setting_rows()


@then('its table below "{heading}" equals the fields of "{table:Text}" in the code')
def then_fields_agree(context, heading, table):
    # The last column is the meaning, which the code does not contain.
    rows = [row[:-1] for row in table_rows(context.page_text, heading=heading)]
    assert rows == service_field_rows(table), (rows, service_field_rows(table))


@then("each service file in it is valid")
def then_files_valid(context):
    blocks = TOML_BLOCK.findall(context.page_text)
    assert blocks
    for block in blocks:
        service = msgspec.convert(tomllib.loads(block), Service)
        assert service_problem(service, ConfigDocument()) is None


@then("each of its links leads to an existing file")
def then_links_exist(context):
    links = [link for link in LINK.findall(context.page_text) if "://" not in link]
    missing = [link for link in links if not (context.path.parent / link).exists()]
    assert not missing, missing


@then('the metrics below "{heading}" are those that have a help text in the code')
def then_metrics_agree(context, heading):
    section = re.split(r"^### ", context.page_text.partition(heading)[2], flags=re.MULTILINE)[0]
    # Names of a single word are left out, as they may also be values of a label.
    named = set(METRIC.findall(section))
    described = {name for name in HELP_TEXTS if "_" in name}
    assert named == described, named ^ described
