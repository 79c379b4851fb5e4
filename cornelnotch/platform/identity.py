"""Read the boot time of a server from its own report."""

import asyncio

import msgspec

from cornelnotch.exceptions import MalformedInputError, UpstreamError
from cornelnotch.gateway.server_identity import ServerIdentity
from cornelnotch.kernel.parsing import Count, decode
from cornelnotch.web import HttpClient

__all__ = ["PlatformServerIdentity"]

REPORT_PATH = "/report"
STATUS_OK = 200
# A server answers within one round trip between regions.
TIMEOUT_S = 0.4
# A report lists at most the requests that one server runs.
MAX_REPORT_BYTES = 256 * 1024


class ReportModel(msgspec.Struct):
    """Schema of the part of a report that tells when the server started."""

    born: Count


_report_decoder = msgspec.json.Decoder(ReportModel)


class PlatformServerIdentity(ServerIdentity):
    """Ask servers for their reports."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def read_boot_ms(self, address: str) -> int | None:
        """Return the boot time of the process at `address`, or None if unknown."""
        try:
            async with asyncio.timeout(TIMEOUT_S):
                response = await self._client.request(address, "GET", REPORT_PATH)
                try:
                    body = await response.read(MAX_REPORT_BYTES)
                finally:
                    response.close()
            if response.status != STATUS_OK:
                return None
            return decode(_report_decoder, body).born
        except (UpstreamError, TimeoutError, MalformedInputError):
            return None
