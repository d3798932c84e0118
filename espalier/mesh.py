"""The links of an ingress to others: its zone's, and as home for a duty those of other zones.

The loop round espalier.shares. Of two ingresses the one with the lower address dials. Other zones are
dialled by homes only; who is dialled takes part whatever it thinks of its own part. Of one name the links of
one life count, those of the life that came last, and nothing that is said on another.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

import logbook

from almanac.boot import Boot
from espalier.shares import Exchange, News, Services
from furrow.link import Address, Dialer, Link, Listener
from furrow.messages import Hello, Members, Message, Shares, encode

log = logbook.Logger("mesh")

ROLE = "espalier"
PORT = 0  # of the system's own ports
ZONE_S, AWAY_S = 0.008, 0.04  # how long changes are gathered for neighbours in the zone, and for other zones
LOOK_S = 0.25  # between two looks at who is to be linked
HERE_BEFORE_S = 1.5  # after the start: by then neighbours have told what was before


class Mesh:
    """It belongs to the event loop that runs."""

    def __init__(
        self,
        boot: Boot,
        hello: Hello,
        heard: Callable[[News], None],
        told_level: Callable[[dict[str, float]], None],
        levels: Callable[[], dict[str, float]],
        company: Callable[[int, int], None],
        services: Services,
    ) -> None:
        """heard: what others' messages bring. told_level, levels: of tenants, from and for newcomers."""
        self._boot, self._hello = boot, hello
        self._on_news, self._told_level, self._levels, self._company = heard, told_level, levels, company
        self._loop = asyncio.get_running_loop()
        self.exchange = Exchange(boot.name, boot.ip, boot.zone, hello.life, services)
        self._dialers: dict[str, Dialer] = {}  # by name
        self._links: dict[Link, None] = {}
        self._listener = Listener(lambda: Link(hello, self._heard, self._up, self._down))
        self._zone_due = False
        self._closed = False
        self._began = self._loop.time()
        self._told = (0, 0)

    async def start(self, address: Address) -> None:
        """Open the door to other ingresses."""
        await self._listener.listen(address)
        self._look()
        self._away()

    def listed(self, members: Members) -> None:
        """The registry's list of ingresses."""
        self.exchange.listed(self._loop.time(), members.entries, members.gone, members.full)
        self._dial()
        self._tell_company()

    # ---- own numbers

    def load(self, instance: str, count: int) -> None:
        """Own open attempts at a backend have changed."""
        self.exchange.load(instance, count)
        self._soon()

    def use(self, tenant: str, count: int) -> None:
        """A tenant's requests were let in."""
        self.exchange.use(tenant, count)
        self._soon()

    def _soon(self) -> None:
        if not self._zone_due:
            self._zone_due = True
            self._loop.call_later(ZONE_S, self._tell_zone)

    def _tell_zone(self) -> None:
        self._zone_due = False
        self._to_zone(self.exchange.for_zone())

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
        for names, shares in self.exchange.for_away(self._loop.time(), self._neighbours(), zones):
            payload = encode(shares)
            for name in names:
                away[name].send_payload(payload)
        self._to_zone(self.exchange.passed_on())
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

    def _dial(self) -> None:
        if self._closed:
            return
        linked = [(link.peer.name, link.peer.zone) for link in self._links if link.peer is not None]
        failing = [name for name, dialer in self._dialers.items() if dialer.tried and not dialer.up]
        wanted = {m.name: m for m in self.exchange.wanted(self._loop.time(), linked, failing)}
        for name, dialer in list(self._dialers.items()):
            if not self.exchange.keeps(name, dialer.address[0], wanted, dialer.up):
                dialer.close()
                del self._dialers[name]
        for name, member in wanted.items():
            if name not in self._dialers:
                up = partial(self._up, expected=name)
                self._dialers[name] = Dialer(
                    (member.ip, member.port), self._hello, self._heard, up, self._down
                )

    def _up(self, link: Link, expected: str = "") -> None:
        """expected: whom it was dialled to reach; another one may have taken over the address."""
        peer = link.peer
        assert peer is not None
        wrong = peer.role != ROLE or (expected and peer.name != expected)
        if wrong or peer.name == self._hello.name:  # one's own name: a former life's connection
            link.cut()
            return
        for other in list(self._links):
            if other.peer is not None and other.peer.name == peer.name and other.peer.life != peer.life:
                listed = self.exchange.members.get(peer.name)
                if listed is not None and listed.life == other.peer.life and peer.life < other.peer.life:
                    link.cut()  # of a former life, come late; one whose clock was set back tries again
                    return
                other.cut()
        self._links[link] = None
        away = peer.zone != self._boot.zone
        link.send(self.exchange.full(self._loop.time(), self._levels(), peer.name, away))
        self._loop.call_soon(self._dial)  # this one may speak for its zone now

    def _down(self, link: Link) -> None:
        if link in self._links:
            del self._links[link]
            peer = link.peer
            if peer is None or peer.zone != self._boot.zone or peer.name in self._neighbours():
                return  # two links, where both have dialled: the other one is up
            self._on_news(self.exchange.forget(self._loop.time(), peer.name))

    def _heard(self, link: Link, message: Message) -> None:
        if not isinstance(message, Shares) or link.peer is None or link not in self._links:
            return
        now = self._loop.time()
        news = self.exchange.hear(now, message, link.peer.name, link.peer.zone, link.peer.life)
        if message.level:
            self._told_level(message.level)
        if news.out or news.used:
            self._on_news(news)

    def _look(self) -> None:
        if self._closed:
            return
        now = self._loop.time()
        for name in self._neighbours():
            self.exchange.alive(now, name)
        if not self.exchange.settled and now - self._began > HERE_BEFORE_S:
            self.exchange.settled = True
        news = self.exchange.forget(now)
        if news.out:
            self._on_news(news)
        self._dial()
        self._tell_company()
        if not self._closed:
            self._loop.call_later(LOOK_S, self._look)

    def _tell_company(self) -> None:
        company = self.exchange.company(self._loop.time())
        if company != self._told:
            self._told = company
            self._company(*company)

    def renew(self) -> None:
        """Cut all links: what stands in them was said before this process stood still."""
        for link in list(self._links):
            link.cut()

    def close(self) -> None:
        """End in order."""
        self._closed = True
        self._listener.close()
        for dialer in self._dialers.values():
            dialer.close()
        for link in list(self._links):
            link.cut()
