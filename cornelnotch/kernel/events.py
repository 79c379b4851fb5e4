"""Number every log event and write events as text or JSON lines."""

import logging
import sys
from enum import Enum
from typing import Any, TextIO

import orjson

__all__ = [
    "Event",
    "EventLog",
    "create_event_log",
    "create_formatter",
    "create_record",
    "set_up_logging",
]


class Event(Enum):
    """Number, level and meaning of each event."""

    HOST_STARTED = (1001, logging.INFO, "the host listens")
    HOST_READY = (1002, logging.INFO, "a configuration is in force")
    HOST_LEAVING = (1003, logging.INFO, "the host takes no new callers")
    HOST_STOPPED = (1004, logging.INFO, "the host has ended every stream")
    TASK_FAILED = (1101, logging.ERROR, "a task failed and was contained")
    LOG_LINES_DROPPED = (
        1102,
        logging.WARNING,
        "lines were dropped, as nobody read them in time",
    )
    CONFIGURATION_APPLIED = (2001, logging.INFO, "a newer configuration is in force")
    CONFIGURATION_REJECTED = (2002, logging.WARNING, "a record was rejected")
    CONFIGURATION_BOOTSTRAPPED = (
        2003,
        logging.INFO,
        "the configuration came from another host",
    )
    SNAPSHOT_WRITTEN = (2004, logging.INFO, "a configuration snapshot was appended")
    LOG_UNAVAILABLE = (2101, logging.WARNING, "the log service does not answer")
    LOG_TIMELINE_ENTERED = (
        2103,
        logging.WARNING,
        "the store was restored from an older copy",
    )
    LOG_TIMELINE_UNNAMED = (
        2104,
        logging.WARNING,
        "an answer of the store names no timeline that can be read",
    )
    LOG_RECOVERED = (2102, logging.INFO, "the log service answers again")
    MEMBER_CHANGED = (3001, logging.INFO, "a host changed its membership state")
    SERVER_LEAVING = (3002, logging.INFO, "a server takes no new work")
    HOST_REFUSING = (3003, logging.WARNING, "the host takes no work")
    HOST_SERVING = (3004, logging.INFO, "the host takes work again")
    PEER_MESSAGE_REFUSED = (3101, logging.WARNING, "a peer sent a malformed message")
    SERVER_EJECTED = (4001, logging.WARNING, "a server failed and rests")
    SERVER_SLOW = (4002, logging.WARNING, "a server is slower than its shard")
    STREAM_RESUMED = (4003, logging.WARNING, "a broken stream went on elsewhere")
    ANSWER_MISMATCHED = (4004, logging.ERROR, "an answer belonged to another request")
    ENGINE_PACE_TOLD = (4005, logging.INFO, "an engine's estimated pace changed")
    CLAIM_UNSETTLED = (5001, logging.WARNING, "a claim could not be read back")
    CLAIM_RELEASE_DELAYED = (5002, logging.WARNING, "a release waits for the log")
    SERVER_LISTED = (3005, logging.INFO, "the platform's list of servers changed")
    SERVER_SAID_LEAVING = (3006, logging.INFO, "a server said that it leaves")
    SERVER_SILENT = (
        4006,
        logging.WARNING,
        "a server with running streams fell silent",
    )
    SERVER_RESTS = (3007, logging.INFO, "a server wants nothing from this host")
    SERVER_REST_MALFORMED = (
        3008,
        logging.WARNING,
        "a server asked for a rest that is no time",
    )
    REQUEST_REFUSED = (6001, logging.INFO, "a request was refused")
    REQUEST_MALFORMED = (6002, logging.DEBUG, "a request was malformed")
    REQUEST_ROUTED = (6003, logging.INFO, "a request was mapped to a service")
    SERVER_CHOSEN = (6004, logging.INFO, "a server was chosen for a request")
    DISPATCH_FAILED = (6005, logging.INFO, "a server did not answer a request")
    REQUEST_ANSWERED = (6006, logging.INFO, "a request has its whole answer")
    REQUEST_BROKEN_OFF = (6007, logging.INFO, "an answer was broken off")
    TURN_CAME = (6009, logging.INFO, "a request may be sent to its engine, or not")
    CALLER_LEFT = (6008, logging.INFO, "a caller left before its answer")

    def __init__(self, number: int, level: int, meaning: str) -> None:
        self.number = number
        self.level = level
        self.meaning = meaning


class EventLog:
    """Write events under the name of one process."""

    def __init__(self, source: str) -> None:
        self._logger = logging.getLogger(f"cornelnotch.{source}")
        self._source = source

    def record(self, event: Event, **fields: Any) -> None:
        """Write `event` with its fields."""
        if not self._logger.isEnabledFor(event.level):
            return
        self._logger.log(
            event.level,
            event.meaning,
            extra={"event": event, "source": self._source, "fields": fields},
        )


class TextFormatter(logging.Formatter):
    """Write one event as a line of text."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
        event = getattr(record, "event", None)
        if event is None:
            return super().format(record)
        fields = " ".join(f"{k}={v}" for k, v in record.__dict__["fields"].items())
        stamp = self.formatTime(record)
        source = record.__dict__["source"]
        line = f"{stamp} {record.levelname} {event.number} {source}: {event.meaning}"
        return f"{line} {fields}".rstrip()


class JsonFormatter(logging.Formatter):
    """Write one event as a line of JSON."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
        event = getattr(record, "event", None)
        content = {
            "time_ms": int(record.created * 1000),
            "level": record.levelname,
            "event": event.number if event else 0,
            "name": event.name if event else record.name,
            "source": record.__dict__.get("source", record.name),
            "message": record.getMessage(),
            "fields": record.__dict__.get("fields", {}),
        }
        return orjson.dumps(content, default=str).decode()


def create_record(
    event: Event, source: str, fields: dict[str, Any]
) -> logging.LogRecord:
    """Return the log record of an event that no logger has to pass on."""
    name = f"cornelnotch.{source}"
    record = logging.LogRecord(name, event.level, "", 0, event.meaning, None, None)
    record.event = event
    record.source = source
    record.fields = fields
    return record


def create_formatter(style: str) -> logging.Formatter:
    """Return the formatter of lines of `text` or `json`."""
    return JsonFormatter() if style == "json" else TextFormatter()


def create_event_log(source: str) -> EventLog:
    """Return the event log of one process."""
    return EventLog(source)


def set_up_logging(
    style: str = "text", level: str = "INFO", stream: TextIO | None = None
) -> None:
    """Send the events to `stream`, by default standard error, as `text` or `json`."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(create_formatter(style))
    logger = logging.getLogger("cornelnotch")
    logger.handlers[:] = [handler]
    logger.setLevel(level)
    logger.propagate = False
