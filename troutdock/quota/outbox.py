"""What one proxy has to say to its peers about quotas, gathered into few messages (no I/O, no clock)."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from troutdock.rpc.messages import (
    ChargedRequests,
    Message,
    QuotaGrant,
    QuotaHandover,
    QuotaRequest,
    QuotaSettlement,
    ReturnedTokens,
    ShardVote,
    TokenDemand,
    TokenGrant,
)


@dataclass(slots=True)
class _ForPeer:
    """What goes to one peer with the next messages."""

    request: QuotaRequest = field(default_factory=QuotaRequest)
    grants: list[TokenGrant] = field(default_factory=list)
    settlement: QuotaSettlement = field(default_factory=QuotaSettlement)
    handovers: list[QuotaHandover] = field(default_factory=list)

    def messages(self) -> Iterator[Message]:
        yield from self.handovers
        if self.grants:
            yield QuotaGrant(self.grants)
        settlement = self.settlement
        if settlement.returned or settlement.charged or settlement.withdrawn:
            yield settlement
        if self.request.demands or self.request.votes:
            yield self.request


class Outbox:
    """Messages by peer, until they are taken."""

    def __init__(self) -> None:
        """Begin empty."""
        self._peers: dict[str, _ForPeer] = {}

    def __bool__(self) -> bool:
        return bool(self._peers)

    def _for(self, peer: str) -> _ForPeer:
        return self._peers.setdefault(peer, _ForPeer())

    def add_demand(self, peer: str, demand: TokenDemand, hops: int) -> None:
        """hops: how often it was passed on, this time included."""
        request = self._for(peer).request
        request.demands.append(demand)
        request.hops = max(request.hops, hops)

    def add_vote(self, peer: str, vote: ShardVote, hops: int = 0) -> None:
        """hops: how often it was passed on, this time included."""
        request = self._for(peer).request
        request.votes.append(vote)
        request.hops = max(request.hops, hops)

    def add_returned(self, peer: str, returned: ReturnedTokens, hops: int) -> None:
        """hops: how often they were passed on, this time included."""
        settlement = self._for(peer).settlement
        settlement.returned.append(returned)
        settlement.hops = max(settlement.hops, hops)

    def add_grant(self, peer: str, grant: TokenGrant) -> None:
        """An answer to one of the peer's demands."""
        self._for(peer).grants.append(grant)

    def add_charge(self, peer: str, charged: ChargedRequests) -> None:
        """Requests that were sent without a token."""
        self._for(peer).settlement.charged.append(charged)

    def add_withdrawal(self, peer: str, shard: int) -> None:
        """The peer is voted for no more."""
        self._for(peer).settlement.withdrawn.append(shard)

    def add_handover(self, peer: str, handover: QuotaHandover) -> None:
        """The peer owns a shard from now on."""
        self._for(peer).handovers.append(handover)

    def forget(self, peer: str) -> None:
        """The peer's link has ended."""
        self._peers.pop(peer, None)

    def take(self) -> Iterator[tuple[str, Message]]:
        """All messages, by peer; each is given once."""
        peers, self._peers = self._peers, {}
        for peer, outgoing in peers.items():
            for message in outgoing.messages():
                yield peer, message
