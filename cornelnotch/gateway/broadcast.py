"""Send a message to many hosts, relayed by other hosts where that saves bytes."""

import random
from collections.abc import Callable, Collection, Mapping
from typing import Any

from cornelnotch.gateway.relay import split_targets
from cornelnotch.membership import MemberTable
from cornelnotch.wire import PeerNetwork

__all__ = ["Broadcaster"]


class Broadcaster:
    """Send messages to many hosts along a relay tree by region."""

    def __init__(
        self,
        peers: PeerNetwork,
        table: MemberTable,
        regions: Mapping[str, str],
        generator: random.Random,
    ) -> None:
        self._peers = peers
        self._table = table
        self._regions = regions
        self._generator = generator

    def broadcast(
        self, names: Collection[str], create: Callable[[list[str]], Any]
    ) -> None:
        """Send `create(targets)`, with the hosts that the receiver must relay it to."""
        shuffled = [name for name in names if name != self._table.name]
        self._generator.shuffle(shuffled)
        members = self._table.members
        places = {n: members[n].place for n in shuffled if n in members}
        regions = {n: self._regions.get(p, p) for n, p in places.items()}
        place = self._table.local_member.place
        own_region = self._regions.get(place, place)
        for branch in split_targets(shuffled, own_region, regions):
            self._peers.send(branch.head, create(branch.others))
