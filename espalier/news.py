"""The ingress's link to a registry: whom it follows, and when it goes to another.

The order is agreed: registries in the own zone first, then the others in an order of this ingress's own, so
that those that are left share the followers of one that is lost. Whoever is followed tells all it knows,
then changes. One that is silent is left by the link's own measure; one that is not in touch with the
store's primary is left for one that is, if there is any. What was learnt stays, whoever is lost.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook

from almanac.boot import Boot
from furrow.link import CONNECT_S, Link
from furrow.messages import Fresh, Hello, Message
from pollen.order import in_order

log = logbook.Logger("news")

REGISTRY = "hedgerow"
PORT = 0  # of the system's own ports
RETRY_S = 0.1  # between two tries of all
BETTER_S = 2.0  # between two looks for a registry that would be better


class Feed:
    """Follows one registry at a time; heard gets what it says, up is called when one is followed anew."""

    def __init__(
        self, boot: Boot, hello: Hello, heard: Callable[[Message], None], up: Callable[[Link], None]
    ) -> None:
        self._boot, self._hello, self._on_message, self._on_up = boot, hello, heard, up
        self._loop = asyncio.get_running_loop()
        self.registries: dict[str, str] = {host: "" for host, _ in boot.seeds}  # address, and zone once met
        self._link: Link | None = None
        self._fresh: dict[Link, Fresh] = {}
        self._before: dict[Link, list[Message]] = {}  # said on links that are not followed yet
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to look for one."""
        self._task = self._loop.create_task(self._run())

    @property
    def fresh(self) -> Fresh | None:
        """What the one that is followed says of how new its configuration is."""
        return self._fresh.get(self._link) if self._link is not None else None

    def send(self, message: Message) -> bool:
        """Tell the one that is followed."""
        return self._link is not None and self._link.send(message)

    def learn(self, registries: dict[str, str]) -> None:
        """Registries that there are, with their zones."""
        self.registries.update(registries)

    def _order(self) -> list[str]:
        found = in_order(self._boot.name, self.registries)
        return sorted(found, key=lambda ip: self.registries[ip] != self._boot.zone)

    def _heard(self, link: Link, message: Message) -> None:
        if isinstance(message, Fresh):
            self._fresh[link] = message
            self._wake.set()
        if link is self._link:
            self._on_message(message)
        else:
            self._before.setdefault(link, []).append(message)

    def _down(self, link: Link) -> None:
        self._fresh.pop(link, None)
        self._before.pop(link, None)
        if link is self._link:
            self._link = None
            log.info("Registry lost.")
        self._wake.set()

    def _up(self, link: Link) -> None:
        assert link.peer is not None
        self.registries[link.peer.ip] = link.peer.zone
        self._wake.set()

    async def _connect(self, ip: str) -> Link | None:
        """A link whose peer has said who it is."""
        link = Link(self._hello, self._heard, self._up, self._down)
        try:
            async with asyncio.timeout(CONNECT_S):
                await self._loop.create_connection(lambda: link, ip, self._boot.port(PORT))
                while link.open and link.peer is None:
                    self._wake.clear()
                    await self._wake.wait()
        except (OSError, TimeoutError):
            link.cut()
            return None
        return link if link.open else None

    def _follow(self, link: Link) -> None:
        before, self._link = self._link, link
        if before is not None:
            before.cut()
        assert link.peer is not None
        log.info("Follows {}.", link.peer.name)
        self._on_up(link)
        for message in self._before.pop(link, []):
            self._on_message(message)

    async def _run(self) -> None:
        looked_at = self._loop.time()
        while True:
            link = self._link
            if link is None:
                for ip in self._order():
                    if (found := await self._connect(ip)) is not None:
                        self._follow(found)
                        break
                else:
                    await asyncio.sleep(RETRY_S)
                    continue
                looked_at = self._loop.time()
                continue
            fresh = self._fresh.get(link)
            stale = fresh is not None and not fresh.fresh
            order = self._order()
            assert link.peer is not None
            here = order.index(link.peer.ip) if link.peer.ip in order else len(order)
            if (stale or here) and self._loop.time() - looked_at > (0.3 if stale else BETTER_S):
                looked_at = self._loop.time()
                for ip in order if stale else order[:here]:
                    if ip == link.peer.ip or (not stale and self.registries[ip] != self._boot.zone):
                        continue
                    if await self._better(ip):
                        break
                continue
            self._wake.clear()
            try:
                async with asyncio.timeout(0.3):
                    await self._wake.wait()
            except TimeoutError:
                pass

    async def _better(self, ip: str) -> bool:
        """Follow that one if it is there and in touch with the primary."""
        link = await self._connect(ip)
        if link is None:
            return False
        until = self._loop.time() + CONNECT_S
        while link.open and link not in self._fresh and self._loop.time() < until:
            await asyncio.sleep(0.02)
        if link.open and (fresh := self._fresh.get(link)) is not None and fresh.fresh:
            self._follow(link)
            return True
        link.cut()
        return False

    def close(self) -> None:
        """Follow nobody any more."""
        if self._task is not None:
            self._task.cancel()
        if self._link is not None:
            self._link.cut()
