"""The links of an ingress to others: its zone's, and as home for a duty those of other zones.

The loop round proxy.load_exchange. Of two ingresses the one with the lower address dials. Other zones are
dialled by homes only; who is dialled takes part whatever it thinks of its own part. Of one name the links of
one life count, those of the life that came last, and nothing that is said on another.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from math import inf

import logbook

from troutdock.settings.boot import Boot
from troutdock.proxy.load_exchange import LoadExchange, LoadUpdate, Services
from troutdock.rpc.connection import Address, Connector, PeerConnection, Listener
from troutdock.rpc.messages import (
    Hello,
    Members,
    Message,
    QuotaGrant,
    QuotaHandover,
    QuotaRequest,
    QuotaSettlement,
    QuotaStatus,
    Shares,
    encode,
)
from troutdock.quota.routes import Peers

log = logbook.Logger("mesh")

ROLE = "espalier"
PORT = 0  # of the system's own ports
ZONE_S, AWAY_S = 0.008, 0.04  # how long changes are gathered for neighbours in the zone, and for other zones
LOOK_S = 0.25  # between two looks at who is to be linked
BUSY_MEMORY_S = 5.0  # so long a busy ingress is taken for busy after its link has ended


class Mesh:
    """It belongs to the event loop that runs."""

    def __init__(
        self,
        boot: Boot,
        hello: Hello,
        heard: Callable[[LoadUpdate], None],
        company: Callable[[int, int], None],
        services: Services,
        peers_changed: Callable[[Peers], None] = lambda _: None,
        quota_message: Callable[[str, Message], None] = lambda _name, _message: None,
    ) -> None:
        """Begin without links.

        Args:
            boot: The process's settings.
            hello: Who this ingress is.
            heard: Gets what others tell of their load.
            company: Gets how many ingresses there are, and how many are heard.
            services: Of the backends that are known.
            peers_changed: Gets the ingresses that take part in the leases of quotas.
            quota_message: Gets what they say about quotas, with the sender's name.
        """
        self._boot, self._hello = boot, hello
        self._on_news, self._company = heard, company
        self._peers_changed, self._quota_message = peers_changed, quota_message
        self._is_listed = False
        self._is_busy = False
        self._by_name: dict[str, PeerConnection] = {}
        self._is_dial_due = False
        self._busy_until: dict[str, float] = {}  # by name; infinite while it is linked
        self._loop = asyncio.get_running_loop()
        self.exchange = LoadExchange(boot.name, boot.ip, boot.zone, hello.life, services)
        self._dialers: dict[str, Connector] = {}  # by name
        self._links: dict[PeerConnection, None] = {}
        self._listener = Listener(lambda: PeerConnection(hello, self._heard, self._up, self._down))
        self._zone_due = False
        self._closed = False
        self._told = (0, 0)

    async def start(self, address: Address) -> None:
        """Open the door to other ingresses."""
        await self._listener.listen(address)
        self._look()
        self._away()

    def listed(self, members: Members) -> None:
        """The registry's list of ingresses."""
        self.exchange.update_members(self._loop.time(), members.entries, members.gone, members.full)
        self._is_listed = True
        self._dial()
        self._tell_company()
        self._tell_peers()

    # ---- own numbers

    def load(self, instance: str, count: int) -> None:
        """Own open attempts at a backend have changed."""
        self.exchange.set_load(instance, count)
        self._soon()

    def _soon(self) -> None:
        if not self._zone_due:
            self._zone_due = True
            self._loop.call_later(ZONE_S, self._tell_zone)

    def _tell_zone(self) -> None:
        self._zone_due = False
        self._to_zone(self.exchange.zone_update())

    def _to_zone(self, shares: Shares | None) -> None:
        if shares is not None:
            payload = encode(shares)
            for link in list(self._links):
                if link.peer is not None and link.peer.zone == self._boot.zone:
                    link.send_payload(payload)

    def _away(self) -> None:
        away = {
            link.peer.name: link
            for link in self._links
            if link.peer is not None and link.peer.zone != self._boot.zone
        }
        zones = [(name, link.peer.zone) for name, link in away.items() if link.peer is not None]
        for names, shares in self.exchange.remote_updates(self._loop.time(), self._neighbours(), zones):
            payload = encode(shares)
            for name in names:
                away[name].send_payload(payload)
        self._to_zone(self.exchange.forwarded_update())
        if not self._closed:
            self._loop.call_later(AWAY_S, self._away)

    # ---- links

    def _neighbours(self) -> list[str]:
        """In the zone, linked."""
        return [
            link.peer.name
            for link in self._links
            if link.peer is not None and link.peer.zone == self._boot.zone
        ]

    def _dial_soon(self) -> None:
        """Look at whom to dial once the present events are through."""
        if not self._is_dial_due:
            self._is_dial_due = True
            self._loop.call_soon(self._dial)

    def _failing(self) -> list[str]:
        """Those that were dialled in vain the last time."""
        return [name for name, dialer in self._dialers.items() if dialer.attempted and not dialer.is_ready]

    def _dial(self) -> None:
        self._is_dial_due = False
        if self._closed:
            return
        linked = [(link.peer.name, link.peer.zone) for link in self._links if link.peer is not None]
        wanted = {m.name: m for m in self.exchange.dial_targets(self._loop.time(), linked, self._failing())}
        for name, dialer in list(self._dialers.items()):
            if not self.exchange.should_keep(name, dialer.address[0], wanted, dialer.is_ready):
                dialer.close()
                del self._dialers[name]
        for name, member in wanted.items():
            if name not in self._dialers:
                up = partial(self._up, expected=name)
                self._dialers[name] = Connector(
                    (member.ip, member.port), self._hello, self._heard, up, self._down, self._dial_soon
                )

    def _up(self, link: PeerConnection, expected: str = "") -> None:
        """expected: whom it was dialled to reach; another one may have taken over the address."""
        peer = link.peer
        assert peer is not None
        wrong = peer.role != ROLE or (expected and peer.name != expected)
        if wrong or peer.name == self._hello.name:  # one's own name: a former life's connection
            link.abort()
            return
        for other in list(self._links):
            if other.peer is not None and other.peer.name == peer.name and other.peer.life != peer.life:
                listed = self.exchange.members.get(peer.name)
                if listed is not None and listed.life == other.peer.life and peer.life < other.peer.life:
                    link.abort()  # of a former life, come late; one whose clock was set back tries again
                    return
                other.abort()
        self._links[link] = None
        self._busy_until.pop(peer.name, None)
        if self._is_busy and peer.leases:
            link.send(QuotaStatus(True))
        away = peer.zone != self._boot.zone
        link.send(self.exchange.full_state(self._loop.time(), peer.name, away))
        self._tell_peers()
        self._dial_soon()  # this one may speak for its zone now

    def _down(self, link: PeerConnection) -> None:
        if link in self._links:
            del self._links[link]
            if link.peer is not None and link.peer.name in self._busy_until:
                self._busy_until[link.peer.name] = self._loop.time() + BUSY_MEMORY_S
            self._tell_peers()
            self._dial_soon()
            peer = link.peer
            if peer is None or peer.zone != self._boot.zone or peer.name in self._neighbours():
                return  # two links, where both have dialled: the other one is up
            self._on_news(self.exchange.expire(self._loop.time(), peer.name))

    def _heard(self, link: PeerConnection, message: Message) -> None:
        if link.peer is None or link not in self._links:
            return
        if isinstance(message, QuotaRequest | QuotaGrant | QuotaSettlement | QuotaHandover):
            self._quota_message(link.peer.name, message)
        elif isinstance(message, QuotaStatus):
            self._hear_status(link.peer.name, message)
        if not isinstance(message, Shares):
            return
        now = self._loop.time()
        news = self.exchange.receive(now, message, link.peer.name, link.peer.zone, link.peer.life)
        if news.loads:
            self._on_news(news)

    def _look(self) -> None:
        if self._closed:
            return
        now = self._loop.time()
        for name in self._neighbours():
            self.exchange.mark_alive(now, name)
        news = self.exchange.expire(now)
        if news.loads:
            self._on_news(news)
        self._dial()
        self._tell_company()
        self._tell_peers()
        if not self._closed:
            self._loop.call_later(LOOK_S, self._look)

    def _tell_company(self) -> None:
        company = self.exchange.membership(self._loop.time())
        if company != self._told:
            self._told = company
            self._company(*company)

    def set_busy(self, is_busy: bool) -> None:
        """Tell the others whether this ingress handles messages too late to answer for them."""
        self._is_busy = is_busy
        for link in list(self._links):
            if link.peer is not None and link.peer.leases:
                link.send(QuotaStatus(is_busy))
        self._tell_peers()

    def _hear_status(self, name: str, status: QuotaStatus) -> None:
        if status.busy:
            self._busy_until[name] = inf
        else:
            self._busy_until.pop(name, None)
        self._tell_peers()
        self._dial_soon()

    def _busy_names(self) -> frozenset[str]:
        now = self._loop.time()
        for name in [name for name, until in self._busy_until.items() if until <= now]:
            del self._busy_until[name]
        return frozenset([*self._busy_until, self._boot.name] if self._is_busy else self._busy_until)

    def _tell_peers(self) -> None:
        """Who takes part in the leases of quotas: linked, and of a version that knows them."""
        linked = [link.peer for link in self._links if link.peer is not None and link.peer.leases]
        self._by_name = {link.peer.name: link for link in self._links if link.peer is not None}
        zone, members = self._boot.zone, self.exchange.members.values()
        self.exchange.busy = self._busy_names()
        self._peers_changed(
            Peers(
                zone_peers=frozenset(peer.name for peer in linked if peer.zone == zone),
                remote_peers={peer.name: peer.zone for peer in linked if peer.zone != zone},
                listed_zone_peers=frozenset(m.name for m in members if m.zone == zone) - set(self._failing()),
                listed_zones=frozenset(m.zone for m in members if m.zone != zone),
                fleet_size=self.exchange.membership(self._loop.time())[0] if self._is_listed else 0,
                busy=self.exchange.busy,
            )
        )

    def peer(self, name: str) -> Hello | None:
        """Who a linked ingress is; none if it is not linked."""
        link = self._by_name.get(name)
        return link.peer if link is not None else None

    def send_to(self, name: str, message: Message) -> None:
        """Say something to a linked ingress; lost if it is none any more."""
        if (link := self._by_name.get(name)) is not None:
            link.send(message)

    def renew(self) -> None:
        """Cut all links: what stands in them was said before this process stood still."""
        for link in list(self._links):
            link.abort()

    def close(self) -> None:
        """End in order."""
        self._closed = True
        self._listener.close()
        for dialer in self._dialers.values():
            dialer.close()
        for link in list(self._links):
            link.abort()
