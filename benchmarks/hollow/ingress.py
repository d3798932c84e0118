"""One complete ingress without sockets: the control state and work of troutdock.proxy.daemon.Ingress."""

from __future__ import annotations

from typing import Any

from troutdock.settings.configuration import RejectedConfiguration, read_configuration
from troutdock.proxy.daemon import EMPTY_SETTINGS, BACKEND_STATES
from troutdock.proxy.route_table import RouteTable
from troutdock.proxy.load_exchange import LoadExchange
from troutdock.rpc.messages import GONE, Config, Instances, Members, Silence
from troutdock.endpoints.endpoint_table import EndpointTable
from troutdock.admission.proxy_admission import ProxyAdmission
from troutdock.admission.interface import (
    BackendEntry,
    IngressMembership,
    FleetUpdate,
    ListKind,
    SettingsChanged,
    BackendSuspected,
)


class Ingress:
    """Endpoint table, admission with tenants and backends, list of ingresses, and route table."""

    def __init__(self, name: str, ip: str, zone: str) -> None:
        self.endpoints = EndpointTable()
        self.admission = ProxyAdmission(EMPTY_SETTINGS, 1, int(zone[1:]))
        self.exchange = LoadExchange(name, ip, zone, 1, self.endpoints)
        self.table: RouteTable | None = None
        self.backend_numbers: dict[str, int] = {}
        self.instance_of: dict[int, bytes] = {}
        self.pools: dict[str, int] = {}
        self.tenants: dict[str, int] = {}
        self._last_number = 0

    def receive(self, now: float, message: Any) -> None:
        """Handles a control message as the daemon's Ingress does."""
        match message:
            case Config(version, body):
                self._configure(now, version, bytes(body))
            case Instances(entries):
                self._instances(now, self.endpoints.merge(now, entries))
            case Silence(silent, recovered):
                for ids, is_silent in ((silent, True), (recovered, False)):
                    for id in ids:
                        if (number := self.backend_numbers.get(id)) is not None:
                            self._handle(now, BackendSuspected(number, is_silent))
            case Members(entries, gone, full):
                self.exchange.update_members(now, entries, gone, full)
                self._handle(now, IngressMembership(*self.exchange.membership(now)))
            case _:
                pass

    def _handle(self, now: float, event: Any) -> None:
        self.admission.handle(now * 1000, event)

    def _configure(self, now: float, version: int, body: bytes) -> None:
        if self.table is not None and version <= self.table.version:
            return
        configuration = read_configuration(body)
        assert not isinstance(configuration, RejectedConfiguration), configuration
        table = RouteTable(configuration, self.tenants)
        for service in configuration.services:
            self.pools.setdefault(service, len(self.pools))
        self._handle(now, SettingsChanged(table.settings))
        self.table = table

    def _instances(self, now: float, changed: list[Any]) -> None:
        for entry in changed:
            number = self.backend_numbers.get(entry.id)
            if number is None:
                if entry.state == GONE:
                    continue
                self._last_number += 1
                number = self.backend_numbers[entry.id] = self._last_number
                self.instance_of[number] = entry.id.encode()
            backend = BackendEntry(number, BACKEND_STATES[entry.state], int(entry.zone[1:]), size=entry.slots)
            pool = self.pools.setdefault(entry.service, len(self.pools))
            self._handle(now, FleetUpdate(ListKind.CHANGES, [backend], pool=pool))
            if entry.state == GONE:
                del self.backend_numbers[entry.id]
