"""Clients of the platform's log service and host list."""

from cornelnotch.logservice.base import (
    HostEntry,
    HostList,
    HostListing,
    LogPage,
    LogRecord,
    LogService,
)
from cornelnotch.logservice.http import HttpHostList, HttpLogService

__all__ = [
    "HostEntry",
    "HostList",
    "HostListing",
    "HttpHostList",
    "HttpLogService",
    "LogPage",
    "LogRecord",
    "LogService",
]
