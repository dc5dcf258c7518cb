"""Adapter for the users' platform: its settings, store, callers and backend servers."""

from __future__ import annotations

from lavenderrun.platform import _backends as _backends
from lavenderrun.platform import _callers as _callers
from lavenderrun.platform import _store as _store
from lavenderrun.platform._settings import SettingsError, read_platform_settings

__all__ = ["SettingsError", "read_platform_settings"]
