"""One ingress in full, without sockets: what troutdock.proxy.daemon.Ingress holds and does for control."""

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
    """Book, decision module with tenants and backends, list of ingresses, table of routes."""

    def __init__(self, name: str, ip: str, zone: str) -> None:
        self.book = EndpointTable()
        self.fabric = ProxyAdmission(EMPTY_SETTINGS, 1, int(zone[1:]))
        self.exchange = LoadExchange(name, ip, zone, 1, self.book)
        self.table: RouteTable | None = None
        self.numbers: dict[str, int] = {}
        self.instance_of: dict[int, bytes] = {}
        self.pools: dict[str, int] = {}
        self.tenants: dict[str, int] = {}
        self._last = 0

    def hear(self, now: float, message: Any) -> None:
        """As Ingress._handle_registry_message."""
        match message:
            case Config(version, body):
                self._configure(now, version, bytes(body))
            case Instances(entries):
                self._instances(now, self.book.merge(now, entries))
            case Silence(silent, back):
                for ids, is_silent in ((silent, True), (back, False)):
                    for id in ids:
                        if (number := self.numbers.get(id)) is not None:
                            self._tell(now, BackendSuspected(number, is_silent))
            case Members(entries, gone, full):
                self.exchange.update_members(now, entries, gone, full)
                self._tell(now, IngressMembership(*self.exchange.membership(now)))
            case _:
                pass

    def _tell(self, now: float, event: Any) -> None:
        self.fabric.handle(now * 1000, event)

    def _configure(self, now: float, version: int, body: bytes) -> None:
        if self.table is not None and version <= self.table.version:
            return
        found = read_configuration(body)
        assert not isinstance(found, RejectedConfiguration), found
        table = RouteTable(found, self.tenants)
        for service in found.services:
            self.pools.setdefault(service, len(self.pools))
        self._tell(now, SettingsChanged(table.settings))
        self.table = table

    def _instances(self, now: float, risen: list[Any]) -> None:
        for entry in risen:
            number = self.numbers.get(entry.id)
            if number is None:
                if entry.state == GONE:
                    continue
                self._last += 1
                number = self.numbers[entry.id] = self._last
                self.instance_of[number] = entry.id.encode()
            told = BackendEntry(number, BACKEND_STATES[entry.state], int(entry.zone[1:]), size=entry.slots)
            pool = self.pools.setdefault(entry.service, len(self.pools))
            self._tell(now, FleetUpdate(ListKind.CHANGES, [told], pool=pool))
            if entry.state == GONE:
                del self.numbers[entry.id]
