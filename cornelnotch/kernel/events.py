"""Log events with stable numbers, written as lines of text or JSON."""

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
    """Log events with number, level and meaning."""

    HOST_STARTED = (1001, logging.INFO, "the host accepts connections")
    HOST_READY = (1002, logging.INFO, "the first configuration is in force")
    HOST_LEAVING = (1003, logging.INFO, "the host is draining")
    HOST_STOPPED = (1004, logging.INFO, "the host has finished draining")
    SETTINGS_APPLIED = (1005, logging.INFO, "changed settings are in force")
    SETTINGS_REFUSED = (
        1006,
        logging.ERROR,
        "the settings file is invalid; the former settings stay in force",
    )
    HOSTS_LISTED = (
        1007,
        logging.INFO,
        "a host that knows no other pings those listed in the store",
    )
    TASK_FAILED = (1101, logging.ERROR, "a task failed; the process continues")
    LOG_LINES_DROPPED = (
        1102,
        logging.WARNING,
        "log lines were dropped because they were not read in time",
    )
    CONFIGURATION_APPLIED = (2001, logging.INFO, "a newer configuration is in force")
    CONFIGURATION_REJECTED = (
        2002,
        logging.WARNING,
        "a configuration record was rejected",
    )
    CONFIGURATION_PART_IGNORED = (
        2006,
        logging.WARNING,
        "a part of the configuration is malformed and not in force",
    )
    CONFIGURATION_BOOTSTRAPPED = (
        2003,
        logging.INFO,
        "the configuration was received from another host",
    )
    SNAPSHOT_WRITTEN = (2004, logging.INFO, "a configuration snapshot was appended")
    LOG_UNAVAILABLE = (2101, logging.WARNING, "the log service does not respond")
    LOG_TIMELINE_ENTERED = (
        2103,
        logging.WARNING,
        "the store was restored from an older copy; a new timeline begins",
    )
    LOG_TIMELINE_UNNAMED = (
        2104,
        logging.WARNING,
        "a response of the store has a missing or malformed timeline",
    )
    RECORDS_MISSED = (
        2105,
        logging.WARNING,
        "an update begins after the copy of a topic ends; records are missing",
    )
    RECORDS_COMPLETED = (2106, logging.INFO, "the missing records have arrived")
    LOG_RECOVERED = (2102, logging.INFO, "the log service responds again")
    READING_BEGUN = (2107, logging.INFO, "this host begins to read a topic")
    READING_ENDED = (2108, logging.INFO, "this host reads a topic no more")
    MEMBER_CHANGED = (3001, logging.INFO, "the membership state of a host changed")
    SERVER_LEAVING = (3002, logging.INFO, "a server accepts no new requests")
    HOST_REFUSING = (3003, logging.WARNING, "the host refuses requests")
    HOST_SERVING = (3004, logging.INFO, "the host accepts requests again")
    PEER_MESSAGE_REFUSED = (3101, logging.WARNING, "a peer sent a malformed message")
    PEER_MESSAGE_FAILED = (
        3102,
        logging.ERROR,
        "a message of a peer could not be handled",
    )
    PEER_MESSAGES_LOST = (
        3103,
        logging.WARNING,
        "messages to a host are lost until its connection is made again",
    )
    SERVER_EJECTED = (
        4001,
        logging.WARNING,
        "a failing server was taken out of rotation for a while",
    )
    SERVER_SLOW = (
        4002,
        logging.WARNING,
        "a server is slower than the others of its shard",
    )
    STREAM_RESUMED = (
        4003,
        logging.WARNING,
        "a broken stream was resumed on another server",
    )
    ANSWER_MISMATCHED = (4004, logging.ERROR, "a response belonged to another request")
    ENGINE_PACE_TOLD = (
        4005,
        logging.INFO,
        "the estimated processing rate of an engine changed",
    )
    CLAIM_UNSETTLED = (
        5001,
        logging.WARNING,
        "a claim could not be read back from the log",
    )
    CLAIM_RELEASE_DELAYED = (
        5002,
        logging.WARNING,
        "the release of a claim waits for the log",
    )
    SERVER_LISTED = (3005, logging.INFO, "the server list of the platform changed")
    SERVER_SAID_LEAVING = (3006, logging.INFO, "a server announced its shutdown")
    SERVER_RETAINED = (
        3014,
        logging.INFO,
        "a server that the list lacks is used until it must be listed again",
    )
    SERVER_SILENT = (
        4006,
        logging.WARNING,
        "a server with running streams stopped sending",
    )
    SERVICE_CUT_OFF = (
        4011,
        logging.WARNING,
        "no server of a service accepts connections of this host",
    )
    SERVICE_REACHED = (
        4012,
        logging.INFO,
        "this host reaches the servers of a service again",
    )
    SERVER_CRASHED = (
        4007,
        logging.WARNING,
        "a server crashed while it served requests",
    )
    SERVER_MEMORY_EXCEEDED = (
        4013,
        logging.WARNING,
        "a server crashed as its requests exceeded its memory; add servers or memory",
    )
    PROMPT_BLAMED = (
        4008,
        logging.WARNING,
        "requests that crash servers are refused from now on",
    )
    PROMPT_CLEARED = (
        4009,
        logging.INFO,
        "parts of a request no longer count as a cause of crashes",
    )
    PROMPT_TRIED = (
        4010,
        logging.INFO,
        "a request is sent to confirm that it crashes servers",
    )
    CRASH_EVIDENCE_READ = (
        4014,
        logging.INFO,
        "what hosts knew of crashes before was read from the store",
    )
    CRASH_EVIDENCE_UNSAVED = (
        4015,
        logging.WARNING,
        "what is known of crashes cannot be exchanged with the store",
    )
    SERVER_RESTS = (
        3007,
        logging.INFO,
        "a server asked this host to pause its requests",
    )
    SERVER_RATE_LIMIT = (
        3009,
        logging.INFO,
        "the known rate limit of a server changed",
    )
    SERVER_RATE_LIMIT_MALFORMED = (
        3010,
        logging.WARNING,
        "a server announced an invalid rate limit",
    )
    SERVER_BRITTLE_MALFORMED = (
        3012,
        logging.WARNING,
        "a server announced an invalid brittleness",
    )
    SERVER_REST_MALFORMED = (
        3008,
        logging.WARNING,
        "a server asked for a pause of invalid length",
    )
    SERVER_LOAD_MALFORMED = (
        3013,
        logging.WARNING,
        "a server stated an invalid load, which is ignored; correct its responses",
    )
    SERVER_ENTRY_REJECTED = (
        3011,
        logging.WARNING,
        "the entry of a server is malformed and left out",
    )
    CONNECTIONS_CLOSED = (
        6019,
        logging.WARNING,
        "connections were closed to keep within the memory or descriptors of the host",
    )
    LEAVING_SERVER_SKIPPED = (
        6022,
        logging.INFO,
        "a request is not sent to its server, which left while it was connected to",
    )
    REQUEST_REFUSED = (6001, logging.INFO, "a request was refused")
    REQUEST_MALFORMED = (6002, logging.DEBUG, "a request was malformed")
    REQUEST_ROUTED = (6003, logging.INFO, "a request was mapped to a service")
    SERVER_CHOSEN = (6004, logging.INFO, "a server was chosen for a request")
    DISPATCH_FAILED = (6005, logging.INFO, "a server did not complete a request")
    STREAM_ORIGIN = (6011, logging.INFO, "a caller resumes a stream")
    STREAM_ORIGINS_READ = (
        6012,
        logging.INFO,
        "the log of the origins of streams was read",
    )
    STREAM_ORIGINS_UNSAVED = (
        6013,
        logging.WARNING,
        "the log of the origins of streams cannot be reached",
    )
    REQUEST_PASSED_ON = (
        6015,
        logging.INFO,
        "a request was passed on to another host",
    )
    STREAM_STALLED = (
        6014,
        logging.INFO,
        "another server was sought for the stream of a silent one",
    )
    CALL_STALLED = (
        6016,
        logging.INFO,
        "another server was sought for the call of a silent one",
    )
    CALL_HELD = (
        6017,
        logging.INFO,
        "a call waited at this host, as its server was slow or full",
    )
    SLOW_CALLER_ENDED = (
        6018,
        logging.WARNING,
        "the response of the slowest caller was ended, as unread ones fill the memory",
    )
    REQUEST_SENT_AGAIN = (
        6020,
        logging.INFO,
        "a request was sent to a further server",
    )
    DISPATCH_CLOSED = (
        6021,
        logging.INFO,
        "the connection to a server was closed while it held a request",
    )
    REQUEST_ANSWERED = (6006, logging.INFO, "a request was answered completely")
    REQUEST_BROKEN_OFF = (6007, logging.INFO, "a response ended early")
    TURN_CAME = (
        6009,
        logging.INFO,
        "the wait of a request for admission to an engine ended",
    )
    LIMITED_DISPATCH = (
        6010,
        logging.INFO,
        "a request was sent to a server that has a rate limit",
    )
    CALLER_LEFT = (
        6008,
        logging.INFO,
        "a caller disconnected before the response was complete",
    )
    DUTY_CLAIMED = (7001, logging.INFO, "this host holds the duties")
    DUTY_LOST = (7002, logging.WARNING, "this host no longer holds the duties")
    DUTY_RELEASED = (7003, logging.INFO, "this host gave up the duties")
    DUTY_STORE_FAILING = (
        7004,
        logging.WARNING,
        "the store of the duties does not respond; check its address and the network",
    )
    DUTY_API_FAILING = (
        7005,
        logging.WARNING,
        "the platform's API does not respond; check its address and the network",
    )
    DUTY_TOKEN_REFUSED = (
        7006,
        logging.WARNING,
        "the platform's API has seen a higher fencing token; a new claim follows",
    )
    DUTY_RECORD_MALFORMED = (
        7007,
        logging.WARNING,
        "malformed records of the duties are left out; find out who wrote them",
    )
    USAGE_REPORTED = (7101, logging.INFO, "the usage of a window was reported")
    USAGE_REJECTED = (
        7102,
        logging.WARNING,
        "the platform's API refused a report of usage; compare it with the API's rules",
    )
    USAGE_MISSING = (
        7103,
        logging.ERROR,
        "the usage of a window was not reported; bill it from the platform's records",
    )
    USAGE_INCOMPLETE = (
        7104,
        logging.WARNING,
        "usage counted by lost hosts may lack in a window; check it before billing",
    )
    USAGE_TOTALS_MALFORMED = (
        7105,
        logging.WARNING,
        "malformed totals of a host are left out; compare its build with this one",
    )
    DEMAND_MALFORMED = (
        7201,
        logging.WARNING,
        "a host reported invalid totals of its requests",
    )
    SERVERS_ORDERED = (7202, logging.INFO, "a number of servers was ordered")
    SERVERS_RECLAIMED = (
        7203,
        logging.INFO,
        "the platform takes spot servers of a domain back",
    )
    REDUCTION_HELD = (
        7204,
        logging.INFO,
        "what keeps servers from being released changed",
    )
    DOMAIN_UNPRICED = (
        7205,
        logging.WARNING,
        "a domain without a price keeps the servers that it has",
    )
    ORDER_FAILED = (
        7206,
        logging.WARNING,
        "the platform did not accept an order of servers",
    )

    def __init__(self, number: int, level: int, meaning: str) -> None:
        self.number = number
        self.level = level
        self.meaning = meaning


