"""Know which hosts and servers are live, leaving or dead."""

from cornelnotch.membership.prober import Prober
from cornelnotch.membership.table import (
    Member,
    MemberState,
    MemberTable,
    ServerTable,
)

__all__ = ["Member", "MemberState", "MemberTable", "Prober", "ServerTable"]
