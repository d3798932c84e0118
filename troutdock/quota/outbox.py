"""Batches the outgoing quota messages of one proxy by peer (no I/O, no clock)."""

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
class _PeerMessages:
    """Content of the next messages to one peer."""

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
    """Outgoing messages by peer."""

    def __init__(self) -> None:
        """Starts empty."""
        self._peers: dict[str, _PeerMessages] = {}

    def __bool__(self) -> bool:
        return bool(self._peers)

    def _messages_for(self, peer: str) -> _PeerMessages:
        return self._peers.setdefault(peer, _PeerMessages())

    def add_demand(self, peer: str, demand: TokenDemand, hops: int) -> None:
        """Adds a demand; hops: how often it was forwarded, including this time."""
        request = self._messages_for(peer).request
        request.demands.append(demand)
        request.hops = max(request.hops, hops)

    def add_vote(self, peer: str, vote: ShardVote, hops: int = 0) -> None:
        """Adds a vote; hops: how often it was forwarded, including this time."""
        request = self._messages_for(peer).request
        request.votes.append(vote)
        request.hops = max(request.hops, hops)

    def add_returned(self, peer: str, returned: ReturnedTokens, hops: int) -> None:
        """Adds returned tokens; hops: how often they were forwarded, including this time."""
        settlement = self._messages_for(peer).settlement
        settlement.returned.append(returned)
        settlement.hops = max(settlement.hops, hops)

    def add_grant(self, peer: str, grant: TokenGrant) -> None:
        """Adds an answer to one of the peer's demands."""
        self._messages_for(peer).grants.append(grant)

    def add_charge(self, peer: str, charged: ChargedRequests) -> None:
        """Adds a charge for requests that were sent without a token."""
        self._messages_for(peer).settlement.charged.append(charged)

    def add_withdrawal(self, peer: str, shard: int) -> None:
        """Withdraws this zone's vote for the peer as owner of a shard."""
        self._messages_for(peer).settlement.withdrawn.append(shard)

    def add_handover(self, peer: str, handover: QuotaHandover) -> None:
        """Adds the bucket levels of a shard for its next owner."""
        self._messages_for(peer).handovers.append(handover)

    def forget(self, peer: str) -> None:
        """Drops the messages to a peer whose link has closed."""
        self._peers.pop(peer, None)

    def take(self) -> Iterator[tuple[str, Message]]:
        """Yields and removes all messages, grouped by peer."""
        peers, self._peers = self._peers, {}
        for peer, outgoing in peers.items():
            for message in outgoing.messages():
                yield peer, message
