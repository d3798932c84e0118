"""The proxy process: clients, backends, registry updates, other ingresses, readiness and shutdown.

Clients and backends are served by troutdock's engine, HTTP frontend and transport. This module configures
them with the route-based request reader, the classification of backend responses, and the decision module
for several ingresses (admission.proxy_admission).
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Mapping
from math import inf
from random import Random

import logbook

from troutdock.settings.boot import Boot, load_boot
from troutdock.settings.configuration import RejectedConfiguration
from troutdock.settings.table import SettingsError
from troutdock.proxy.config_loader import ConfigLoader, LoadedConfig
from troutdock.proxy.registry_watch import (
    ConfigAction,
    LogMessage,
    BecomeReady,
    ApplyConfig,
    ConfigSelector,
    digests_match,
)
from troutdock.proxy.peer_connections import INGRESS_ROLE, PeerMesh
from troutdock.proxy.registry_connections import RegistryClient
from troutdock.proxy.quota_loop import QuotaLoop
from troutdock.proxy.request_reader import (
    RoutedRequestReader,
    forwarded_response_headers,
    classify_backend_response,
)
from troutdock.proxy.route_table import RouteTable
from troutdock.proxy.load_exchange import LoadUpdate
from troutdock.rpc.http_calls import HttpRequest, HttpServer, HttpResponse
from troutdock.rpc.connection import SILENCE_TIMEOUT_S, Address, PeerConnection
from troutdock.rpc.messages import (
    GONE,
    Config,
    Fresh,
    Hello,
    Instances,
    Members,
    Message,
    Registries,
    Silence,
)
from troutdock.endpoints.endpoint_table import EXPIRY_INTERVALS, EndpointTable, Endpoint
from troutdock.admission.proxy_admission import ProxyAdmission
from troutdock.admission.interface import (
    Actions,
    BackendEntry,
    BackendState,
    IngressMembership,
    Event,
    FleetUpdate,
    ListKind,
    PeerLoad,
    Plan,
    RequestClass,
    Settings,
    BackendSuspected,
    Effect,
)
from troutdock.address import parse_address
from troutdock.engine import Engine
from troutdock.http.body_limits import ByteBudget, body_budget_bytes, max_streams_for
from troutdock.http.listener import Server
from troutdock.http.transport import HttpTransport
from troutdock.overload.lag import EventLoopLag
from troutdock.platform.clock import SystemClock
from troutdock.quota.node import QuotaNode
from troutdock.quota.routes import Peers

log = logbook.Logger("espalier")

RESERVED_DESCRIPTORS = 350  # file descriptors for files, internal connections and listeners
BACKEND_CONNECT_TIMEOUT_S = 0.5
BACKEND_IDLE_TIMEOUT_S = 10.0  # time after which a backend closes an idle connection
LAG_SAMPLE_INTERVAL_S = 0.05  # between two samples of the event loop's lag; each sample wakes the process
SWEEP_INTERVAL_S = 0.25
CLEANUP_INTERVAL_S = 30.0  # between two removals of expired state
SETTINGS_POLL_INTERVAL_S = 2.0  # between two checks of the settings file, which may change without a signal
DRAIN_ACCEPT_S = 2.6  # clients still arrive after SIGTERM: the platform needs two failed readiness checks
MAX_CONFIG_WAIT_S = 0.9  # after the start; clients that wait longer for a configuration get 503
SHUTDOWN_RESERVE_S = 0.4  # part of the grace period that is reserved for the shutdown itself
QUOTA_HANDOVER_S = 0.02  # for the quota buckets to be sent before the connections are closed
BACKEND_STATES = {0: BackendState.READY, 1: BackendState.DRAINING, 2: BackendState.GONE}
EMPTY_SETTINGS = Settings(
    gateways=1,
    index=0,
    classes=(RequestClass(1000, 1000, 1, Effect.SAFE),),
    plans=(Plan(0, 0),),
    max_attempts=1,
    start_capacity=1,
    cold_ms=0,
    fall_multiple=1,
    overload_ms=1000,
    drain_grace_ms=0,
)


class PublishingAdmission:
    """Passes events to the decision module and publishes the changes that other ingresses need."""

    def __init__(self, admission: ProxyAdmission) -> None:
        self.admission = admission
        self.mesh: PeerMesh | None = None
        self.quotas: QuotaLoop | None = None
        self.instance_of: Mapping[int, bytes] = {}

    @property
    def settings(self) -> Settings:
        return self.admission.settings

    def handle(self, now: float, event: Event) -> Actions:
        admission, mesh = self.admission, self.mesh
        actions = admission.handle(now, event)
        if mesh is not None and admission.loads_changed:
            for backend in admission.loads_changed:
                if (instance := self.instance_of.get(backend)) is not None:
                    mesh.update_load(instance.decode(), admission.own_load(backend))
            admission.loads_changed.clear()
        if self.quotas is not None:
            self.quotas.flush_soon()
        return actions


class Ingress:
    """One proxy process; bound to the running event loop."""

    def __init__(self, boot: Boot, path: str, incarnation: int) -> None:
        self._boot, self._path = boot, path
        self._loop = asyncio.get_running_loop()
        self._hello = Hello(INGRESS_ROLE, boot.name, boot.ip, boot.zone, incarnation, leases=True)
        random = Random(f"{boot.name} {incarnation}")
        values = boot.values
        zones = sorted({*values["zones"], boot.zone})
        self._zones = {zone: number for number, zone in enumerate(zones)}
        self.clock = SystemClock()
        node = QuotaNode(boot.name, boot.zone, incarnation, self.clock.now() / 1000, boot.bootstrap)
        self.admission = ProxyAdmission(
            EMPTY_SETTINGS,
            random.getrandbits(32),
            self._zones[boot.zone],
            values["bounds.retryRatio"],
            values["bounds.retryAllowance"],
            node,
        )
        self._publishing_admission = PublishingAdmission(self.admission)
        self.engine = Engine(EMPTY_SETTINGS, 0, self.clock, self._loop, self._publishing_admission)
        self.engine.relay_backend_errors = True
        self.lag = EventLoopLag(self.clock.now, LAG_SAMPLE_INTERVAL_S)
        descriptors = max(64, values["limits.fileDescriptors"] - RESERVED_DESCRIPTORS)
        self.transport = HttpTransport(
            descriptors // 2,
            BACKEND_CONNECT_TIMEOUT_S,
            BACKEND_IDLE_TIMEOUT_S,
            self.engine.attempt_ended,
            lag=self.lag,
            streams=self.engine,
            classify=classify_backend_response,
        )
        self.endpoints = EndpointTable()
        self._backend_numbers: dict[str, int] = {}  # by instance id
        self._instance_of: dict[int, bytes] = {}
        self._silent_since: dict[str, float] = {}  # by instance id, as the subscribed registry reports
        self._last_backend_number = 0
        self._publishing_admission.instance_of = self._instance_of
        self._pool_numbers: dict[str, int] = {}  # by service
        self._config_loader = ConfigLoader(self._config_loaded, {})
        self.reader = RoutedRequestReader(self._pool_of, self._instance_of.__getitem__, random)
        memory = values["limits.memoryMb"]
        self.server = Server(
            self.engine,
            self.reader,
            descriptors // 2,
            self.lag,
            bodies=ByteBudget(body_budget_bytes(memory)),
            max_streams=max_streams_for(memory),
        )
        self.server.health_path = None
        self.server.forwarded_headers = forwarded_response_headers
        self.server.drain_accept_s = self.server.drain_most_s = DRAIN_ACCEPT_S
        self.config_selector = ConfigSelector(self._loop.time(), values["bounds.contactS"])
        self.registry_client = RegistryClient(
            boot,
            self._hello,
            self._handle_registry_message,
            self._registry_subscribed,
            self.config_selector.registry_lost,
            self._is_outdated,
        )
        self.mesh = PeerMesh(
            boot,
            self._hello,
            self._peer_loads_changed,
            self._ingress_count_changed,
            self.endpoints,
            self._quota_peers_changed,
            self._quota_message,
        )
        self.quotas = QuotaLoop(
            node,
            self.clock,
            self._hello,
            self.mesh.peer,
            self.mesh.send_to,
            self.engine.handle_event,
            lambda: self.lag.now_ms,
            self.mesh.set_busy,
            boot.bootstrap,
        )
        self._publishing_admission.mesh, self._publishing_admission.quotas = self.mesh, self.quotas
        self._readiness = HttpServer(self._answer_readiness, 1024)
        self._sampled_at = self._loop.time()
        self._ending = self._accepting = False
        self._settings_stamp: tuple[int, int, int] | None = None  # of the settings file as last read

    async def start(self, http: Address, readiness: Address, internal: Address) -> Address:
        """Starts listening and connects to a registry; returns the address for clients."""
        await self._readiness.listen(readiness)
        # connections that arrive before there is a configuration are held unread for up to MAX_CONFIG_WAIT_S
        address = self.server.listen(http, hold=True)
        self._loop.call_later(MAX_CONFIG_WAIT_S, self._start_accepting)
        self._loop.call_later(self.config_selector.contact_s, self._tick_config_selector)
        await self.mesh.start(internal)
        await self.quotas.start(internal)
        self.registry_client.start()
        self._sweep_connections()
        self._sample_lag()
        self._remove_expired()
        self._poll_settings()
        log.info("Serving at {}:{}.", *address)
        return address

    def _start_accepting(self) -> None:
        """Starts to read from clients; idempotent."""
        if not self._accepting and not self._ending:
            self._accepting = True
            self.server.open()

    # ---- readiness

    @property
    def ready(self) -> bool:
        """Whether this ingress is ready: the newest configuration has been served and a backend is known."""
        return (
            self.config_selector.ready
            and not self._ending
            and bool(self._backend_numbers)
            and self.reader.table is not None
        )

    async def _answer_readiness(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(200 if self.ready else 503)

    # ---- registry

    def _registry_subscribed(self, connection: PeerConnection) -> None:
        """Sends the known instances to a newly subscribed registry, which may have lost them."""
        self.config_selector.registry_changed()
        now = self._loop.time()
        known = self.endpoints.snapshot(now)
        if known:
            connection.send(Instances(known))

    def _handle_registry_message(self, message: Message) -> None:
        match message:
            case Config():
                self._apply_actions(self.config_selector.config_received(self._loop.time(), message))
            case Instances(entries):
                self._update_backends(self.endpoints.merge(self._loop.time(), entries))
                # a registry reports after its complete state which of the instances are silent
                self._set_silent([entry.id for entry in entries if entry.id in self._silent_since], False)
            case Silence(silent, back):
                self._set_silent(silent, True)
                self._set_silent(back, False)
            case Members():
                self.mesh.update_members(message)
            case Registries(zones):
                self.registry_client.add_registries(zones)
            case Fresh():
                self._apply_actions(self.config_selector.contact_reported(self._loop.time(), message))
            case _:
                pass

    def _set_silent(self, ids: list[str], silent: bool) -> None:
        for id in ids:
            if (number := self._backend_numbers.get(id)) is None:
                continue
            if silent:
                self._silent_since.setdefault(id, self._loop.time())
            else:
                self._silent_since.pop(id, None)
            self._dispatch(BackendSuspected(number, silent))

    def _is_outdated(self, config: Config) -> bool:
        """Whether a configuration from a registry that is not subscribed to yet need not be buffered."""
        selector = self.config_selector
        return config.version < selector.version or (
            config.version == selector.version and digests_match(config.digest, selector.digest)
        )

    def _apply_actions(self, actions: list[ConfigAction]) -> None:
        """Carries out the decisions of the ConfigSelector."""
        for action in actions:
            match action:
                case ApplyConfig(config):
                    self._config_loader.load(config)
                case BecomeReady(version):
                    log.info("Ready with configuration r{}.", version)
                    self._start_accepting()
                case LogMessage(level, text):
                    getattr(log, level)("{}", text)

    def _tick_config_selector(self) -> None:
        self._apply_actions(self.config_selector.tick(self._loop.time()))

    def _config_loaded(self, config: Config, loaded: LoadedConfig) -> None:
        """Replaces the configuration atomically; an invalid one changes nothing."""
        if isinstance(loaded, RejectedConfiguration):
            log.error("Configuration r{} is invalid: {}", config.version, loaded)
        else:
            self._configure(loaded)
        ok = not isinstance(loaded, RejectedConfiguration)
        self._apply_actions(self.config_selector.config_applied(config, ok))

    def _configure(self, table: RouteTable) -> None:
        configuration = table.configuration
        for service in configuration.services:
            self._pool_of(service)
        self.engine.reconfigure(table.settings)
        self.reader.table = table
        self.server.max_head = configuration.limits.header_bytes
        self.server.head_s = configuration.limits.header_ms / 1000
        self.server.idle_s = configuration.limits.idle_ms / 1000
        log.info("Configuration r{} applied: {} routes.", table.version, len(configuration.routes))

    def _pool_of(self, service: str) -> int:
        number = self._pool_numbers.get(service)
        if number is None:
            number = self._pool_numbers[service] = self.engine.add_pool(self.transport)
        return number

    def _update_backends(self, changed: list[Endpoint]) -> None:
        """Applies instances that are new, draining or gone."""
        now, clock = self._loop.time(), self.clock.now()
        for entry in changed:
            number = self._backend_numbers.get(entry.id)
            if number is None:
                if entry.state == GONE:
                    continue
                self._last_backend_number += 1
                number = self._backend_numbers[entry.id] = self._last_backend_number
                self._instance_of[number] = entry.id.encode()
            try:
                address = parse_address(entry.address)
            except ValueError:
                continue
            warm_at = clock + max(0.0, entry.warm_at - now) * 1000 if entry.warm_at > now else 0.0
            backend = BackendEntry(
                number,
                BACKEND_STATES[entry.state],
                self._zones.setdefault(entry.zone, len(self._zones)),
                size=entry.slots,
                warm_at_ms=warm_at,
            )
            self.engine.fleet_updated(
                FleetUpdate(ListKind.CHANGES, [backend], pool=self._pool_of(entry.service)), {number: address}
            )
            if entry.state == GONE:
                self._silent_since.pop(entry.id, None)
                del self._backend_numbers[entry.id]
                # open attempts still refer to it
                self._loop.call_later(CLEANUP_INTERVAL_S, self._instance_of.pop, number, None)

    # ---- other ingresses

    def _dispatch(self, event: Event) -> None:
        self._publishing_admission.handle(self.clock.now(), event)

    def _peer_loads_changed(self, update: LoadUpdate) -> None:
        for origin, reported in update.loads.items():
            loads = {
                self._backend_numbers[id]: count
                for id, count in reported.items()
                if id in self._backend_numbers
            }
            if loads:
                self._dispatch(PeerLoad(origin, loads))

    def _quota_peers_changed(self, peers: Peers) -> None:
        self.quotas.update_peers(peers)

    def _quota_message(self, peer: str, message: Message) -> None:
        self.quotas.receive(peer, message)

    def _ingress_count_changed(self, ingresses: int, connected: int) -> None:
        self._dispatch(IngressMembership(ingresses, connected))

    # ---- time

    def _sweep_connections(self) -> None:
        self.server.sweep()
        self.transport.sweep()
        self._loop.call_later(SWEEP_INTERVAL_S, self._sweep_connections)

    def _remove_expired(self) -> None:
        """Removes expired tombstones and instances that have been silent for long.

        The registry announces an instance again when it sends a heartbeat.
        """
        now = self._loop.time()
        self.endpoints.expire(now, inf)
        expiry_s = EXPIRY_INTERVALS * self._boot.values["heartbeatS"]
        for id in [id for id, since in self._silent_since.items() if now - since > expiry_s]:
            entry = self.endpoints.entries[id]
            entry.state = GONE
            self._update_backends([entry])
            self.endpoints.remove(entry)
        self.endpoints.changed.clear()
        self._loop.call_later(CLEANUP_INTERVAL_S, self._remove_expired)

    def _sample_lag(self) -> None:
        self.lag.sample()
        now = self._loop.time()
        stalled_s, self._sampled_at = now - self._sampled_at, now
        if stalled_s > SILENCE_TIMEOUT_S:
            self._resumed(stalled_s)
        self._loop.call_later(LAG_SAMPLE_INTERVAL_S, self._sample_lag)

    def _resumed(self, stalled_s: float) -> None:
        """The process was stalled: unread data of its connections is outdated, and peers have closed them."""
        log.warning("Process was stalled for {:.1f} s: reopening all internal connections.", stalled_s)
        self._silent_since = dict.fromkeys(self._silent_since, self._loop.time())
        self.config_selector.resumed(self._loop.time())
        self.registry_client.abort_connections()
        self.mesh.abort_connections()
        self._loop.call_later(self.config_selector.contact_s, self._tick_config_selector)

    def _poll_settings(self) -> None:
        """Reloads the settings file if it has changed; only the seeds can change while in service."""
        try:
            stat = os.stat(self._path)
        except OSError:
            stat = None  # the file is being replaced
        stamp = (stat.st_mtime_ns, stat.st_size, stat.st_ino) if stat is not None else self._settings_stamp
        if stamp != self._settings_stamp:
            first, self._settings_stamp = self._settings_stamp is None, stamp
            if not first:
                self.reload()
        self._loop.call_later(SETTINGS_POLL_INTERVAL_S, self._poll_settings)

    def reload(self) -> None:
        """Reloads the settings; an invalid file is logged and changes nothing."""
        try:
            boot = load_boot(self._path)
        except SettingsError as error:
            log.error("Settings not reloaded: {}", error)
            return
        self.registry_client.add_registries(
            {host: self.registry_client.registries.get(host, "") for host, _ in boot.seeds}
        )
        log.info("Settings reloaded.")

    async def shut_down(self, grace_s: float) -> None:
        """Shuts down after SIGTERM.

        Accepts clients until the platform has noticed, then completes all accepted requests within grace_s.
        """
        self._ending = True
        log.info("Shutting down: {} requests open.", self.engine.open)
        try:
            async with asyncio.timeout(max(0.1, grace_s - SHUTDOWN_RESERVE_S)):
                await self.server.drain()
        except TimeoutError:
            log.warning("Grace period expired: {} requests open.", self.engine.open)
        self._config_loader.close()
        self.engine.close()
        self.quotas.close()
        await asyncio.sleep(QUOTA_HANDOVER_S)
        self.registry_client.close()
        self.mesh.close()
        self._readiness.close()
        self.transport.close()
