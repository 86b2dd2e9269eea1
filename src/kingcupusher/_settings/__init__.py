"""Settings from flags and environment variables."""

from __future__ import annotations

from kingcupusher._settings.entry import ENTRY_SETTINGS, EntrySettings, parse_entry_settings
from kingcupusher._settings.errors import SettingsError
from kingcupusher._settings.fields import SettingField

__all__ = [
    "ENTRY_SETTINGS",
    "EntrySettings",
    "SettingField",
    "SettingsError",
    "parse_entry_settings",
]
