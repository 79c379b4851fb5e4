"""Drive a fleet as its callers would and judge what they got."""

from cornelnotch.load.caller import Caller, CallerOptions, CallResult

__all__ = ["CallResult", "Caller", "CallerOptions"]
