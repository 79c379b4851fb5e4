"""Connection of a caller that sends requests until the host closes it."""

import asyncio
from dataclasses import dataclass

import h11

from cornelnotch.gateway.tests.conftest import HOST_NAME, KEY
from cornelnotch.web import parse_address

READ_BYTES = 65536


@dataclass(frozen=True, slots=True)
class Reply:
    """A response; `status` is 0 if the connection ended before its head.

    `whole` is false if the connection ended before the end of the body.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


def count_bytes(event):
    """Return the size of the body in an event."""
    return len(event.data) if isinstance(event, h11.Data) else 0


class KeptConnection:
    """A connection that is used again whatever the responses say of it."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address):
        return cls(*await asyncio.open_connection(*parse_address(address)))

    async def send(self, request_id, path, method="GET", body=b"", **headers):
        """Send one request on the connection and return its response."""
        pieces = [h11.Data(data=body)] if body else []
        return await self._exchange(
            request_id, path, method, [*pieces, h11.EndOfMessage()], headers
        )

    async def send_part(self, request_id, path, method, part, **headers):
        """Send a head and a part of the body, and return the response."""
        return await self._exchange(
            request_id, path, method, [h11.Data(data=part)], headers
        )

    async def _exchange(self, request_id, path, method, events, headers):
        protocol = h11.Connection(h11.CLIENT)
        pairs = {
            "host": HOST_NAME,
            "x-attempt-id": request_id,
            "x-key": KEY,
            "x-deadline-ms": "10000",
            "content-length": str(sum(map(count_bytes, events))),
        }
        pairs.update({k.replace("_", "-"): v for k, v in headers.items()})
        head = h11.Request(method=method, target=path, headers=list(pairs.items()))
        sent = [head, *events]
        try:
            self.writer.write(b"".join(protocol.send(event) or b"" for event in sent))
            return await self._read(protocol)
        except OSError:
            return Reply(0, {}, b"", False)

    async def _read(self, protocol):
        status = 0
        headers: dict[str, str] = {}
        chunks: list[bytes] = []
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                try:
                    data = await self.reader.read(READ_BYTES)
                    protocol.receive_data(data)
                    if data:
                        continue
                    event = protocol.next_event()
                except (OSError, h11.RemoteProtocolError):
                    return Reply(status, headers, b"".join(chunks), False)
            if isinstance(event, h11.Response):
                status = event.status_code
                headers = {k.decode(): v.decode("latin-1") for k, v in event.headers}
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return Reply(status, headers, b"".join(chunks), True)
            else:
                return Reply(status, headers, b"".join(chunks), False)

    def close(self):
        self.writer.close()
