"""The store's process: connects the Replica state machine to the network, the disk and the clock."""

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
from troutdock.config_store.replica import EVENTS, Replica, trace_header
from troutdock.config_store.replica_state import Action, FaultTolerance, Committed, Log, Save, Send

log = logbook.Logger("rootstock")

ROLE = "rootstock"
PORT = 1  # index in the range of internal ports
TICK_INTERVAL_S = 0.05
FLUSH_S = 0.05  # for the last messages to be sent
SHUTDOWN_RESERVE_S = 0.6  # part of the grace period that is reserved for closing
REOPEN_INTERVAL_S = 0.5  # between attempts to open a failing disk
_REPLICA_MESSAGES = (Status, Prepare, Promise, Replicate, ReplicateAck, Accept, Accepted, Probe, ProbeAck)


class Store:
    """One process of the store; it belongs to the running event loop."""

    def __init__(self, boot: Boot, incarnation: int) -> None:
        self._boot = boot
        self.me = boot.ip
        self._hello = Hello(ROLE, boot.name, boot.ip, boot.zone, incarnation)
        self._seeds = [host for host, _ in boot.seeds]
        self._disk = Disk(boot.data)
        self._replica: Replica | None = None
        values = boot.values
        self._tolerance = FaultTolerance(
            values["faultTolerance.machines"],
            values["faultTolerance.zones"],
            values["faultTolerance.regions"],
            values["bounds.syncTimeS"],
            values["bounds.graceS"],
        )
        self._domains = {boot.ip: self._domain(boot.zone)}
        self._connectors: dict[str, Connector] = {}
        self._registries: dict[PeerConnection, str] = {}  # with the name by which the replica knows each
        # by that name: an answer is sent only on the connection of its request
        self._callers: dict[str, PeerConnection] = {}
        self._last_caller_number = 0
        self._listener = Listener(self._accept_connection)
        self._timer: asyncio.TimerHandle | None = None
        self._config = Config(0, NO_BODY)  # newest committed one that this machine has led
        self._first_start = boot.bootstrap
        self._fresh = False
        trace = boot.values["traceFile"]
        self._trace = Path(trace) if trace else None
        self._replica_count = 0  # replicas created in this process, for trace file names

    async def start(self, address: Address) -> Address:
        """Opens the disk and listens on the address; returns the bound address."""
        self._open_disk()
        bound = await self._listener.listen(address)
        for seed in self._seeds:
            self.add_peer(seed, bound[1])
        self._tick()
        return bound

    def _open_disk(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            durable = self._disk.open()
        except DiskError as error:
            log.error("Disk: {}. Retrying.", error)
            loop.call_later(REOPEN_INTERVAL_S, self._open_disk)
            return
        if self._disk.quarantined is not None:
            log.error("Disk: a damaged file was renamed to {}.", self._disk.quarantined.name)
            self._disk.quarantined = None
        first_start, self._first_start = self._first_start, False
        now = loop.time()
        incarnation = self._hello.life
        replica = Replica(self.me, self._seeds, durable, first_start, now, self._tolerance, incarnation)
        if self._trace is not None:
            header = trace_header(
                self.me, self._seeds, durable, first_start, now, self._tolerance, incarnation
            )
            replica = self._record_trace(replica, self._trace, header)
        self._replica = replica
        for ip in (self.me, *self._connectors):
            replica.meet(ip, self._domains.get(ip, ""))
        self._execute(self._replica.take())

    def _domain(self, zone: str) -> str:
        """Failure domain of a zone: its region if the loss of a region must be tolerated, else the zone."""
        values = self._boot.values
        return values["zones"].get(zone, zone) if values["faultTolerance.regions"] else zone

    def _record_trace(self, replica: Replica, path: Path, header: dict[str, Any]) -> Replica:
        self._replica_count += 1
        path = path.with_name(f"{path.name}.{self._hello.life}.{self._replica_count}")
        try:
            return record_events(replica, path, header, EVENTS)
        except OSError as error:
            log.warning("Trace file cannot be written: {}", error)
            return replica

    def add_peer(self, ip: str, port: int) -> None:
        """Connects to another store machine."""
        if ip == self.me or ip in self._connectors:
            return
        self._connectors[ip] = Connector((ip, port), self._hello, self._on_message, self._on_connected)
        if self._replica is not None:
            self._replica.meet(ip, self._domains.get(ip, ""))

    def _accept_connection(self) -> PeerConnection:
        return PeerConnection(self._hello, self._on_message, self._on_connected, self._on_closed)

    def _on_connected(self, connection: PeerConnection) -> None:
        peer = connection.peer
        assert peer is not None
        if peer.role == ROLE:
            domain = self._domain(peer.zone)
            if self._domains.get(peer.ip) != domain:
                self._domains[peer.ip] = domain
                if self._replica is not None:
                    self._replica.meet(peer.ip, domain)
            self.add_peer(peer.ip, self._boot.port(PORT))
            connector = self._connectors.get(peer.ip)
            if self._replica is not None and connector is not None and connector.connection is connection:
                self._execute(self._replica.linked(asyncio.get_running_loop().time(), peer.ip))
            return
        self._last_caller_number += 1
        name = self._registries[connection] = f"@{peer.ip}#{peer.life}/{self._last_caller_number}"
        self._callers[name] = connection
        connection.send(Fresh(self._fresh, self._config.version, self._config.digest))
        self._send_config(connection)

    def _on_closed(self, connection: PeerConnection) -> None:
        if (name := self._registries.pop(connection, None)) is not None:
            del self._callers[name]

    def _on_message(self, connection: PeerConnection, message: Message) -> None:
        if self._replica is None or connection.peer is None:
            return
        now = asyncio.get_running_loop().time()
        if connection.peer.role == ROLE:
            if isinstance(message, _REPLICA_MESSAGES):
                self._execute(self._replica.hear(now, connection.peer.ip, message))
        elif isinstance(message, Write | Read) and connection in self._registries:
            self._execute(self._replica.hear(now, self._registries[connection], message))

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        if self._replica is not None:
            self._execute(self._replica.tick(loop.time()))
        if self._replica is not None:
            for ip in self._replica.members:
                self.add_peer(ip, self._boot.port(PORT))
        self._notify_fresh()
        self._timer = loop.call_later(TICK_INTERVAL_S, self._tick)

    def _notify_fresh(self) -> None:
        """Notifies registries when this machine becomes, or ceases to be, a primary with a majority."""
        fresh = self._replica is not None and self._replica.status.active
        if fresh != self._fresh:
            self._fresh = fresh
            broadcast(list(self._registries), Fresh(fresh, self._config.version, self._config.digest))

    def _send_config(self, connection: PeerConnection) -> None:
        if self._config.version:
            connection.send(self._config)

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Save(durable):
                    try:
                        self._disk.save(durable)
                    except DiskError as error:
                        # the following messages must not be sent: they depend on state that was not stored
                        log.error(
                            "Disk: {}. This replica is inactive until the disk can be read again.", error
                        )
                        self._replica = None
                        self._notify_fresh()
                        asyncio.get_running_loop().call_later(REOPEN_INTERVAL_S, self._open_disk)
                        return
                case Send(to, message):
                    if to == self.me:
                        continue
                    if to.startswith("@"):
                        if (connection := self._callers.get(to)) is not None:
                            connection.send(message)
                    elif (connector := self._connectors.get(to)) is not None:
                        connector.send(message)
                case Committed(version, body):
                    self._config = Config(version, msgspec.Raw(body), body_digest(body))
                    log.info("In force: r{}.", version)
                    registries = list(self._registries)
                    broadcast(registries, self._config)
                    self._fresh = self._replica is not None and self._replica.status.active
                    broadcast(registries, Fresh(self._fresh, version, self._config.digest))
                case Log(text):
                    log.info("{}", text)

    async def leave(self) -> None:
        """Hands over leadership, data and vote to other machines.

        Returns once that is done or the grace period is nearly over; the last messages are sent by then.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + max(0.0, self._tolerance.grace_s - SHUTDOWN_RESERVE_S)
        if self._replica is not None:
            self._execute(self._replica.leave(loop.time()))
        while self._replica is not None and not self._replica.left and loop.time() < deadline:
            await asyncio.sleep(TICK_INTERVAL_S)
        if self._replica is not None and not self._replica.left:
            log.warning("Grace period is over, but the handover is not complete.")
        if self._timer is not None:
            self._timer.cancel()
        self._replica = None
        await asyncio.sleep(FLUSH_S)

    def close(self) -> None:
        """Closes all connections and the disk."""
        if self._timer is not None:
            self._timer.cancel()
        self._listener.close()
        for connector in self._connectors.values():
            connector.close()
        self._disk.close()
