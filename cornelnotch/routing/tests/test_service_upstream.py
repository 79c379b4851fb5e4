"""Test what the client of plain services makes of responses that break off."""

import asyncio

import pytest

from cornelnotch.exceptions import UpstreamError
from cornelnotch.routing.upstreams import ServiceUpstream
from cornelnotch.standins.raw import ConnectionEnd, RawResponse, RawUpstream
from cornelnotch.web import HttpClient

UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nhalf of"


async def call(end):
    server = RawUpstream("raw", RawResponse(UNFRAMED, end=end))
    await server.start()
    client = HttpClient()
    try:
        headers = {"x-request-id": "r1"}
        upstream = ServiceUpstream(client)
        return await upstream.call(
            server.address, "GET", "/", headers, b"", False, 2000.0
        )
    finally:
        client.close()
        await server.stop()


@pytest.mark.parametrize("end", [ConnectionEnd.RESET, ConnectionEnd.CLOSE_AND_EXIT])
def test_an_unframed_response_of_a_crashed_service_is_not_complete(end):
    with pytest.raises(UpstreamError):
        asyncio.run(call(end))


def test_an_unframed_response_of_a_running_service_is_complete():
    assert asyncio.run(call(ConnectionEnd.CLOSE)).body == b"half of"
