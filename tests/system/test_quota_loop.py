"""I/O of quotas: only datagrams of linked peers are accepted; messages that must not be lost use links."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from troutdock.proxy.quota_loop import BUSY_LAG_MS, MAX_DATAGRAM_BYTES, QuotaLoop
from troutdock.rpc.messages import (
    INCARNATION_TAG_MODULUS,
    Hello,
    Message,
    QuotaDatagram,
    QuotaGrant,
    QuotaRequest,
    QuotaSettlement,
    ShardVote,
    TokenDemand,
    encode_datagram,
)
from troutdock.rpc.netstring import encode_frame
from troutdock.admission.interface import Event
from troutdock.platform.clock import SystemClock
from troutdock.quota.bucket import QuotaLimit
from troutdock.quota.node import QuotaNode
from troutdock.quota.routes import SINGLE_PROXY, Peers, preceding_zones

TENANT, LIMIT = "t", QuotaLimit(10.0, 20.0)
OWNER = Hello("espalier", "owner", "127.0.0.1", "a", 11, True)
ASKER = Hello("espalier", "asker", "127.0.0.2", "a", 22, True)


class Side:
    """A QuotaLoop that records its output."""

    def __init__(self, me: Hello, peers: dict[str, Hello], lag_ms: Callable[[], float] = lambda: 0.0) -> None:
        clock = SystemClock()
        self.node = QuotaNode(me.name, me.zone, me.life, clock.now() / 1000, bootstrap=True)
        self.node.set_limits(clock.now() / 1000, {TENANT: LIMIT})
        self.on_links: list[tuple[str, Message]] = []
        self.events: list[Event] = []
        self.informed = asyncio.Event()
        self.statuses: list[bool] = []
        self.loop = QuotaLoop(
            node=self.node,
            clock=clock,
            hello=me,
            peer=peers.get,
            send=lambda name, message: self.on_links.append((name, message)),
            inform=self._inform,
            lag_ms=lag_ms,
            set_busy=self.statuses.append,
            bootstrap=True,
        )

    def _inform(self, event: Event) -> None:
        self.events.append(event)
        if self.node.has_grants:
            self.informed.set()


def run_scenario(scenario: Callable[[Side, Side], object]) -> None:
    async def run() -> None:
        owner, asker = Side(OWNER, {"asker": ASKER}), Side(ASKER, {"owner": OWNER})
        await owner.loop.start((OWNER.ip, 0))
        port = owner.loop._datagrams.get_extra_info("sockname")[1]  # type: ignore[union-attr]
        await asker.loop.start((ASKER.ip, port))
        owner.loop._port = port
        try:
            async with asyncio.timeout(10):
                await scenario(owner, asker)  # type: ignore[misc]
        finally:
            for side in (owner, asker):
                side.loop.close()

    asyncio.run(run())


def linked(me: str, other: str, busy: str) -> Peers:
    return Peers(frozenset([other]), {}, frozenset([other]), frozenset(), 2, frozenset([busy]))


def test_a_demand_reaches_the_owner_and_is_granted() -> None:
    async def scenario(owner: Side, asker: Side) -> None:
        owner.loop.update_peers(linked("owner", "asker", busy="asker"))
        asker.loop.update_peers(linked("asker", "owner", busy="asker"))
        asker.node.demand(asker.loop.now(), TENANT, 7)
        asker.loop.flush_soon()
        await asker.informed.wait()
        (grant,) = asker.node.take_grants()
        assert grant.granted == 7 and not asker.on_links
        # returned tokens must arrive exactly once and use the link
        asker.node.return_tokens(TENANT, 3, grant.term)
        asker.loop.flush()
        ((name, message),) = asker.on_links
        assert name == "owner" and isinstance(message, QuotaSettlement)

    run_scenario(scenario)


def test_datagrams_of_unlinked_senders_and_other_incarnations_are_rejected() -> None:
    async def scenario(owner: Side, asker: Side) -> None:
        owner.loop.update_peers(SINGLE_PROXY)
        demands = [TokenDemand(TENANT, 1, 5)]
        for sender, life, ip in (
            ("asker", 23, ASKER.ip),
            ("asker", 22, "127.0.0.9"),
            ("nobody", 22, ASKER.ip),
        ):
            payload = encode_datagram(QuotaDatagram(sender, life % INCARNATION_TAG_MODULUS, demands))
            owner.loop._receive_datagram(encode_frame(payload), (ip, 7000))
        for data in (
            b"",
            b"junk",
            b"3:{}x",
            encode_frame(b"{}"),
            encode_frame(b'["asker",22,[["t","one",5]]]'),
            b"9" * 3000,
        ):
            owner.loop._receive_datagram(data, (ASKER.ip, 7000))
        assert owner.node.rejected == 9 and not owner.node.has_output
        owner.loop._receive_datagram(
            encode_frame(encode_datagram(QuotaDatagram("asker", 22, demands))), (ASKER.ip, 7000)
        )
        assert owner.node.has_output and owner.node.rejected == 9

    run_scenario(scenario)


def test_messages_too_long_for_a_datagram_use_the_link() -> None:
    async def scenario(owner: Side, asker: Side) -> None:
        votes = [ShardVote(1, "zone", n) for n in range(MAX_DATAGRAM_BYTES // 8)]
        asker.loop._send_messages("owner", [QuotaRequest(votes=votes), QuotaGrant([])])
        assert [type(message) for _, message in asker.on_links] == [QuotaRequest, QuotaGrant]

    run_scenario(scenario)


def test_a_proxy_is_busy_while_its_event_loop_lags() -> None:
    async def scenario(owner: Side, asker: Side) -> None:
        lag = [10 * BUSY_LAG_MS]
        side = Side(OWNER, {}, lambda: lag[0])
        for _ in range(5):
            side.loop._update_lag()
        assert side.statuses == [True]
        lag[0] = 0.0
        for _ in range(30):
            side.loop._update_lag()
        assert side.statuses == [True, False]

    run_scenario(scenario)


def test_preceding_zones() -> None:
    orders = {shard: preceding_zones(shard, "a", ["a", "b", "c"]) for shard in range(16)}
    assert all("a" not in zones for zones in orders.values())
    assert any(zones == [] for zones in orders.values()) and any(len(zones) == 2 for zones in orders.values())
