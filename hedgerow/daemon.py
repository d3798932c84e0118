"""The registry's loop: calls, links to registries, ingresses and the store, round hedgerow.registry."""

from __future__ import annotations

import asyncio
import concurrent.futures

import logbook
import msgspec

from almanac.boot import Boot
from almanac.configuration import longest
from furrow.calls import CallServer
from furrow.link import Address, Dialer, Link, Listener
from furrow.messages import Config, WriteAck, Fresh, Hello, Instance, Member, Message, Write, Read, ReadAck
from hedgerow.calls import ConfigurationCalls, InstanceCalls, Outside, SystemCalls
from hedgerow.disk import Memory
from hedgerow.registry import Action, Confirmed, Registry, Tell

log = logbook.Logger("hedgerow")

ROLE, INGRESS, STORE = "hedgerow", "espalier", "rootstock"
PORT, STORE_PORT = 0, 1  # of the system's own ports
TICK_S = 0.1
HELD = 4  # of the longest configuration: bytes of all bodies that are not answered
CALL_S = 0.9  # for the store's answer: callers go elsewhere after a second of silence


class Daemon:
    """One process of the registry; it belongs to the event loop that runs."""

    def __init__(self, boot: Boot, life: int) -> None:
        self._boot = boot
        self._loop = asyncio.get_running_loop()
        self._hello = Hello(ROLE, boot.name, boot.ip, boot.zone, life)
        self.registry = Registry(self._loop.time(), boot.values["heartbeatS"])
        self._registries: dict[str, Dialer] = {}
        self._stores: dict[str, Dialer] = {}
        self._fresh: dict[Link, int] = {}  # links to primaries, and the version each has told
        self._calls: dict[int, asyncio.Future[WriteAck | ReadAck]] = {}
        self._confirms: dict[int, asyncio.Future[bool]] = {}
        self._last = 0
        self._listener = Listener(lambda: Link(self._hello, self._heard, self._up, self._down))
        instances = InstanceCalls(self, self._known)
        outside = Outside(instances, ConfigurationCalls(self), SystemCalls(self._status))
        bound = longest(boot.values["limits.memoryMb"])
        self._outside = CallServer(outside.handle, bound, HELD * bound)
        self._control_port = 0
        self._timer: asyncio.TimerHandle | None = None
        self._memory = Memory(boot.data)
        self._writer: concurrent.futures.ThreadPoolExecutor | None = None
        self._written: asyncio.Future[bool] | None = None

    async def start(self, control: Address, inner: Address) -> tuple[Address, Address]:
        """Open both doors; gives their addresses."""
        now = self._loop.time()
        if remembered := self._memory.open():
            self.registry.book.hear(now, remembered)
            log.info("Remembers {} backends.", len(remembered))
        self.registry.book.changed.clear()
        bound = await self._listener.listen(inner)
        for host, _ in self._boot.seeds:
            self._meet(host)
        outside = await self._outside.listen(control)
        self._control_port = outside[1]
        self._tick()
        log.info("Serves at {}:{}.", *outside)
        return outside, bound

    def _meet(self, ip: str) -> None:
        """Another core machine: its registry is dialled by the lower address, its store by all."""
        if ip not in self._stores:
            self._stores[ip] = Dialer(
                (ip, self._boot.port(STORE_PORT)),
                self._hello,
                self._store_says,
                lambda _: None,
                self._store_down,
            )
        seeds = [host for host, _ in self._boot.seeds]
        dials = self._boot.ip not in seeds or self._boot.ip < ip  # of two seeds the lower one
        if ip != self._boot.ip and ip not in self._registries and dials:
            self._registries[ip] = Dialer(
                (ip, self._boot.port(PORT)), self._hello, self._heard, self._up, self._down
            )

    # ---- links

    def _up(self, link: Link) -> None:
        peer, now = link.peer, self._loop.time()
        assert peer is not None
        if peer.role == ROLE:
            self._meet(peer.ip)
            self._carry_out(self.registry.registry_up(now, link, peer.ip, peer.zone))
        elif peer.role == INGRESS:
            member = Member(peer.name, peer.ip, self._boot.port(PORT), peer.zone, peer.life)
            self._carry_out(self.registry.ingress_up(now, link, member))

    def _down(self, link: Link) -> None:
        now = self._loop.time()
        self._carry_out([*self.registry.registry_down(now, link), *self.registry.ingress_down(now, link)])

    def _heard(self, link: Link, message: Message) -> None:
        self._carry_out(self.registry.hear(self._loop.time(), link, message))

    def _store_down(self, link: Link) -> None:
        self._fresh.pop(link, None)
        self._carry_out(self.registry.primary(bool(self._fresh)))

    def _store_says(self, link: Link, message: Message) -> None:
        match message:
            case Fresh(True, version):
                self._fresh.pop(link, None)
                self._fresh[link] = version  # who said so last is the primary
                self._carry_out(self.registry.primary(True))
            case Fresh():
                self._store_down(link)
            case Config():
                self._carry_out(self.registry.take_config(message))
            case WriteAck(number) | ReadAck(number):
                if (waiting := self._calls.pop(number, None)) is not None and not waiting.done():
                    waiting.set_result(message)
            case _:
                pass

    def _tick(self) -> None:
        now = self._loop.time()
        self._carry_out(self.registry.tick(now))
        self._remember(now)
        self._timer = self._loop.call_later(TICK_S, self._tick)

    def _remember(self, now: float) -> None:
        """Write down what has changed, beside the loop: a disk that hangs holds up nothing else."""
        book = self.registry.book
        if not book.changed or (self._written is not None and not self._written.done()):
            return
        entries = [book.entries[id].told(now) for id in book.changed if id in book.entries]
        book.changed.clear()
        if self._writer is None:
            self._writer = concurrent.futures.ThreadPoolExecutor(1)
        self._written = self._loop.run_in_executor(self._writer, self._memory.save, entries)

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Confirmed):
                if (waiting := self._confirms.pop(action.number, None)) is not None and not waiting.done():
                    waiting.set_result(action.ok)
            elif action.to is None:
                for link in list(self.registry.ingresses):
                    assert isinstance(link, Link)
                    link.send(action.message)
            else:
                assert isinstance(action, Tell) and isinstance(action.to, Link)
                action.to.send(action.message)

    # ---- calls.Registry

    def _known(self, id: str) -> Instance | None:
        entry = self.registry.book.entries.get(id)
        return entry.told(self._loop.time()) if entry is not None else None

    async def beat(self, instance: Instance, count: int) -> str | None:
        number, actions = self.registry.beat(self._loop.time(), instance, count)
        confirmed: asyncio.Future[bool] | None = None
        if number:
            confirmed = self._confirms[number] = self._loop.create_future()
        self._carry_out(actions)
        if confirmed is not None:
            if not await confirmed:
                return None
            log.info(
                "{}: {} of {}.",
                ("available", "drains", "is gone")[instance.state],
                instance.id,
                instance.service,
            )
        ip = self.registry.target(instance.zone, self._boot.zone)
        return f"{ip}:{self._control_port}" if ip else ""

    def _status(self) -> dict[str, object]:
        primary = self._primary()
        name = primary.peer.name if primary is not None and primary.peer is not None else ""
        return {"node": self._boot.name, "primary": name, **self.registry.status()}

    def _primary(self) -> Link | None:
        return next(reversed(self._fresh), None)

    async def _ask(self, message: Write | Read) -> WriteAck | ReadAck | None:
        link = self._primary()
        if link is None or not link.send(message):
            return None
        waiting = self._calls[message.number] = self._loop.create_future()
        try:
            async with asyncio.timeout(CALL_S):
                answer: WriteAck | ReadAck = await waiting
                return answer
        except TimeoutError:
            return None
        finally:
            self._calls.pop(message.number, None)

    async def put(self, version: int, body: bytes) -> str | None:
        self._last += 1
        answer = await self._ask(Write(self._last, version, msgspec.Raw(body)))
        if isinstance(answer, WriteAck):
            log.info("Write r{}: {}.", version, "kept" if answer.ok else answer.why)
            return None if answer.ok else answer.why
        log.warning("Write r{}: no answer of the store.", version)
        return "the store does not answer"

    async def newest(self) -> tuple[int, bytes] | str:
        self._last += 1
        answer = await self._ask(Read(self._last))
        if isinstance(answer, ReadAck) and answer.version >= 0:
            return answer.version, bytes(answer.body)
        return answer.why if isinstance(answer, ReadAck) else "the store does not answer"

    def close(self) -> None:
        """End in order."""
        if self._timer is not None:
            self._timer.cancel()
        self._outside.close()
        if self._writer is not None:
            self._writer.shutdown()
        self._memory.close()
        self._listener.close()
        for dialer in (*self._registries.values(), *self._stores.values()):
            dialer.close()
