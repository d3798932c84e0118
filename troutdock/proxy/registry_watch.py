"""Decides which registry an ingress subscribes to and which configuration it serves (no I/O, no clock).

Both classes are state machines: the owner passes events to them and carries out the actions they return. All
times are in seconds of the owner's monotonic clock.

Theory of operation. A registry is *in contact* while it reports Fresh(True), that is, while it is connected
to a primary that reaches a majority of the config store's voters.

RegistrySelector chooses the registry to subscribe to. Registries of the ingress's own zone are preferred,
then an order that is specific to the ingress. Each connection is in one of these states:

    connecting   opened, but the peer has not identified itself yet
    probe        the peer has identified itself; its messages are buffered until it is subscribed to
    standby      reported that it is out of contact; only its contact reports are used, its other messages are
                 discarded
    subscribed   the registry whose messages are processed; at most one

  - Without a subscribed registry, the first one that identifies itself is subscribed to at once.
  - A subscribed registry that is out of contact for OUT_OF_CONTACT_TIMEOUT_S is replaced by one that has been
    in contact for STABLE_CONTACT_S. The delay spreads the ingresses: when the primary changes, all registries
    regain contact at about the same time, and the first one must not get all subscribers.
  - Probes of other registries start PROBE_INTERVAL_S apart, whether or not the earlier ones have connected,
    so an address that does not respond delays no other.
  - A standby that regains contact is reconnected before it is subscribed to, because the messages that it
    sent as a standby were discarded.
  - While the subscribed registry is in contact, only preferred registries of the own zone are probed, every
    LOCAL_PROBE_INTERVAL_S; one that is in contact replaces it. All other connections are closed.
  - If no registry is in contact, the subscription stays as it is.

ConfigSelector chooses the configuration to serve. While the subscribed registry is in contact, a higher
version is served as soon as it arrives. Out of contact it is kept pending, because it may be a change that
was never committed. An ingress that has no configuration at all contactS after its start serves the highest
version that it received out of contact; before that it serves none. A version never goes back.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import inf

from troutdock.rpc.connection import CONNECT_TIMEOUT_S
from troutdock.rpc.messages import Config, Fresh
from troutdock.endpoints.rendezvous import ranked

PROBE_INTERVAL_S = 0.1  # between the starts of two probes
UNSUBSCRIBED_RETRY_S = 0.1  # between two attempts at an address while no registry is subscribed to
OUT_OF_CONTACT_TIMEOUT_S = 0.3  # the subscribed registry is out of contact: others are probed after this time
CONTACT_REPORT_TIMEOUT_S = 1.0  # the same, for one that has not reported yet whether it is in contact
STABLE_CONTACT_S = 0.2  # how long a registry must be in contact before it replaces the subscribed one
# replaces OUT_OF_CONTACT_TIMEOUT_S and STABLE_CONTACT_S until the process has subscribed to a registry in
# contact for the first time: until then it serves no client
INITIAL_DELAY_S = 0.05
# between two attempts at an address that is not a standby, while the subscribed registry is out of contact
PROBE_RETRY_S = 1.0
LOCAL_PROBE_INTERVAL_S = 2.0  # between two probes of a preferred registry in the ingress's own zone
MAX_PROBE_S = 10.0  # limit for a probe, even while it receives a large configuration
MAX_OTHER_CONNECTIONS = 8  # connections to registries besides the subscribed one
TIME_TOLERANCE_S = 0.001  # times closer than this are treated as equal
# how long a standby is kept at least, if more registries are known than may be connected
MIN_STANDBY_S = 2.0


# ---- which registry to subscribe to


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a connection to this address; its events carry the number."""

    number: int
    ip: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Process the messages of this connection from now on, beginning with the buffered ones."""

    number: int


@dataclass(frozen=True, slots=True)
class DiscardMessages:
    """Discard the messages of this connection, buffered and future ones, except contact reports."""

    number: int


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Abort this connection and ignore all later events of it."""

    number: int


ConnectionAction = Connect | Subscribe | DiscardMessages | Disconnect


