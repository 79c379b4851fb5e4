"""Membership of hosts and servers, and detection of failed hosts."""

from cornelnotch.membership.prober import Prober
from cornelnotch.membership.table import (
    Member,
    MemberState,
    MemberTable,
    ServerTable,
)

__all__ = ["Member", "MemberState", "MemberTable", "Prober", "ServerTable"]
