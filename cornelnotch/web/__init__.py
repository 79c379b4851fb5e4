"""HTTP/1.1 client and server."""

from cornelnotch.web.client import (
    HttpClient,
    HttpResponse,
    Reachability,
    parse_address,
)
from cornelnotch.web.exchange import Exchange
from cornelnotch.web.memory import MemoryAccount
from cornelnotch.web.server import HttpServer, ServerLimits

__all__ = [
    "Exchange",
    "HttpClient",
    "HttpResponse",
    "HttpServer",
    "MemoryAccount",
    "Reachability",
    "ServerLimits",
    "parse_address",
]