@dataclass(slots=True)
class _Connection:
    """A connection to a registry, or an attempt at one.

    Attributes:
        contact: What the registry reported last; None before its first report.
    """

    number: int
    ip: str
    started_at: float
    last_received_at: float
    identified: bool = False
    contact: bool | None = None
    standby: bool = False


class RegistrySelector:
    """Chooses one ingress's registry among the known ones."""

    def __init__(self, name: str, zone: str, registries: Iterable[str]) -> None:
        """Starts without connections.

        Args:
            name: The node name of the ingress.
            zone: The zone of the ingress.
            registries: Addresses of registries.
        """
        self._name, self._zone = name, zone
        self.registries = dict.fromkeys(registries, "")  # zones by address; empty while unknown
        self.subscribed_number: int | None = None
        self._connections: dict[int, _Connection] = {}
        self._attempted_at: dict[str, float] = {}  # by address: the last attempt
        self._in_contact_since: dict[str, float] = {}  # by address
        self._last_number, self._last_attempt_at = 0, -inf  # of the last attempt at any address
        self._never_in_contact = True  # no registry in contact has been subscribed to yet
        self._subscribed_at = -inf
        self._out_of_contact_since = inf  # of the subscribed registry

    # ---- events

    def registries_learned(self, now: float, registries: Mapping[str, str]) -> list[ConnectionAction]:
        """Adds registries with their zones; an empty zone does not replace a known one."""
        for ip, zone in registries.items():
            if zone or ip not in self.registries:
                self.registries[ip] = zone
        return self._decide(now)

    def peer_identified(self, now: float, number: int, ip: str, zone: str) -> list[ConnectionAction]:
        """The peer of this connection has identified itself."""
        if (connection := self._connections.get(number)) is None:
            return [Disconnect(number)]
        connection.identified, connection.last_received_at = True, now
        self.registries[ip] = zone
        return self._decide(now)

    def data_received(self, number: int, at: float) -> None:
        """Bytes have arrived on this connection."""
        if (connection := self._connections.get(number)) is not None:
            connection.last_received_at = max(connection.last_received_at, at)

    def contact_reported(self, now: float, number: int, contact: bool) -> list[ConnectionAction]:
        """The peer of this connection reports whether it is in contact."""
        if (connection := self._connections.get(number)) is None:
            return []
        if contact:
            self._in_contact_since.setdefault(connection.ip, now)
        else:
            self._in_contact_since.pop(connection.ip, None)
        if number == self.subscribed_number:
            if not contact and self._out_of_contact_since == inf:
                self._attempted_at.clear()  # probes start with the most preferred registry
            self._out_of_contact_since = inf if contact else min(self._out_of_contact_since, now)
            self._never_in_contact = self._never_in_contact and not contact
        connection.contact, connection.last_received_at = contact, now
        return self._decide(now)

    def connection_ended(self, now: float, number: int) -> list[ConnectionAction]:
        """The connection is closed, or the attempt has failed."""
        if (connection := self._connections.pop(number, None)) is None:
            return []
        self._in_contact_since.pop(connection.ip, None)
        if number == self.subscribed_number:
            self.subscribed_number, self._out_of_contact_since = None, inf
            self._attempted_at.clear()
        return self._decide(now)

    def tick(self, now: float) -> list[ConnectionAction]:
        """Applies the time-outs."""
        return self._decide(now)

    def seconds_to_tick(self, now: float) -> float:
        """Returns the seconds until the next tick is needed; infinite if only events can cause actions."""
        connection = (
            self._connections.get(self.subscribed_number) if self.subscribed_number is not None else None
        )
        if connection is None or not connection.contact or len(self._connections) > 1:
            return PROBE_INTERVAL_S / 2
        return max(
            0.0,
            min((self._next_probe_at(ip) - now for ip in self._closer_registries(connection)), default=inf),
        )

    # ---- choices

    def preference_order(self) -> list[str]:
        """Returns the addresses of registries: own zone first, then an order specific to this ingress."""
        return sorted(ranked(self._name, self.registries), key=lambda ip: self.registries[ip] != self._zone)

    def _closer_registries(self, connection: _Connection) -> list[str]:
        """Returns the registries of the own zone that are preferred to the given connection's."""
        order = self.preference_order()
        rank = order.index(connection.ip) if connection.ip in order else len(order)
        return [ip for ip in order[:rank] if self.registries[ip] == self._zone]

    def _next_probe_at(self, ip: str) -> float:
        return max(self._attempted_at.get(ip, -inf), self._subscribed_at) + LOCAL_PROBE_INTERVAL_S

    def _decide(self, now: float) -> list[ConnectionAction]:
        actions: list[ConnectionAction] = []
        order = {ip: n for n, ip in enumerate(self.preference_order())}
        others = sorted(
            (c for c in self._connections.values() if c.number != self.subscribed_number),
            key=lambda c: order.get(c.ip, len(order)),
        )
        for connection in list(others):
            timed_out = not connection.identified and now - connection.started_at > CONNECT_TIMEOUT_S
            silent = (
                connection.identified
                and connection.contact is None
                and now - connection.last_received_at > CONNECT_TIMEOUT_S
            )
            if (
                timed_out
                or silent
                or (connection.contact is None and now - connection.started_at > MAX_PROBE_S)
            ):
                self._disconnect(connection, others, actions)
        current = (
            self._connections.get(self.subscribed_number) if self.subscribed_number is not None else None
        )
        if current is None:
            for connection in [c for c in others if c.standby]:  # its messages were discarded
                self._disconnect(connection, others, actions)
            ready = [c for c in others if c.identified and c.contact is not False]
            best = min(ready, key=lambda c: not c.contact, default=None)
            best = best or next((c for c in others if c.identified), None)
            if best is not None:
                current = self._subscribe(now, best, others, actions)
        elif not current.contact:
            stable_s = INITIAL_DELAY_S if self._never_in_contact else STABLE_CONTACT_S
            stable = [
                c for c in others if c.contact and now - self._in_contact_since.get(c.ip, now) >= stable_s
            ]
            best = next((c for c in stable if not c.standby), None)
            if best is not None:
                current = self._subscribe(now, best, others, actions)
            elif stable and not any(c.contact is None and c.ip in self._in_contact_since for c in others):
                connection = stable[0]
                since = self._in_contact_since[connection.ip]
                self._disconnect(connection, others, actions)
                self._in_contact_since[connection.ip] = since
                self._connect(now, connection.ip, actions)
                return actions
        else:
            closer = self._closer_registries(current)
            best = next((c for c in others if c.contact and not c.standby and c.ip in closer), None)
            if best is not None:
                current = self._subscribe(now, best, others, actions)
        if current is not None and current.contact:
            closer = self._closer_registries(current)
            for connection in list(others):
                if connection.contact is not None or connection.ip not in closer:
                    self._disconnect(connection, others, actions)
        elif current is not None:
            for connection in others:
                if connection.contact is False and not connection.standby:
                    connection.standby = True
                    actions.append(DiscardMessages(connection.number))
        self._start_probe(now, current, others, actions)
        return actions

    def _start_probe(
        self,
        now: float,
        current: _Connection | None,
        others: list[_Connection],
        actions: list[ConnectionAction],
    ) -> None:
        """Starts a probe if one is due."""
        order = self.preference_order()
        if current is None:
            retry_s = UNSUBSCRIBED_RETRY_S
        elif current.contact:
            if others:
                return
            order, retry_s = self._closer_registries(current), LOCAL_PROBE_INTERVAL_S
            if now - self._subscribed_at < LOCAL_PROBE_INTERVAL_S:
                return
        else:
            timeout_s = (
                CONTACT_REPORT_TIMEOUT_S
                if current.contact is None
                else INITIAL_DELAY_S
                if self._never_in_contact
                else OUT_OF_CONTACT_TIMEOUT_S
            )
            if now - self._out_of_contact_since < timeout_s:
                return
            retry_s = PROBE_RETRY_S
        connected = {connection.ip for connection in self._connections.values()}
        due = [
            ip for ip in order if ip not in connected and now - self._attempted_at.get(ip, -inf) >= retry_s
        ]
        if not due:
            return
        if len(others) >= MAX_OTHER_CONNECTIONS:
            oldest = min(others, key=lambda c: c.started_at)
            if oldest.standby and now - oldest.started_at >= MIN_STANDBY_S:
                self._disconnect(oldest, others, actions)
            return
        last = self._connections.get(self._last_number)
        if (
            last is not None
            and not last.identified
            and self._last_attempt_at + PROBE_INTERVAL_S - now > TIME_TOLERANCE_S
        ):
            return
        self._connect(now, min(due, key=lambda ip: self._attempted_at.get(ip, -inf)), actions)

    def _connect(self, now: float, ip: str, actions: list[ConnectionAction]) -> None:
        self._last_number, self._last_attempt_at = self._last_number + 1, now
        self._attempted_at[ip] = now
        self._connections[self._last_number] = _Connection(self._last_number, ip, now, now)
        actions.append(Connect(self._last_number, ip))

    def _disconnect(
        self, connection: _Connection, others: list[_Connection], actions: list[ConnectionAction]
    ) -> None:
        del self._connections[connection.number]
        self._in_contact_since.pop(connection.ip, None)
        if connection in others:
            others.remove(connection)
        actions.append(Disconnect(connection.number))

    def _subscribe(
        self, now: float, connection: _Connection, others: list[_Connection], actions: list[ConnectionAction]
    ) -> _Connection:
        previous = (
            self._connections.get(self.subscribed_number) if self.subscribed_number is not None else None
        )
        others.remove(connection)
        self.subscribed_number, self._subscribed_at = connection.number, now
        self._out_of_contact_since = inf if connection.contact else now
        self._never_in_contact = self._never_in_contact and not connection.contact
        actions.append(Subscribe(connection.number))
        if previous is not None:
            self._disconnect(previous, others, actions)
        return connection


