"""The registry process: connects the state machine of registry.registry to sockets, disk and timers."""

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
    CallFailure,
    InstanceCalls,
    ControlPlaneRouter,
    SystemCalls,
)
from troutdock.registry.order_validation import OrderValidator
from troutdock.registry.shared_read import SharedRead
from troutdock.registry.storage import InstanceStorage
from troutdock.registry.registry import (
    Action,
    FaultTolerance,
    RequestCompleted,
    RegistryRemoved,
    LogError,
    RegistriesFound,
    Registry,
)

log = logbook.Logger("hedgerow")

ROLE, INGRESS_ROLE, STORE_ROLE = "hedgerow", "espalier", "rootstock"
PORT_OFFSET, STORE_PORT_OFFSET = 0, 1  # from the start of the internal port range
TICK_INTERVAL_S = 0.1
MAX_BUFFERED_CONFIGURATIONS = 4  # limit for all buffered request bodies, in largest configurations
STORE_TIMEOUT_S = 0.9  # for the store's response; clients try another machine after 1 s
MIN_BYTES_PER_S = 2e6  # slowest expected transfer of a configuration to the store's disks
DISK_READ_TIMEOUT_S = 1.0  # wait for the disk at start-up; a later result is merged when it arrives
REOPEN_INTERVAL_S = 0.5  # between two attempts to read the disk
JSON_WHITESPACE = b" \t\r\n"  # removed around a JSON body: a message loses it


class _StoreCall:
    """A call to the store. Its response counts only on the same connection and for this incarnation."""

    def __init__(
        self, connection: PeerConnection, response: asyncio.Future[WriteAck | ReadAck | None]
    ) -> None:
        self.connection, self.response = connection, response


