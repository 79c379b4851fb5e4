"""Core utilities that the other packages and the plug-ins build on."""

from typing import TYPE_CHECKING, Any

from cornelnotch.kernel.clock import Clock, ManualClock, SystemClock, create_clock
from cornelnotch.kernel.events import (
    Event,
    EventLog,
    create_event_log,
    set_up_logging,
)
from cornelnotch.kernel.hashing import hash_text, rank_owners, select_owner
from cornelnotch.kernel.registry import create_plugin, list_plugins, register_plugin
from cornelnotch.kernel.tasks import MailboxTask, TaskSupervisor

if TYPE_CHECKING:
    from cornelnotch.kernel.identifiers import create_identifier, parse_key_time

__all__ = [
    "Clock",
    "Event",
    "EventLog",
    "MailboxTask",
    "ManualClock",
    "SystemClock",
    "TaskSupervisor",
    "create_clock",
    "create_event_log",
    "create_identifier",
    "create_plugin",
    "hash_text",
    "list_plugins",
    "parse_key_time",
    "rank_owners",
    "register_plugin",
    "select_owner",
    "set_up_logging",
]


def __getattr__(name: str) -> Any:
    # Imported on first use because the module takes 4 MB of memory, and hosts on the
    # platform create no identifiers.
    if name in {"create_identifier", "parse_key_time"}:
        from cornelnotch.kernel import identifiers

        return getattr(identifiers, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