# ---- which configuration is served


@dataclass(frozen=True, slots=True)
class ApplyConfig:
    """Put this configuration into effect and report the result with ConfigSelector.config_applied."""

    config: Config


@dataclass(frozen=True, slots=True)
class BecomeReady:
    """The newest configuration is in effect for the first time since the start: the ingress is ready."""

    version: int


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A message to log. level: the name of a logbook method."""

    level: str
    text: str


ConfigAction = ApplyConfig | BecomeReady | LogMessage


def digests_match(one: str, other: str) -> bool:
    """Returns whether two digests of one version may belong to the same body; an empty digest is unknown."""
    return not one or not other or one == other


@dataclass(slots=True)
class ConfigSelector:
    """Chooses the configuration that an ingress process serves, and whether it is ready for clients.

    Attributes:
        started_at: When the process started.
        contact_s: The setting bounds.contactS.
        version: The served version; 0: none.
        contact: The last contact report of the subscribed registry; None before the first.
    """

    started_at: float
    contact_s: float
    version: int = 0
    digest: str = ""
    contact: bool | None = None
    _newest_report: Fresh | None = None  # the last report of a registry in contact
    _pending: Config | None = None  # received from the subscribed registry, not served
    _fallback: Config | None = None  # the highest from earlier subscriptions, while none is served
    _synchronized: bool = False
    _resumed_at: float = -inf
    _serves_stale: bool = False  # serves a configuration that was received out of contact
    _replaced_version: int = 0  # the version whose body was replaced
    _logged_conflicts: set[tuple[int, str]] = field(default_factory=set)
    _rejected: tuple[int, str] | None = None

    @property
    def ready(self) -> bool:
        """Whether the ingress is ready for clients.

        The newest configuration has been served once, and after a stall of the process a registry in contact
        has reported, or contactS has passed.
        """
        return self._synchronized and self._resumed_at == -inf

    # ---- events

    def registry_changed(self) -> None:
        """Another registry is subscribed to, or the same one again: its reports start afresh."""
        self.registry_lost()

    def registry_lost(self) -> None:
        """No registry is subscribed to."""
        self.contact = self._newest_report = None
        self._keep_fallback()
        self._pending = None

    def resumed(self, now: float) -> None:
        """The process was stalled for longer than a connection may be silent: reports are outdated."""
        self.registry_lost()
        self._resumed_at = now

    def config_received(self, now: float, config: Config) -> list[ConfigAction]:
        """The subscribed registry has sent a configuration."""
        version, digest = config.version, config.digest
        if version < self.version or (version, digest) == self._rejected:
            return []
        if version == self.version:
            if digests_match(digest, self.digest):
                return []
            return [*self._log_conflict(version, digest), *self._replace_body(config)]
        if self.contact or self._serves_stale:
            return [ApplyConfig(config)]
        self._pending = config
        return self.tick(now)

    def contact_reported(self, now: float, report: Fresh) -> list[ConfigAction]:
        """The subscribed registry reports whether it is in contact."""
        self.contact = report.fresh
        if not report.fresh:
            self._newest_report = None
            return self.tick(now)
        self._newest_report, self._serves_stale, self._resumed_at = report, False, -inf
        pending, self._pending = self._pending, None
        actions: list[ConfigAction] = []
        if (
            pending is not None
            and pending.version == report.version
            and not digests_match(pending.digest, report.digest)
        ):
            actions += self._log_conflict(pending.version, pending.digest, report.digest)
        elif pending is not None and pending.version >= report.version:
            if pending.version > self.version:
                return [ApplyConfig(pending)]
            if pending.version == self.version and not digests_match(pending.digest, self.digest):
                return [
                    *actions,
                    *self._log_conflict(pending.version, pending.digest),
                    *self._replace_body(pending),
                ]
        elif pending is not None:
            self._pending = pending  # the newest has not arrived yet
        if report.version == self.version and not digests_match(report.digest, self.digest):
            actions += self._log_conflict(report.version, report.digest)
        return [*actions, *self._check_ready()]

    def config_applied(self, config: Config, ok: bool) -> list[ConfigAction]:
        """The result of ApplyConfig. ok False: the body is invalid, and the previous one stays in effect."""
        if not ok:
            self._rejected = config.version, config.digest
            return []
        self.version, self.digest = config.version, config.digest
        self._fallback = self._pending = None
        return self._check_ready()

    def tick(self, now: float) -> list[ConfigAction]:
        """Applies the time-outs."""
        if now - self._resumed_at >= self.contact_s:
            self._resumed_at = -inf
        if self.version or self.contact or now - self.started_at < self.contact_s:
            return []
        self._keep_fallback()
        self._pending = None
        if (config := self._fallback) is None:
            return []
        self._fallback, self._serves_stale = None, True
        return [
            LogMessage(
                "warning",
                f"No registry was in contact within {self.contact_s:g} s of the start: "
                f"serving r{config.version}, which may be outdated.",
            ),
            ApplyConfig(config),
        ]

    # ---- internals

    def _keep_fallback(self) -> None:
        pending, fallback = self._pending, self._fallback
        if (
            pending is not None
            and not self.version
            and (fallback is None or pending.version >= fallback.version)
        ):
            self._fallback = pending

    def _log_conflict(self, version: int, digest: str, other: str = "") -> list[ConfigAction]:
        """Two different bodies of one version: logged once for each body."""
        if (version, digest) in self._logged_conflicts:
            return []
        if self._logged_conflicts and max(self._logged_conflicts)[0] != version:
            self._logged_conflicts.clear()  # bounded: of one version only, and at most 4 bodies
        if len(self._logged_conflicts) < 4:
            self._logged_conflicts.add((version, digest))
            return [
                LogMessage(
                    "error", f"r{version} has two bodies: digests {other or self.digest} and {digest}."
                )
            ]
        return []

    def _replace_body(self, config: Config) -> list[ConfigAction]:
        """Replaces the body of the served version: once, and only by one from a registry in contact."""
        newest = self._newest_report
        if (
            newest is None
            or newest.version != config.version
            or not digests_match(config.digest, newest.digest)
        ):
            self._pending = config
            return []
        if self._replaced_version == config.version:
            return []
        self._replaced_version = config.version
        return [ApplyConfig(config)]

    def _check_ready(self) -> list[ConfigAction]:
        """Becomes ready if the served configuration is the newest known to a registry in contact."""
        newest = self._newest_report
        if newest is None or self._synchronized or not self.version or self.version < newest.version:
            return []
        if self.version == newest.version and not digests_match(self.digest, newest.digest):
            return []
        self._synchronized = True
        return [BecomeReady(self.version)]
