"""The registry's loop: calls, links to registries, ingresses and the store, round registry.registry."""

from __future__ import annotations

import asyncio
import concurrent.futures

import logbook
import msgspec

from troutdock.settings.boot import Boot
from troutdock.settings.configuration import max_configuration_bytes
from troutdock.rpc.http_calls import HttpServer
from troutdock.rpc.connection import Address, Connector, PeerConnection, Listener, broadcast
from troutdock.rpc.messages import (
    GONE,
    READY,
    Config,
    Fresh,
    Hello,
    Instance,
    Member,
    Message,
    Read,
    ReadAck,
    Write,
    WriteAck,
    body_digest,
)
from troutdock.registry.control_plane_calls import (
    ConfigurationCalls,
    Failed,
    InstanceCalls,
    Outside,
    SystemCalls,
)
from troutdock.registry.storage import Memory
from troutdock.registry.registry import Action, Borne, Confirmed, Forget, Log, Meet, Registry

log = logbook.Logger("hedgerow")

ROLE, INGRESS, STORE = "hedgerow", "espalier", "rootstock"
PORT, STORE_PORT = 0, 1  # of the system's own ports
TICK_S = 0.1
HELD = 4  # of the longest configuration: bytes of all bodies that are not answered
CALL_S = 0.9  # for the store's answer: callers go elsewhere after a second of silence
DISK_S = 1.0  # at the start, for the disk to be read; a slower one is merged once it is
REOPEN_S = 0.5  # between two tries of a disk that can't be read
AROUND = b" \t\r\n"  # what may stand around a JSON body: no part of it, and lost on the wire


class _Call:
    """One call to the store: its answer comes on the link that it went out on, and in no other life."""

    def __init__(self, link: PeerConnection, answer: asyncio.Future[WriteAck | ReadAck | None]) -> None:
        self.link, self.answer = link, answer


