"""What a server states about its load."""

from dataclasses import dataclass

__all__ = ["ServerLoad"]


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Requests of all hosts that run and wait at a server, as the server states them.

    `pace` is how many times its usual time work takes there at this moment: 1.0 as
    usual, 2.5 if it takes 2.5 times as long.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 1.0
