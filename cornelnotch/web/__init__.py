"""HTTP/1.1 client and server."""

from cornelnotch.web.client import HttpClient, HttpResponse, parse_address
from cornelnotch.web.exchange import Exchange
from cornelnotch.web.server import HttpServer, ServerLimits

__all__ = [
    "Exchange",
    "HttpClient",
    "HttpResponse",
    "HttpServer",
    "ServerLimits",
    "parse_address",
]
