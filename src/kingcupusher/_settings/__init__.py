"""Settings from flags and environment variables."""

from __future__ import annotations

from kingcupusher._settings.entry import ENTRY_FIELDS, EntrySettings, parse_entry_settings
from kingcupusher._settings.errors import SettingsError
from kingcupusher._settings.fields import Field

__all__ = ["ENTRY_FIELDS", "EntrySettings", "Field", "SettingsError", "parse_entry_settings"]