class Daemon:
    """One process of the registry; it belongs to the event loop that runs."""

    def __init__(self, boot: Boot, life: int) -> None:
        self._boot = boot
        self._loop = asyncio.get_running_loop()
        self._hello = Hello(ROLE, boot.name, boot.ip, boot.zone, life)
        values = boot.values
        borne = Borne(
            values["faultTolerance.machines"],
            values["faultTolerance.zones"],
            values["faultTolerance.regions"],
            values["zones"],
        )
        self.registry = Registry(
            self._loop.time(),
            values["heartbeatS"],
            life,
            boot.zone,
            [host for host, _ in boot.seeds if host != boot.ip],
            borne,
            values["bounds.contactS"],
            boot.ip,
        )
        self._registries: dict[str, Connector] = {}
        self._stores: dict[str, Connector] = {}
        self._fresh: dict[PeerConnection, Fresh] = {}  # links to primaries, and what each has told last
        self._contested: dict[
            PeerConnection, Config
        ] = {}  # a store's, of the number held and with another body
        self._calls: dict[int, _Call] = {}
        self._dropped = 0  # answers of the store that belonged to no call
        self._confirms: dict[int, asyncio.Future[Confirmed]] = {}
        self._last = 0
        self._listener = Listener(lambda: PeerConnection(self._hello, self._heard, self._up, self._down))
        instances = InstanceCalls(self, self._known)
        outside = Outside(instances, ConfigurationCalls(self), SystemCalls(self._status))
        bound = max_configuration_bytes(boot.values["limits.memoryMb"])
        self._outside = HttpServer(outside.handle, bound, HELD * bound)
        self._control_port = 0
        self._timer: asyncio.TimerHandle | None = None
        self._memory = Memory(boot.data)
        # what waits for the disk does so beside the loop, one thing at a time
        self._writer = concurrent.futures.ThreadPoolExecutor(1)
        self._read = False  # the disk: nothing is saved before
        self._closed = False

    async def start(self, control: Address, inner: Address) -> tuple[Address, Address]:
        """Open both doors; gives their addresses."""
        read = self._remind()
        bound = await self._listener.listen(inner)
        for host, _ in self._boot.seeds:
            self._meet(host)
        await asyncio.wait([read], timeout=DISK_S)  # others are met meanwhile
        outside = await self._outside.listen(control)
        self._control_port = outside[1]
        self._tick()
        log.info("Serves at {}:{}.", *outside)
        return outside, bound

    def _meet(self, ip: str) -> None:
        """Another core machine: its registry is dialled by the lower address, its store by all."""
        if ip not in self._stores:
            self._stores[ip] = Connector(
                (ip, self._boot.port(STORE_PORT)),
                self._hello,
                self._store_says,
                lambda _: None,
                self._store_down,
            )
        seeds = [host for host, _ in self._boot.seeds]
        dials = self._boot.ip not in seeds or self._boot.ip < ip  # of two seeds the lower one
        if dials:
            self._dial(ip)

    def _dial(self, ip: str) -> None:
        if ip != self._boot.ip and ip not in self._registries:
            self._registries[ip] = Connector(
                (ip, self._boot.port(PORT)), self._hello, self._heard, self._up, self._down
            )

    def _part(self, ip: str) -> None:
        """That core machine was removed: it is not dialled any more, unless the settings name it."""
        if all(ip != host for host, _ in self._boot.seeds):
            log.info("Registry {} is not there any more.", ip)
            for dialers in (self._stores, self._registries):
                if (dialer := dialers.pop(ip, None)) is not None:
                    dialer.close()

    # ---- links

    def _up(self, link: PeerConnection) -> None:
        peer, now = link.peer, self._loop.time()
        assert peer is not None
        if peer.role == ROLE:
            self._meet(peer.ip)
            self._carry_out(self.registry.registry_up(now, link, peer.ip, peer.zone))
        elif peer.role == INGRESS:
            member = Member(peer.name, peer.ip, self._boot.port(PORT), peer.zone, peer.life)
            self._carry_out(self.registry.ingress_up(now, link, member))

    def _down(self, link: PeerConnection) -> None:
        now = self._loop.time()
        self._carry_out([*self.registry.registry_down(now, link), *self.registry.ingress_down(now, link)])
        if link.peer is not None and link.peer.role == ROLE and not self._closed:
            self._dial(link.peer.ip)  # it may come back with settings that name nobody who is there

    def _heard(self, link: PeerConnection, message: Message) -> None:
        self._carry_out(self.registry.hear(self._loop.time(), link, message))

    def _store_down(self, link: PeerConnection) -> None:
        """That store's link has ended: its calls fail at once."""
        self._contested.pop(link, None)
        for call in self._calls.values():
            if call.link is link and not call.answer.done():
                call.answer.set_result(None)
        self._leads_no_more(link)

    def _leads_no_more(self, link: PeerConnection) -> None:
        """What that store was asked before it may still answer, often after a tenth of a second."""
        if self._fresh.pop(link, None) is not None:
            self._told_contact()

    def _told_contact(self) -> None:
        primary = self._primary()
        had = self.registry.contact
        told = self._fresh[primary] if primary is not None else None
        self._carry_out(self.registry.primary(self._loop.time(), told))
        if primary is None and had:
            log.warning("Out of contact: no store that is linked leads with a majority.")
        elif primary is not None and primary.peer is not None and not had:
            log.info("In contact: {} leads.", primary.peer.name)

    def _store_says(self, link: PeerConnection, message: Message) -> None:
        match message:
            case Fresh(True):
                self._fresh.pop(link, None)
                self._fresh[link] = message  # who said so last is the primary
                if (contested := self._contested.pop(link, None)) is not None:
                    self._carry_out(self.registry.take_config(contested, True))
                self._told_contact()
            case Fresh():
                self._leads_no_more(link)
            case Config():
                self._contested.pop(link, None)
                held, leads = self.registry.config, link is self._primary()
                self._carry_out(self.registry.take_config(message, leads))
                if held is not None and held is self.registry.config and message.version == held.version:
                    if not leads and body_digest(message.body) != held.digest:
                        self._contested[link] = message  # should it turn out to lead
                elif leads:
                    self._told_contact()
            case WriteAck() | ReadAck():
                self._answered(link, message)
            case _:
                pass

    def _answered(self, link: PeerConnection, answer: WriteAck | ReadAck) -> None:
        call = self._calls.get(answer.number)
        if call is None or call.link is not link or answer.life != self._hello.life:
            self._dropped += 1
        elif not call.answer.done():
            call.answer.set_result(answer)

    def _tick(self) -> None:
        self._carry_out(self.registry.tick(self._loop.time()))
        self._save()
        self._timer = self._loop.call_later(TICK_S, self._tick)

    def _remind(self) -> asyncio.Future[None]:
        """Read what the disk has kept; it is tried again until the disk lets it."""
        done = self._loop.create_future()

        def opened(read: asyncio.Future[list[Instance] | None]) -> None:
            if self._closed or read.cancelled():
                return
            if not done.done():
                done.set_result(None)
            if (entries := read.result()) is None:
                self._loop.call_later(REOPEN_S, self._remind)
                return
            self._read = True
            self._carry_out(self.registry.remembered(self._loop.time(), entries))
            if entries:
                gone = sum(entry.state == GONE for entry in entries)
                log.info("Remembers {} backends, and {} that are gone.", len(entries) - gone, gone)

        if not self._closed:
            self._loop.run_in_executor(self._writer, self._memory.open).add_done_callback(opened)
        return done

    def _save(self) -> None:
        """Write down what has changed, beside the loop: a disk that hangs holds up nothing else."""
        if not self._read or (batch := self.registry.take_save(self._loop.time())) is None:
            return

        def saved(written: asyncio.Future[bool]) -> None:
            if self._closed or written.cancelled():
                return
            self._carry_out(self.registry.saved(self._loop.time(), written.result()))

        self._loop.run_in_executor(
            self._writer, self._memory.save, batch.entries, batch.dropped, batch.whole
        ).add_done_callback(saved)

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Confirmed):
                if (waiting := self._confirms.pop(action.number, None)) is not None and not waiting.done():
                    waiting.set_result(action)
            elif isinstance(action, Log):
                log.error("{}", action.text)
            elif isinstance(action, Meet):
                for ip in action.ips:
                    self._meet(ip)
            elif isinstance(action, Forget):
                self._part(action.ip)
            elif action.to is None:
                links = [link for link in self.registry.ingresses if isinstance(link, PeerConnection)]
                broadcast(links, action.message)
            else:
                assert isinstance(action.to, PeerConnection)
                action.to.send(action.message)
        if self.registry.urgent:
            self._save()

    # ---- control_plane_calls.Registry

    def _known(self, id: str) -> Instance | None:
        entry = self.registry.book.entries.get(id)
        return entry.told(self._loop.time()) if entry is not None else None

    async def beat(self, instance: Instance, count: int) -> str | Failed:
        number, actions = self.registry.beat(self._loop.time(), instance, count)
        confirmed: asyncio.Future[Confirmed] | None = None
        if number:
            confirmed = self._confirms[number] = self._loop.create_future()
        self._carry_out(actions)
        if confirmed is not None:
            found = await confirmed
            if not found.ok:
                return Failed(503, found.why)
            log.info(
                "{}: {} of {}.",
                ("available", "drains", "is gone")[instance.state],
                instance.id,
                instance.service or "a service that is not known here",
            )
        ip = self.registry.target(self._loop.time(), instance.zone)
        if not ip and instance.state == READY and self.registry.away(self._loop.time()):
            return Failed(503, "this registry is cut off from most others: they can't hear of it")
        return f"{ip}:{self._control_port}" if ip else ""

    def _status(self) -> dict[str, object]:
        primary = self._primary()
        name = primary.peer.name if primary is not None and primary.peer is not None else ""
        return {
            "node": self._boot.name,
            "primary": name,
            "droppedAnswers": {"store": self._dropped, "registries": self.registry.dropped},
            "contactSinceS": round(self._loop.time() - self.registry.contact_at, 1),
            **self.registry.status(),
        }

    def _primary(self) -> PeerConnection | None:
        return next(reversed(self._fresh), None)

    async def _ask(self, message: Write | Read) -> WriteAck | ReadAck | None:
        link = self._primary()
        if link is None or not link.send(message):
            return None
        call = self._calls[message.number] = _Call(link, self._loop.create_future())
        try:
            async with asyncio.timeout(CALL_S):
                return await call.answer
        except TimeoutError:
            return None
        finally:
            self._calls.pop(message.number, None)

    def _next(self) -> int:
        self._last += 1
        return self._last

    async def put(self, version: int, body: bytes) -> Failed | None:
        body = body.strip(AROUND)
        asked = Write(self._next(), version, msgspec.Raw(body), self._hello.life, body_digest(body))
        answer = await self._ask(asked)
        if isinstance(answer, WriteAck):
            if answer.conflict:
                log.warning("Write r{}: its number is taken by another body, {}.", version, answer.digest)
                why = answer.why or "this revision is taken by another configuration"
                return Failed(409, why, version, answer.digest)
            log.info("Write r{}: {}.", version, "kept" if answer.ok else answer.why)
            return None if answer.ok else Failed(503, answer.why)
        log.warning("Write r{}: no answer of the store.", version)
        return self._no_answer()

    def _no_answer(self) -> Failed:
        there = "the store does not answer"
        return Failed(503, there if self.registry.contact else "out of contact with the store's primary")

    async def newest(self) -> tuple[int, bytes] | Failed:
        answer = await self._ask(Read(self._next(), self._hello.life))
        if isinstance(answer, ReadAck) and answer.version >= 0:
            return answer.version, bytes(answer.body)
        return Failed(503, answer.why) if isinstance(answer, ReadAck) else self._no_answer()

    def close(self) -> None:
        """End in order; harmless twice."""
        if self._closed:
            return
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._outside.close()
        self._listener.close()
        for dialer in (*self._registries.values(), *self._stores.values()):
            dialer.close()
        self._writer.submit(self._memory.close)
        self._writer.shutdown()