class Daemon:
    """One registry process, bound to the running event loop."""

    def __init__(self, boot: Boot, incarnation: int) -> None:
        self._boot = boot
        self._loop = asyncio.get_running_loop()
        self._hello = Hello(ROLE, boot.name, boot.ip, boot.zone, incarnation)
        values = boot.values
        tolerance = FaultTolerance(
            values["faultTolerance.machines"],
            values["faultTolerance.zones"],
            values["faultTolerance.regions"],
            values["zones"],
        )
        self.registry = Registry(
            self._loop.time(),
            values["heartbeatS"],
            incarnation,
            boot.zone,
            [host for host, _ in boot.seeds if host != boot.ip],
            tolerance,
            values["bounds.contactS"],
            boot.ip,
        )
        self._registries: dict[str, Connector] = {}
        self._stores: dict[str, Connector] = {}
        self._primaries: dict[PeerConnection, Fresh] = {}  # connections of primaries, with their last report
        # by store: a configuration with the current version and another body
        self._conflicting_configs: dict[PeerConnection, Config] = {}
        self._store_calls: dict[int, _StoreCall] = {}
        self._shared_read = SharedRead(self._read_newest)
        self._last_read_body = b""
        self._dropped_responses = 0  # responses of the store that belonged to no call
        self._waiters: dict[int, asyncio.Future[RequestCompleted]] = {}
        self._last_number = 0
        self._listener = Listener(
            lambda: PeerConnection(self._hello, self._on_message, self._on_connected, self._on_disconnected)
        )
        instances = InstanceCalls(self, self._lookup)
        self._validator = OrderValidator()
        configuration = ConfigurationCalls(self, self._validator)
        router = ControlPlaneRouter(instances, configuration, SystemCalls(self._status))
        max_body = max_configuration_bytes(boot.values["limits.memoryMb"])
        self._control_server = HttpServer(router.handle, max_body, MAX_BUFFERED_CONFIGURATIONS * max_body)
        self._control_port = 0
        self._timer: asyncio.TimerHandle | None = None
        self._storage = InstanceStorage(boot.data)
        # disk operations run in a thread, one at a time
        self._writer = concurrent.futures.ThreadPoolExecutor(1)
        self._disk_read = False  # nothing is saved before the disk has been read
        self._closed = False

    async def start(self, control: Address, internal: Address) -> tuple[Address, Address]:
        """Starts to listen.

        Args:
            control: Address of the control-plane HTTP server.
            internal: Address for connections of other processes of the system.

        Returns:
            The addresses that the control-plane server and the internal listener are bound to.
        """
        read = self._load()
        address = await self._listener.listen(internal)
        for host, _ in self._boot.seeds:
            self._add_machine(host)
        # connections to other machines are set up meanwhile
        await asyncio.wait([read], timeout=DISK_READ_TIMEOUT_S)
        control_address = await self._control_server.listen(control)
        self._control_port = control_address[1]
        self._tick()
        log.info("Control plane listens at {}:{}.", *control_address)
        return control_address, address

    def _add_machine(self, ip: str) -> None:
        """Connects to another core machine.

        Every registry connects to every store. Of two registries, the one with the lower address connects.
        """
        if ip not in self._stores:
            self._stores[ip] = Connector(
                (ip, self._boot.port(STORE_PORT_OFFSET)),
                self._hello,
                self._on_store_message,
                lambda _: None,
                self._on_store_disconnected,
            )
        seeds = [host for host, _ in self._boot.seeds]
        # of two seeds, the one with the lower address connects
        initiates = self._boot.ip not in seeds or self._boot.ip < ip
        if initiates:
            self._connect_registry(ip)

    def _connect_registry(self, ip: str) -> None:
        if ip != self._boot.ip and ip not in self._registries:
            self._registries[ip] = Connector(
                (ip, self._boot.port(PORT_OFFSET)),
                self._hello,
                self._on_message,
                self._on_connected,
                self._on_disconnected,
            )

    def _remove_machine(self, ip: str) -> None:
        """Closes the connections to a core machine that was removed, unless the settings name it."""
        if all(ip != host for host, _ in self._boot.seeds):
            log.info("Registry {} was removed.", ip)
            for connectors in (self._stores, self._registries):
                if (connector := connectors.pop(ip, None)) is not None:
                    connector.close()

    # ---- connections

    def _on_connected(self, connection: PeerConnection) -> None:
        peer, now = connection.peer, self._loop.time()
        assert peer is not None
        if peer.role == ROLE:
            self._add_machine(peer.ip)
            self._perform(self.registry.registry_up(now, connection, peer.ip, peer.zone))
        elif peer.role == INGRESS_ROLE:
            member = Member(peer.name, peer.ip, self._boot.port(PORT_OFFSET), peer.zone, peer.life)
            self._perform(self.registry.ingress_up(now, connection, member))

    def _on_disconnected(self, connection: PeerConnection) -> None:
        now = self._loop.time()
        self._perform(
            [*self.registry.registry_down(now, connection), *self.registry.ingress_down(now, connection)]
        )
        if connection.peer is not None and connection.peer.role == ROLE and not self._closed:
            self._connect_registry(connection.peer.ip)  # its settings may name no machine that is running

    def _on_message(self, connection: PeerConnection, message: Message) -> None:
        self._perform(self.registry.receive(self._loop.time(), connection, message))

    def _on_store_disconnected(self, connection: PeerConnection) -> None:
        """Fails the calls to a store as soon as its connection has ended."""
        self._conflicting_configs.pop(connection, None)
        for call in self._store_calls.values():
            if call.connection is connection and not call.response.done():
                call.response.set_result(None)
        self._on_primary_lost(connection)

    def _on_primary_lost(self, connection: PeerConnection) -> None:
        """Handles a store that is no longer the primary; it may still respond to earlier calls."""
        if self._primaries.pop(connection, None) is not None:
            self._update_contact()

    def _update_contact(self) -> None:
        primary = self._primary()
        had_contact = self.registry.contact
        reported = self._primaries[primary] if primary is not None else None
        self._perform(self.registry.set_primary_status(self._loop.time(), reported))
        if primary is None and had_contact:
            log.warning("Out of contact: no connected store is the primary of a majority.")
        elif primary is not None and primary.peer is not None and not had_contact:
            log.info("In contact: {} is the primary.", primary.peer.name)

    def _on_store_message(self, connection: PeerConnection, message: Message) -> None:
        match message:
            case Fresh(True):
                self._primaries.pop(connection, None)
                self._primaries[connection] = message  # the last store to report it is the primary
                if (conflict := self._conflicting_configs.pop(connection, None)) is not None:
                    self._perform(self.registry.apply_config(conflict, True))
                self._update_contact()
            case Fresh():
                self._on_primary_lost(connection)
            case Config():
                self._conflicting_configs.pop(connection, None)
                current, leads = self.registry.config, connection is self._primary()
                self._perform(self.registry.apply_config(message, leads))
                if (
                    current is not None
                    and current is self.registry.config
                    and message.version == current.version
                ):
                    if not leads and body_digest(message.body) != current.digest:
                        # applied if that store becomes the primary
                        self._conflicting_configs[connection] = message
                elif leads:
                    self._update_contact()
            case WriteAck() | ReadAck():
                self._on_store_response(connection, message)
            case _:
                pass

    def _on_store_response(self, connection: PeerConnection, response: WriteAck | ReadAck) -> None:
        call = self._store_calls.get(response.number)
        if call is None or call.connection is not connection or response.life != self._hello.life:
            self._dropped_responses += 1
        elif not call.response.done():
            call.response.set_result(response)

    def _tick(self) -> None:
        self._perform(self.registry.tick(self._loop.time()))
        self._save()
        self._timer = self._loop.call_later(TICK_INTERVAL_S, self._tick)

    def _load(self) -> asyncio.Future[None]:
        """Reads the disk, and repeats it until it succeeds; the result is done after the first attempt."""
        done = self._loop.create_future()

        def on_loaded(read: asyncio.Future[list[Instance] | None]) -> None:
            if self._closed or read.cancelled():
                return
            if not done.done():
                done.set_result(None)
            if (entries := read.result()) is None:
                self._loop.call_later(REOPEN_INTERVAL_S, self._load)
                return
            self._disk_read = True
            self._perform(self.registry.restore(self._loop.time(), entries))
            if entries:
                gone = sum(entry.state == GONE for entry in entries)
                log.info("Read {} backends and {} tombstones from the disk.", len(entries) - gone, gone)

        if not self._closed:
            self._loop.run_in_executor(self._writer, self._storage.load).add_done_callback(on_loaded)
        return done

    def _save(self) -> None:
        """Saves changes in a thread, so that a slow disk does not block the event loop."""
        if not self._disk_read or (batch := self.registry.next_batch(self._loop.time())) is None:
            return

        def on_saved(result: asyncio.Future[bool]) -> None:
            if self._closed or result.cancelled():
                return
            self._perform(self.registry.on_saved(self._loop.time(), result.result()))

        self._loop.run_in_executor(
            self._writer, self._storage.save, batch.entries, batch.deleted, batch.full
        ).add_done_callback(on_saved)

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, RequestCompleted):
                if (waiting := self._waiters.pop(action.number, None)) is not None and not waiting.done():
                    waiting.set_result(action)
            elif isinstance(action, LogError):
                log.error("{}", action.text)
            elif isinstance(action, RegistriesFound):
                for ip in action.ips:
                    self._add_machine(ip)
            elif isinstance(action, RegistryRemoved):
                self._remove_machine(action.ip)
            elif action.to is None:
                connections = [
                    connection
                    for connection in self.registry.ingresses
                    if isinstance(connection, PeerConnection)
                ]
                broadcast(connections, action.message)
            else:
                assert isinstance(action.to, PeerConnection)
                action.to.send(action.message)
        if self.registry.save_urgent:
            self._save()

    # ---- control_plane_calls.Registry

    def _lookup(self, id: str) -> Instance | None:
        entry = self.registry.endpoints.entries.get(id)
        return entry.to_instance(self._loop.time()) if entry is not None else None

    async def heartbeat(self, instance: Instance, count: int) -> str | CallFailure:
        number, actions = self.registry.heartbeat(self._loop.time(), instance, count)
        confirmed: asyncio.Future[RequestCompleted] | None = None
        if number:
            confirmed = self._waiters[number] = self._loop.create_future()
        self._perform(actions)
        if confirmed is not None:
            result = await confirmed
            if not result.ok:
                return CallFailure(503, result.why)
            log.info(
                "{}: {} of {}.",
                ("available", "draining", "gone")[instance.state],
                instance.id,
                instance.service or "an unknown service",
            )
        ip = self.registry.redirect_target(self._loop.time(), instance.zone)
        if not ip and instance.state == READY and self.registry.is_isolated(self._loop.time()):
            return CallFailure(503, "this registry is disconnected from most other registries")
        return f"{ip}:{self._control_port}" if ip else ""

    def _status(self) -> dict[str, object]:
        primary = self._primary()
        name = primary.peer.name if primary is not None and primary.peer is not None else ""
        return {
            "node": self._boot.name,
            "primary": name,
            "droppedAnswers": {"store": self._dropped_responses, "registries": self.registry.dropped_acks},
            "contactSinceS": round(self._loop.time() - self.registry.contact_changed_at, 1),
            **self.registry.status(),
        }

    def _primary(self) -> PeerConnection | None:
        return next(reversed(self._primaries), None)

    async def _call_store(
        self, message: Write | Read, timeout_s: float = STORE_TIMEOUT_S
    ) -> WriteAck | ReadAck | None:
        connection = self._primary()
        if connection is None or not connection.send(message):
            return None
        call = self._store_calls[message.number] = _StoreCall(connection, self._loop.create_future())
        try:
            async with asyncio.timeout(timeout_s):
                return await call.response
        except TimeoutError:
            return None
        finally:
            self._store_calls.pop(message.number, None)

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    async def store_configuration(self, version: int, body: bytes) -> CallFailure | None:
        body = body.strip(JSON_WHITESPACE)
        request = Write(self._next_number(), version, msgspec.Raw(body), self._hello.life, body_digest(body))
        # clients wait longer for an answer to a long body
        timeout_s = STORE_TIMEOUT_S + len(body) / MIN_BYTES_PER_S
        response = await self._call_store(request, timeout_s)
        if isinstance(response, WriteAck):
            if response.conflict:
                log.warning(
                    "Write r{}: the revision is taken by another body, digest {}.", version, response.digest
                )
                why = response.why or "this revision is taken by another configuration"
                return CallFailure(409, why, version, response.digest)
            log.info("Write r{}: {}.", version, "stored" if response.ok else response.why)
            return None if response.ok else CallFailure(503, response.why)
        log.warning("Write r{}: no response from the store.", version)
        return self._no_response()

    def _no_response(self) -> CallFailure:
        why = "no response from the store"
        return CallFailure(503, why if self.registry.contact else "out of contact with the store's primary")

    async def newest_configuration(self) -> tuple[int, bytes] | CallFailure:
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S):
                return await self._shared_read.result()
        except TimeoutError:
            return self._no_response()

    async def _read_newest(self) -> tuple[int, bytes] | CallFailure:
        """Reads from the store. Callers of one version share its bytes, however slowly they take them."""
        response = await self._call_store(Read(self._next_number(), self._hello.life))
        if not isinstance(response, ReadAck):
            return self._no_response()
        if response.version < 0:
            return CallFailure(503, response.why)
        body = bytes(response.body)
        if body != self._last_read_body:
            self._last_read_body = body
        return response.version, self._last_read_body

    def close(self) -> None:
        """Stops the process's servers, connections and timers; may be called more than once."""
        if self._closed:
            return
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._control_server.close()
        self._validator.close()
        self._listener.close()
        for connector in (*self._registries.values(), *self._stores.values()):
            connector.close()
        self._writer.submit(self._storage.close)
        self._writer.shutdown()
