"""Daemons: a list of service names each, and the loop that runs them."""

from ._daemon import Daemon
from ._gateway import GATEWAY_LIST, GatewayDaemon, run_gateway
from ._lists import AGENT_ROLES, ENTRY_SERVICES, list_agent_services
from ._loop import install_loop, open_log
from ._signals import run_until_signal

__all__ = [
    "AGENT_ROLES",
    "ENTRY_SERVICES",
    "GATEWAY_LIST",
    "Daemon",
    "GatewayDaemon",
    "install_loop",
    "list_agent_services",
    "open_log",
    "run_gateway",
    "run_until_signal",
]
