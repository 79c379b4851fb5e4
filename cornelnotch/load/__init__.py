"""Load generator that checks the delivery guarantees of a fleet."""

from cornelnotch.load.caller import Caller, CallerOptions, CallResult

__all__ = ["CallResult", "Caller", "CallerOptions"]
