"""The proxy's loop: clients, backends, news from the registry, other ingresses, readiness, the end.

What clients and backends are spoken to with is troutdock's: engine, front and transport. Here they get the
system's reader and verdict, and the decision module for many ingresses (admission.proxy_admission).
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Mapping
from math import inf
from random import Random

import logbook

from troutdock.settings.boot import Boot, load_boot
from troutdock.settings.configuration import RejectedConfiguration, read_configuration
from troutdock.settings.table import SettingsError
from troutdock.proxy.registry_watch import Act, Note, Ready, Serve, Serving, same
from troutdock.proxy.peer_connections import ROLE, Mesh
from troutdock.proxy.registry_connections import Feed
from troutdock.proxy.quota_loop import QuotaLoop
from troutdock.proxy.request_reader import SystemReader, passes, verdict
from troutdock.proxy.route_table import Table
from troutdock.proxy.load_exchange import News
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
from troutdock.endpoints.endpoint_table import EndpointTable, Endpoint
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

OTHER_DESCRIPTORS = 350  # of the process: files, links, doors
CONNECT_S = 0.5  # for a connection to a backend to come up
IDLE_S = 10.0  # until a backend closes a connection that stands idle
SAMPLE_S = 0.05  # between two samples of this process's own lateness: each is a wake-up
SWEEP_S = 0.25
FORGET_S = 30.0  # between two looks for what has long been gone
SETTINGS_S = 2.0  # between two looks at the settings file, which may change without a signal
DRAIN_MOST_S = 2.6  # after SIGTERM clients still come: two questions for readiness have to be missed
DOOR_S = 0.9  # from the start until clients are told that there is no configuration yet, or are served
LEFT_S = 0.4  # of the grace: kept for the end itself
HANDOVER_S = 0.02  # for the buckets of quotas to leave before the links end
STATES = {0: BackendState.READY, 1: BackendState.DRAINING, 2: BackendState.GONE}
NOTHING = Settings(
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


class Recorder:
    """The decision module, and after each event what it has changed that others are to know."""

    def __init__(self, fabric: ProxyAdmission) -> None:
        self.fabric = fabric
        self.mesh: Mesh | None = None
        self.quotas: QuotaLoop | None = None
        self.instance_of: Mapping[int, bytes] = {}

    @property
    def settings(self) -> Settings:
        return self.fabric.settings

    def handle(self, now: float, event: Event) -> Actions:
        fabric, mesh = self.fabric, self.mesh
        actions = fabric.handle(now, event)
        if mesh is not None and fabric.loads_changed:
            for backend in fabric.loads_changed:
                if (instance := self.instance_of.get(backend)) is not None:
                    mesh.load(instance.decode(), fabric.own_load(backend))
            fabric.loads_changed.clear()
        if self.quotas is not None:
            self.quotas.flush_soon()
        return actions


class Ingress:
    """One proxy; it belongs to the event loop that runs."""

    def __init__(self, boot: Boot, path: str, life: int) -> None:
        self._boot, self._path = boot, path
        self._loop = asyncio.get_running_loop()
        self._hello = Hello(ROLE, boot.name, boot.ip, boot.zone, life, leases=True)
        random = Random(f"{boot.name} {life}")
        values = boot.values
        zones = sorted({*values["zones"], boot.zone})
        self._zones = {zone: number for number, zone in enumerate(zones)}
        self.clock = SystemClock()
        node = QuotaNode(boot.name, boot.zone, life, self.clock.now() / 1000, boot.bootstrap)
        self.fabric = ProxyAdmission(
            NOTHING,
            random.getrandbits(32),
            self._zones[boot.zone],
            values["bounds.retryRatio"],
            values["bounds.retryAllowance"],
            node,
        )
        self._decides = Recorder(self.fabric)
        self.engine = Engine(NOTHING, 0, self.clock, self._loop, self._decides)
        self.engine.relay_backend_errors = True
        self.lag = EventLoopLag(self.clock.now, SAMPLE_S)
        descriptors = max(64, values["limits.fileDescriptors"] - OTHER_DESCRIPTORS)
        self.transport = HttpTransport(
            descriptors // 2,
            CONNECT_S,
            IDLE_S,
            self.engine.attempt_ended,
            lag=self.lag,
            streams=self.engine,
            classify=verdict,
        )
        self.book = EndpointTable()
        self._numbers: dict[str, int] = {}  # of instances
        self._instance_of: dict[int, bytes] = {}
        self._last_instance = 0
        self._decides.instance_of = self._instance_of
        self._pools: dict[str, int] = {}  # of services
        self._tenants: dict[str, int] = {}  # numbers
        self.reader = SystemReader(self._pool_of, self._instance_of.__getitem__, random)
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
        self.server.forwarded_headers = passes
        self.server.drain_accept_s = self.server.drain_most_s = DRAIN_MOST_S
        self.serving = Serving(self._loop.time(), values["bounds.contactS"])
        self.feed = Feed(boot, self._hello, self._heard, self._followed, self.serving.lost, self._has)
        self.mesh = Mesh(
            boot,
            self._hello,
            self._others,
            self._company,
            self.book,
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
        self._decides.mesh, self._decides.quotas = self.mesh, self.quotas
        self._readiness = HttpServer(self._ready, 1024)
        self._sampled_at = self._loop.time()
        self._ending = self._opened = False
        self._mark: tuple[int, int, int] | None = None  # of the settings file that was read last

    async def start(self, http: Address, readiness: Address, inner: Address) -> Address:
        """Open the doors and begin to follow the news; gives the clients' address."""
        await self._readiness.listen(readiness)
        # who comes before there is a configuration stands at the door for a moment: nothing of it is read yet
        address = self.server.listen(http, hold=True)
        self._loop.call_later(DOOR_S, self._open)
        self._loop.call_later(self.serving.contact_s, self._tick_serving)
        await self.mesh.start(inner)
        await self.quotas.start(inner)
        self.feed.start()
        self._sweep()
        self._sample()
        self._forget()
        self._look_at_settings()
        log.info("Serves at {}:{}.", *address)
        return address

    def _open(self) -> None:
        """Take clients; harmless twice."""
        if not self._opened and not self._ending:
            self._opened = True
            self.server.open()

    # ---- readiness

    @property
    def ready(self) -> bool:
        """Wants clients: it has had the newest configuration, and knows a backend."""
        return (
            self.serving.ready and not self._ending and bool(self._numbers) and self.reader.table is not None
        )

    async def _ready(self, call: HttpRequest) -> HttpResponse:
        return HttpResponse(200 if self.ready else 503)

    # ---- news

    def _followed(self, link: PeerConnection) -> None:
        """A registry is followed anew: it may have lost what this ingress knows."""
        self.serving.followed()
        now = self._loop.time()
        known = self.book.snapshot(now)
        if known:
            link.send(Instances(known))

    def _heard(self, message: Message) -> None:
        match message:
            case Config():
                self._act(self.serving.config(self._loop.time(), message))
            case Instances(entries):
                self._instances(self.book.merge(self._loop.time(), entries))
            case Silence(silent, back):
                for ids, is_silent in ((silent, True), (back, False)):
                    for id in ids:
                        if (number := self._numbers.get(id)) is not None:
                            self._tell(BackendSuspected(number, is_silent))
            case Members():
                self.mesh.listed(message)
            case Registries(zones):
                self.feed.learn(zones)
            case Fresh():
                self._act(self.serving.fresh(self._loop.time(), message))
            case _:
                pass

    def _has(self, config: Config) -> bool:
        """Of no use, if a registry that is not followed yet tells it."""
        own = self.serving
        return config.version < own.version or (
            config.version == own.version and same(config.digest, own.digest)
        )

    def _act(self, acts: list[Act]) -> None:
        """What the machine for configurations has decided."""
        for act in acts:
            match act:
                case Serve(config):
                    ok = self._configure(config.version, bytes(config.body))
                    self._act(self.serving.served(config, ok))
                case Ready(version):
                    log.info("Ready with r{}.", version)
                    self._open()
                case Note(level, text):
                    getattr(log, level)("{}", text)

    def _tick_serving(self) -> None:
        self._act(self.serving.tick(self._loop.time()))

    def _configure(self, version: int, body: bytes) -> bool:
        """Swap in a configuration, in one step; false: it can't be read, and nothing has changed."""
        found = read_configuration(body)
        if isinstance(found, RejectedConfiguration):
            log.error("Configuration r{} can't be read: {}", version, found)
            return False
        table = Table(found, self._tenants)
        for service in found.services:
            self._pool_of(service)
        self.engine.reconfigure(table.settings)
        self.reader.table = table
        self.server.max_head = found.limits.header_bytes
        self.server.head_s = found.limits.header_ms / 1000
        self.server.idle_s = found.limits.idle_ms / 1000
        log.info("Configuration r{}: {} routes.", version, len(found.routes))
        return True

    def _pool_of(self, service: str) -> int:
        number = self._pools.get(service)
        if number is None:
            number = self._pools[service] = self.engine.add_pool(self.transport)
        return number

    def _instances(self, risen: list[Endpoint]) -> None:
        """Backends that are new, drain or have gone."""
        now, clock = self._loop.time(), self.clock.now()
        for entry in risen:
            number = self._numbers.get(entry.id)
            if number is None:
                if entry.state == GONE:
                    continue
                self._last_instance += 1
                number = self._numbers[entry.id] = self._last_instance
                self._instance_of[number] = entry.id.encode()
            try:
                address = parse_address(entry.address)
            except ValueError:
                continue
            warm_at = clock + max(0.0, entry.warm_at - now) * 1000 if entry.warm_at > now else 0.0
            told = BackendEntry(
                number,
                STATES[entry.state],
                self._zones.setdefault(entry.zone, len(self._zones)),
                size=entry.slots,
                warm_at_ms=warm_at,
            )
            self.engine.fleet_updated(
                FleetUpdate(ListKind.CHANGES, [told], pool=self._pool_of(entry.service)), {number: address}
            )
            if entry.state == GONE:
                del self._numbers[entry.id]
                # what is under way there still names it
                self._loop.call_later(FORGET_S, self._instance_of.pop, number, None)

    # ---- other ingresses

    def _tell(self, event: Event) -> None:
        self._decides.handle(self.clock.now(), event)

    def _others(self, news: News) -> None:
        for origin, out in news.out.items():
            found = {self._numbers[id]: count for id, count in out.items() if id in self._numbers}
            if found:
                self._tell(PeerLoad(origin, found))

    def _quota_peers_changed(self, peers: Peers) -> None:
        self.quotas.update_peers(peers)

    def _quota_message(self, peer: str, message: Message) -> None:
        self.quotas.receive(peer, message)

    def _company(self, ingresses: int, heard: int) -> None:
        self._tell(IngressMembership(ingresses, heard))

    # ---- time

    def _sweep(self) -> None:
        self.server.sweep()
        self.transport.sweep()
        self._loop.call_later(SWEEP_S, self._sweep)

    def _forget(self) -> None:
        """What has long been gone; what is silent is the registry's to give up."""
        self.book.expire(self._loop.time(), inf)
        self.book.changed.clear()
        self._loop.call_later(FORGET_S, self._forget)

    def _sample(self) -> None:
        self.lag.sample()
        now = self._loop.time()
        stood, self._sampled_at = now - self._sampled_at, now
        if stood > SILENCE_TIMEOUT_S:
            self._woke(stood)
        self._loop.call_later(SAMPLE_S, self._sample)

    def _woke(self, stood_s: float) -> None:
        """The process stood still for so long: what its links hold is of before, and others have cut them."""
        log.warning("Stood still for {:.1f} s: links begin anew.", stood_s)
        self.serving.woke(self._loop.time())
        self.feed.renew()
        self.mesh.renew()
        self._loop.call_later(self.serving.contact_s, self._tick_serving)

    def _look_at_settings(self) -> None:
        """The file may change without a signal; what can change in service is who the seeds are."""
        try:
            stat = os.stat(self._path)
        except OSError:
            stat = None  # it is being replaced
        mark = (stat.st_mtime_ns, stat.st_size, stat.st_ino) if stat is not None else self._mark
        if mark != self._mark:
            first, self._mark = self._mark is None, mark
            if not first:
                self.reload()
        self._loop.call_later(SETTINGS_S, self._look_at_settings)

    def reload(self) -> None:
        """Read the settings again; a bad file is logged and changes nothing."""
        try:
            boot = load_boot(self._path)
        except SettingsError as error:
            log.error("Settings stay as they were: {}", error)
            return
        self.feed.learn({host: self.feed.registries.get(host, "") for host, _ in boot.seeds})
        log.info("Settings read again.")

    async def end(self, grace_s: float) -> None:
        """SIGTERM: take no more clients once the platform has noticed, answer all that was taken."""
        self._ending = True
        log.info("Ends: {} requests open.", self.engine.open)
        try:
            async with asyncio.timeout(max(0.1, grace_s - LEFT_S)):
                await self.server.drain()
        except TimeoutError:
            log.warning("Grace is over: {} requests open.", self.engine.open)
        self.engine.close()
        self.quotas.close()
        await asyncio.sleep(HANDOVER_S)
        self.feed.close()
        self.mesh.close()
        self._readiness.close()
        self.transport.close()
