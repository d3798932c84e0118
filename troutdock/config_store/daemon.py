"""The store's loop: links of replicas and registries, the disk, and time, round config_store.replica."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import logbook
import msgspec

from troutdock.settings.boot import Boot
from troutdock.rpc.connection import Address, Connector, PeerConnection, Listener, broadcast
from troutdock.rpc.messages import (
    NO_BODY,
    Accept,
    Accepted,
    Config,
    Fresh,
    Hello,
    Message,
    Prepare,
    Probe,
    ProbeAck,
    Promise,
    Read,
    Replicate,
    ReplicateAck,
    Status,
    Write,
    body_digest,
)
from troutdock.rpc.event_trace import record_events
from troutdock.config_store.storage import Disk, DiskError
from troutdock.config_store.replica import EVENTS, Replica, made_of
from troutdock.config_store.replica_state import Action, Bounds, InForce, Log, Save, Send

log = logbook.Logger("rootstock")

ROLE = "rootstock"
PORT = 1  # of the system's own ports
TICK_S = 0.05
SAID_S = 0.05  # for the last word to leave the process
LEFT_S = 0.6  # of the grace: kept for the end itself
REOPEN_S = 0.5  # between two tries of a disk that refuses
_OF_REPLICAS = (Status, Prepare, Promise, Replicate, ReplicateAck, Accept, Accepted, Probe, ProbeAck)


class Store:
    """One process of the store; it belongs to the event loop that runs."""

    def __init__(self, boot: Boot, life: int) -> None:
        self._boot = boot
        self.me = boot.ip
        self._hello = Hello(ROLE, boot.name, boot.ip, boot.zone, life)
        self._seeds = [host for host, _ in boot.seeds]
        self._disk = Disk(boot.data)
        self._replica: Replica | None = None
        values = boot.values
        self._bounds = Bounds(
            values["faultTolerance.machines"],
            values["faultTolerance.zones"],
            values["faultTolerance.regions"],
            values["bounds.syncTimeS"],
            values["bounds.graceS"],
        )
        self._places = {boot.ip: self._place(boot.zone)}
        self._dialers: dict[str, Connector] = {}
        self._registries: dict[PeerConnection, str] = {}  # and the name that the replica knows each by
        self._callers: dict[
            str, PeerConnection
        ] = {}  # by that name: an answer goes to the link that asked, or nowhere
        self._last_caller = 0
        self._listener = Listener(self._accepted)
        self._timer: asyncio.TimerHandle | None = None
        self._config = Config(0, NO_BODY)  # in force, as this machine has led it
        self._first = boot.bootstrap
        self._fresh = False
        trace = boot.values["traceFile"]
        self._trace = Path(trace) if trace else None
        self._lives = 0  # of replicas in this process

    async def start(self, address: Address) -> Address:
        """Open the disk and the door; gives the address."""
        self._open_disk()
        bound = await self._listener.listen(address)
        for seed in self._seeds:
            self.meet(seed, bound[1])
        self._tick()
        return bound

    def _open_disk(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            kept = self._disk.open()
        except DiskError as error:
            log.error("Disk: {}. It is tried again.", error)
            loop.call_later(REOPEN_S, self._open_disk)
            return
        if self._disk.set_aside is not None:
            log.error("Disk: a damaged file was set aside as {}.", self._disk.set_aside.name)
            self._disk.set_aside = None
        first, self._first = self._first, False
        now = loop.time()
        life = self._hello.life
        replica = Replica(self.me, self._seeds, kept, first, now, self._bounds, life)
        if self._trace is not None:
            made = made_of(self.me, self._seeds, kept, first, now, self._bounds, life)
            replica = self._traced(replica, self._trace, made)
        self._replica = replica
        for ip in (self.me, *self._dialers):
            replica.meet(ip, self._places.get(ip, ""))
        self._carry_out(self._replica.take())

    def _place(self, zone: str) -> str:
        """Where a zone's machines may be lost together: the region where the loss of one is to be borne."""
        values = self._boot.values
        return values["zones"].get(zone, zone) if values["faultTolerance.regions"] else zone

    def _traced(self, replica: Replica, path: Path, made: dict[str, Any]) -> Replica:
        self._lives += 1
        path = path.with_name(f"{path.name}.{self._hello.life}.{self._lives}")
        try:
            return record_events(replica, path, made, EVENTS)
        except OSError as error:
            log.warning("No trace: {}", error)
            return replica

    def meet(self, ip: str, port: int) -> None:
        """Another machine of the core."""
        if ip == self.me or ip in self._dialers:
            return
        self._dialers[ip] = Connector((ip, port), self._hello, self._heard, self._up)
        if self._replica is not None:
            self._replica.meet(ip, self._places.get(ip, ""))

    def _accepted(self) -> PeerConnection:
        return PeerConnection(self._hello, self._heard, self._up, self._down)

    def _up(self, link: PeerConnection) -> None:
        peer = link.peer
        assert peer is not None
        if peer.role == ROLE:
            place = self._place(peer.zone)
            if self._places.get(peer.ip) != place:
                self._places[peer.ip] = place
                if self._replica is not None:
                    self._replica.meet(peer.ip, place)
            self.meet(peer.ip, self._boot.port(PORT))
            dialer = self._dialers.get(peer.ip)
            if self._replica is not None and dialer is not None and dialer.connection is link:
                self._carry_out(self._replica.linked(asyncio.get_running_loop().time(), peer.ip))
            return
        self._last_caller += 1
        name = self._registries[link] = f"@{peer.ip}#{peer.life}/{self._last_caller}"
        self._callers[name] = link
        link.send(Fresh(self._fresh, self._config.version, self._config.digest))
        self._show(link)

    def _down(self, link: PeerConnection) -> None:
        if (name := self._registries.pop(link, None)) is not None:
            del self._callers[name]

    def _heard(self, link: PeerConnection, message: Message) -> None:
        if self._replica is None or link.peer is None:
            return
        now = asyncio.get_running_loop().time()
        if link.peer.role == ROLE:
            if isinstance(message, _OF_REPLICAS):
                self._carry_out(self._replica.hear(now, link.peer.ip, message))
        elif isinstance(message, Write | Read) and link in self._registries:
            self._carry_out(self._replica.hear(now, self._registries[link], message))

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        if self._replica is not None:
            self._carry_out(self._replica.tick(loop.time()))
        if self._replica is not None:
            for ip in self._replica.core:
                self.meet(ip, self._boot.port(PORT))
        self._tell_fresh()
        self._timer = loop.call_later(TICK_S, self._tick)

    def _tell_fresh(self) -> None:
        """Registries are told whether this is the primary, and reaches a majority."""
        fresh = self._replica is not None and self._replica.status.active
        if fresh != self._fresh:
            self._fresh = fresh
            broadcast(list(self._registries), Fresh(fresh, self._config.version, self._config.digest))

    def _show(self, link: PeerConnection) -> None:
        if self._config.version:
            link.send(self._config)

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Save(kept):
                    try:
                        self._disk.save(kept)
                    except DiskError as error:
                        # nothing that follows may be said: it would speak of what was not kept
                        log.error("Disk: {}. This copy takes no part until it is read again.", error)
                        self._replica = None
                        self._tell_fresh()
                        asyncio.get_running_loop().call_later(REOPEN_S, self._open_disk)
                        return
                case Send(to, message):
                    if to == self.me:
                        continue
                    if to.startswith("@"):
                        if (link := self._callers.get(to)) is not None:
                            link.send(message)
                    elif (dialer := self._dialers.get(to)) is not None:
                        dialer.send(message)
                case InForce(version, body):
                    self._config = Config(version, msgspec.Raw(body), body_digest(body))
                    log.info("In force: r{}.", version)
                    links = list(self._registries)
                    broadcast(links, self._config)
                    self._fresh = self._replica is not None and self._replica.status.active
                    broadcast(links, Fresh(self._fresh, version, self._config.digest))
                case Log(text):
                    log.info("{}", text)

    async def leave(self) -> None:
        """Hand over what this copy has: its duty, its copy, its vote.

        Returns once that is done, or the grace is nearly over; what it said last is out by then.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + max(0.0, self._bounds.grace_s - LEFT_S)
        if self._replica is not None:
            self._carry_out(self._replica.leave(loop.time()))
        while self._replica is not None and not self._replica.left and loop.time() < until:
            await asyncio.sleep(TICK_S)
        if self._replica is not None and not self._replica.left:
            log.warning("Grace is over, and not all is handed over.")
        if self._timer is not None:
            self._timer.cancel()
        self._replica = None
        await asyncio.sleep(SAID_S)

    def close(self) -> None:
        """End in order."""
        if self._timer is not None:
            self._timer.cancel()
        self._listener.close()
        for dialer in self._dialers.values():
            dialer.close()
        self._disk.close()