class EventLog:
    """Logger of events under the name of one process."""

    def __init__(self, source: str) -> None:
        self._logger = logging.getLogger(f"cornelnotch.{source}")
        self._source = source

    def record(self, event: Event, **fields: Any) -> None:
        """Log `event` with its fields."""
        if not self._logger.isEnabledFor(event.level):
            return
        self._logger.log(
            event.level,
            event.meaning,
            extra={"event": event, "source": self._source, "fields": fields},
        )


class TextFormatter(logging.Formatter):
    """Format an event as a line of text."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the formatted line."""
        event = getattr(record, "event", None)
        if event is None:
            return super().format(record)
        fields = " ".join(f"{k}={v}" for k, v in record.__dict__["fields"].items())
        stamp = self.formatTime(record)
        source = record.__dict__["source"]
        line = f"{stamp} {record.levelname} {event.number} {source}: {event.meaning}"
        return f"{line} {fields}".rstrip()


class JsonFormatter(logging.Formatter):
    """Format an event as a line of JSON."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the formatted line."""
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
    """Return the log record of an event, created without a logger."""
    name = f"cornelnotch.{source}"
    record = logging.LogRecord(name, event.level, "", 0, event.meaning, None, None)
    record.event = event
    record.source = source
    record.fields = fields
    return record


def create_formatter(style: str) -> logging.Formatter:
    """Return the formatter of a style, `text` or `json`."""
    return JsonFormatter() if style == "json" else TextFormatter()


def create_event_log(source: str) -> EventLog:
    """Return the event log of one process."""
    return EventLog(source)


def set_up_logging(
    style: str = "text", level: str = "INFO", stream: TextIO | None = None
) -> None:
    """Write events as `text` or `json` to `stream`, by default standard error."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(create_formatter(style))
    logger = logging.getLogger("cornelnotch")
    logger.handlers[:] = [handler]
    logger.setLevel(level)
    logger.propagate = False
