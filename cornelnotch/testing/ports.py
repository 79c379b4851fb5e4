"""Choose ports for listeners that start later."""

import random
import socket
from collections import deque

__all__ = ["ADDRESS", "find_free_port", "reserve_port"]

ADDRESS = "127.0.0.1"
# Below the ephemeral port range: an outgoing connection could otherwise take a port
# between its selection and the start of the process that listens on it.
FIRST_PORT = 10_000
LAST_PORT = 32_000
MAXIMUM_RESERVED_PORTS = 256

_generator = random.SystemRandom()
_reserved: deque[socket.socket] = deque()


def find_free_port() -> int:
    """Return a free port and keep it from others until many more were chosen."""
    if len(_reserved) == MAXIMUM_RESERVED_PORTS:
        _reserved.popleft().close()
    _reserved.append(reserve_port())
    return _reserved[-1].getsockname()[1]


def reserve_port() -> socket.socket:
    """Return a socket that keeps its port from others until it is closed.

    Listeners that reuse addresses, as those of asyncio do, can start on the port.
    """
    while True:
        reserved = socket.socket()
        try:
            reserved.bind((ADDRESS, _generator.randrange(FIRST_PORT, LAST_PORT)))
        except OSError:
            reserved.close()
            continue
        # Set after the address was bound, which fails for a port that others use.
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return reserved
