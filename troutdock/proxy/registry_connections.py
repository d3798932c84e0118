"""The ingress's links to registries: the thin loop round troutdock.proxy.registry_watch.

Whoever is followed tells all it knows, then changes. One that is silent is left by the link's own measure.
What was learnt stays, whoever is lost. Of a link that is not followed yet one configuration is kept and
BEFORE_MOST other messages; of a standby nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

import logbook

from troutdock.settings.boot import Boot
from troutdock.proxy.registry_watch import Cut, Dial, Follow, Following, Shed, Step
from troutdock.rpc.connection import CONNECT_TIMEOUT_S, PeerConnection
from troutdock.rpc.messages import Config, Fresh, Hello, Message

log = logbook.Logger("news")

REGISTRY = "hedgerow"
PORT = 0  # of the system's own ports
BEFORE_MOST = 256  # messages beside a configuration that are kept of a link until it is followed
FOR_EVER_S = 3600.0


class _Before:
    """What a link has said that is not followed yet, in its order, bounded."""

    def __init__(self) -> None:
        self.messages: list[Message] = []

    def add(self, message: Message) -> bool:
        """Keep it; false: there is no room."""
        if isinstance(message, Config):
            self.messages = [m for m in self.messages if not isinstance(m, Config)]
        elif len(self.messages) >= BEFORE_MOST:
            return False
        self.messages.append(message)
        return True


class Feed:
    """Follows one registry at a time; heard gets what it says, up is called when one is followed anew."""

    def __init__(
        self,
        boot: Boot,
        hello: Hello,
        heard: Callable[[Message], None],
        up: Callable[[PeerConnection], None],
        lost: Callable[[], None] = lambda: None,
        has: Callable[[Config], bool] = lambda _: False,
    ) -> None:
        """lost: nobody is followed any more. has: a configuration that need not be kept."""
        self._boot, self._hello, self._on_message, self._on_up = boot, hello, heard, up
        self._on_lost, self._has = lost, has
        self._loop = asyncio.get_running_loop()
        self.following = Following(boot.name, boot.zone, [host for host, _ in boot.seeds])
        self._link: PeerConnection | None = None
        self._links: dict[int, PeerConnection] = {}
        self._numbers: dict[PeerConnection, int] = {}
        self._before: dict[int, _Before] = {}
        self._dials: dict[int, asyncio.Task[None]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._carrying = False
        self._waiting: list[Step] = []
        self._closed = False

    @property
    def registries(self) -> dict[str, str]:
        """Those that are known: zones by address, empty where not met yet."""
        return self.following.registries

    def start(self) -> None:
        """Begin to look for one."""
        self._tick()

    def send(self, message: Message) -> bool:
        """Tell the one that is followed."""
        return self._link is not None and self._link.send(message)

    def learn(self, registries: dict[str, str]) -> None:
        """Registries that there are, with their zones."""
        self._carry_out(self.following.learnt(self._loop.time(), registries))

    def renew(self) -> None:
        """Cut all links: what stands in them was said before this process stood still."""
        for link in list(self._links.values()):
            link.abort()

    # ---- links

    def _heard(self, link: PeerConnection, message: Message) -> None:
        if (number := self._numbers.get(link)) is None:
            return
        if link is self._link:
            self._on_message(message)
        elif (before := self._before.get(number)) is not None:
            unneeded = isinstance(message, Config) and self._has(message)
            if not unneeded and not before.add(message):
                log.warning("Registry {} says too much to wait for.", link.peer.name if link.peer else "?")
                link.abort()
                return
        if isinstance(message, Fresh):
            self._carry_out(self.following.told(self._loop.time(), number, message.fresh))

    def _up(self, link: PeerConnection) -> None:
        peer = link.peer
        assert peer is not None
        number = self._numbers.get(link)
        if number is None or peer.role != REGISTRY:
            link.abort()
            return
        self._before[number] = _Before()
        self._carry_out(self.following.met(self._loop.time(), number, peer.ip, peer.zone))

    def _down(self, link: PeerConnection) -> None:
        if (number := self._numbers.get(link)) is None:
            return
        self._drop(number)
        if link is self._link:
            self._link = None
            log.info("Registry lost.")
            self._on_lost()
        self._carry_out(self.following.ended(self._loop.time(), number))

    def _drop(self, number: int) -> None:
        self._before.pop(number, None)
        link = self._links.pop(number, None)
        if link is not None:
            self._numbers.pop(link, None)

    async def _connect(self, number: int, ip: str, link: PeerConnection) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._loop.create_connection(lambda: link, ip, self._boot.port(PORT))
        except (OSError, TimeoutError):
            link.abort()
            if number in self._links:
                self._drop(number)
                self._carry_out(self.following.ended(self._loop.time(), number))
        finally:
            self._dials.pop(number, None)

    # ---- steps

    def _tick(self) -> None:
        self._timer = None
        now = self._loop.time()
        for number, link in self._links.items():
            self.following.heard(number, link.last_received_at)
        self._carry_out(self.following.tick(now))

    def _carry_out(self, steps: list[Step]) -> None:
        """One after the other, also where one leads to others."""
        self._waiting += steps
        if self._carrying or self._closed:
            return
        self._carrying = True
        try:
            while self._waiting:
                self._do(self._waiting.pop(0))
        finally:
            self._carrying = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        wait = self.following.wait(self._loop.time())
        if wait != inf and not self._closed:
            self._timer = self._loop.call_later(min(max(wait, 0.01), FOR_EVER_S), self._tick)

    def _do(self, step: Step) -> None:
        match step:
            case Dial(number, ip):
                link = PeerConnection(self._hello, self._heard, self._up, self._down)
                self._links[number], self._numbers[link] = link, number
                self._dials[number] = self._loop.create_task(self._connect(number, ip, link))
            case Follow(number):
                self._follow(number)
            case Shed(number):
                self._before.pop(number, None)
            case Cut(number):
                cut = self._links.get(number)
                self._drop(number)
                if (dial := self._dials.pop(number, None)) is not None:
                    dial.cancel()
                if cut is not None:
                    cut.abort()

    def _follow(self, number: int) -> None:
        link = self._links.get(number)
        if link is None or not link.open:  # it has just ended, and says so next
            return
        self._link = link
        assert link.peer is not None
        log.info("Follows {}.", link.peer.name)
        self._on_up(link)
        before = self._before.pop(number, None)
        for message in before.messages if before is not None else ():
            self._on_message(message)

    def close(self) -> None:
        """Follow nobody any more."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        for dial in list(self._dials.values()):
            dial.cancel()
        for link in list(self._links.values()):
            self._numbers.pop(link, None)
            link.abort()
        self._links.clear()
        self._link = None
