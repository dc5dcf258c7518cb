"""Daemons, each defined by the list of its services, and the loop that runs them."""

from ._daemon import Daemon
from ._gateway import GATEWAY_SERVICE_NAMES, GatewayDaemon, run_gateway
from ._loop import install_loop, open_log
from ._service_lists import AGENT_ROLES, ENTRY_SERVICES, list_agent_services
from ._signals import run_until_signal

__all__ = [
    "AGENT_ROLES",
    "ENTRY_SERVICES",
    "GATEWAY_SERVICE_NAMES",
    "Daemon",
    "GatewayDaemon",
    "install_loop",
    "list_agent_services",
    "open_log",
    "run_gateway",
    "run_until_signal",
]
