"""Options of TCP connections."""

import asyncio
import fcntl
import os
import socket
import struct
import termios

__all__ = ["count_outstanding_bytes", "lengthen_queues", "reset_on_close"]

# struct linger: enabled, for 0 seconds.
NO_LINGER = struct.pack("ii", 1, 0)
QUEUE_SIZE = struct.Struct("i")


def lengthen_queues(server: asyncio.Server, backlog: int) -> None:
    """Let the system queue more connections than asyncio accepts in one step.

    asyncio uses one number for both.
    """
    for listener in server.sockets:
        with socket.socket(fileno=os.dup(listener.fileno())) as duplicate:
            duplicate.listen(backlog)


def reset_on_close(writer: asyncio.StreamWriter) -> None:
    """Make closing the connection of `writer` reset it, so that its peer notices."""
    connection = writer.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


def count_outstanding_bytes(writer: asyncio.StreamWriter) -> int:
    """Return the size of what the peer's system has not yet acknowledged.

    Raise OSError if the system does not tell.
    """
    connection = writer.get_extra_info("socket")
    size = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(QUEUE_SIZE.size))
    return writer.transport.get_write_buffer_size() + QUEUE_SIZE.unpack(size)[0]
