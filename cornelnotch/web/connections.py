"""Options of TCP connections."""

import asyncio
import socket
import struct

__all__ = ["reset_on_close"]

# struct linger: enabled, for 0 seconds.
NO_LINGER = struct.pack("ii", 1, 0)


def reset_on_close(writer: asyncio.StreamWriter) -> None:
    """Make closing the connection of `writer` reset it, so that its peer notices."""
    connection = writer.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
