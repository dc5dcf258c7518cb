"""Daemons: a list of service names each, and the loop that runs them."""

from __future__ import annotations

from lavenderrun.daemons._daemon import Daemon
from lavenderrun.daemons._lists import AGENT_ROLES, ENTRY_SERVICES, list_agent_services
from lavenderrun.daemons._loop import install_loop, open_log, run_until_signal

__all__ = [
    "AGENT_ROLES",
    "ENTRY_SERVICES",
    "Daemon",
    "install_loop",
    "list_agent_services",
    "open_log",
    "run_until_signal",
]
