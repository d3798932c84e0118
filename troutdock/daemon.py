"""The daemon: an ingress behind a listening socket, from its start to the end of its drain.

If the platform holds the socket, another process may share it: see troutdock/handover/roles.py for the rules
of ownership. Service is the host of both roles: PredecessorHost in the older process, SuccessorHost in the
newer one.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import tempfile
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Protocol, runtime_checkable

from troutdock.admission.interface import Settings, AttemptSettled
from troutdock import __version__
from troutdock.address import Address
from troutdock.engine import Engine
from troutdock.handover.link import PredecessorLink, SuccessorLink
from troutdock.handover.protocol import PredecessorStatus, ProtocolError, pack_state, unpack_state
from troutdock.handover.roles import TransferredConnection
from troutdock.http.body_limits import ByteBudget
from troutdock.http.request import Reader
from troutdock.http.listener import Server
from troutdock.http.transport import HttpTransport
from troutdock.management.availability import State
from troutdock.management.api import Books, Door
from troutdock.ingress import SWEEP_INTERVAL_S, Ingress, max_connections_per_side
from troutdock.overload.lag import EventLoopLag
from troutdock.platform.background import Background
from troutdock.platform.config import Config, require_keys_of

log = logging.getLogger("troutdock")

RETIRED_CLASS_GRACE_S = 3.0  # removed classes are still accepted, as clients learn of the change later


class Component(Protocol):
    """A component that runs next to the ingress, as configured in the operator's file."""

    def start(self, engine: Engine) -> None:
        """Starts the component, on the running event loop, and registers it with the engine."""

    async def close(self) -> None:
        """Stops the component after the ingress has drained."""

    def books(self) -> Books:
        """Returns the component's calls of the management API."""


@runtime_checkable
class Frontend(Component, Protocol):
    """A component that accepts clients or reaches backends itself."""

    def attach(self, host: Service) -> None:
        """Attaches to the service before it accepts clients; raises ValueError or OSError on failure."""


class Service:
    """One daemon."""

    def __init__(
        self, config: Config, listener: socket.socket | None = None, components: Sequence[Component] = ()
    ) -> None:
        """listener: the listening socket for clients, if the platform holds it."""
        self._config, self._listener, self._components = config, listener, components
        self.ingress = Ingress(config)
        self._server = Server(
            self.ingress.engine,
            Reader(config.settings),
            max_connections_per_side(config),
            self.ingress.lag,
            config.damping,
            ByteBudget(config.bodies),
            config.streams,
        )
        if config.listen is None:
            raise ValueError("a daemon needs an address to listen on")
        self.address = self._listen = config.listen
        self._management_server = Door(
            {
                b"/control/ready": (b"GET", lambda: self.ready),
                b"/control/out-of-service": (b"POST", lambda: self._set_in_service(False)),
                b"/control/in-service": (b"POST", lambda: self._set_in_service(True)),
            },
            {call: handler for component in components for call, handler in component.books().items()},
        )
        self.management: Address | None = None
        self._retire_timer: asyncio.TimerHandle | None = None
        self._to_successor: PredecessorLink | None = None
        self._from_predecessor: SuccessorLink | None = None
        self._exported_state: Any = None  # sent to a successor that has not acknowledged it
        self._requested_out_of_service: bool | None = None  # operator's request during standby
        self._predecessor_status = PredecessorStatus()

    # ---- for frontends

    @property
    def engine(self) -> Engine:
        """The engine shared by all frontends."""
        return self.ingress.engine

    @property
    def server(self) -> Server:
        """The listener for clients."""
        return self._server

    @property
    def transport(self) -> HttpTransport:
        """The transport to the backends."""
        return self.ingress.transport

    @property
    def lag(self) -> EventLoopLag:
        """The lag of this process."""
        return self.ingress.lag

    @property
    def times_s(self) -> tuple[float, float]:
        """Connect timeout, and idle time after which backends close connections, in seconds."""
        return self._config.connect_timeout_s, self._config.idle_s

    @property
    def ready(self) -> bool:
        """True if it accepts clients, or will as soon as its predecessor, which still serves, ends."""
        standing_by = self._from_predecessor is not None and self._from_predecessor.standing_by
        return self.ingress.engine.ready if standing_by else self._server.healthy

    def _set_in_service(self, wanted: bool) -> bool:
        """Handles an operator call, which applies to the process that accepts the clients."""
        if self._from_predecessor is not None and self._from_predecessor.standing_by:
            self._requested_out_of_service = not wanted
            self._from_predecessor.request_out_of_service(not wanted)
            return True
        availability, now = self._server.availability, time.monotonic()
        return availability.put_back(now) if wanted else availability.take_out(now)

    async def run(self, stop: asyncio.Event, serving: Callable[[Service], object]) -> None:
        """Serves until stop is set, then drains; serving is called once the service is started."""
        if self._config.management is not None:
            self.management = await self._management_server.listen(self._config.management)
        await self.ingress.start()
        for component in self._components:
            if isinstance(component, Frontend):
                component.attach(self)
            component.start(self.ingress.engine)
        self.address = self._server.listen(self._listen, self._listener, hold=True)
        if self._listener is not None:
            self._from_predecessor = SuccessorLink(self, __version__)
        if self._from_predecessor is None or not await self._from_predecessor.connect(tempfile.gettempdir()):
            self.become_owner(False)
        sweep = Background("client connection sweep", self._sweep)
        serving(self)
        await stop.wait()
        log.info("draining")
        if self._to_successor is not None:
            await self._to_successor.end()
        predecessor = self._from_predecessor
        if predecessor is not None and (predecessor.standing_by or predecessor.superseded):
            predecessor.close()  # this process never owned anything
        await self._server.drain(lambda: predecessor is not None and not predecessor.finished.is_set())
        self._management_server.close()
        if self._to_successor is not None:
            await self._to_successor.finish()
            self._to_successor.close()
        if predecessor is not None:
            predecessor.close()
        await sweep.stop()
        for component in self._components:
            await component.close()
        await self.ingress.close()
        log.info("drained")

    # ---- as a successor: SuccessorHost

    def import_state(self, state: bytes, holds: PredecessorStatus) -> tuple[str, tuple[str, ...]]:
        """Imports a state. Returns an error text, empty on success, and the names of unknown parts."""
        self._predecessor_status = holds
        try:
            left_out = self.ingress.engine.import_state(unpack_state(state))
        except (ProtocolError, ValueError) as error:
            log.warning("cannot import the predecessor's state: %s", error)
            return str(error), ()
        log.info("took over from a predecessor: %d bytes of state", len(state))
        if left_out:
            log.warning("unknown or missing parts of the state: %s", ", ".join(left_out))
        return "", tuple(name for name in left_out if not name.startswith("no "))

    def become_owner(self, without_state: bool) -> None:
        """Takes ownership and accepts clients. without_state: earlier consumption is unknown."""
        if without_state:
            self.ingress.engine.resume()
            self._predecessor_status = PredecessorStatus(
                self._predecessor_status.out_of_service
            )  # the rest ended with the predecessor
        self._server.open()
        self._server.reserve_predecessor_share(
            self._predecessor_status.bodies, self._predecessor_status.streams
        )
        if (
            self._predecessor_status.out_of_service
            if self._requested_out_of_service is None
            else self._requested_out_of_service
        ):
            self._server.availability.take_out(time.monotonic())
        if self._listener is not None:
            try:
                self._to_successor = PredecessorLink(tempfile.gettempdir(), self, __version__)
            except OSError as error:
                log.warning("no hand-over to a successor is possible: %s", error)
        log.info(
            "%s: serving on %s:%d, %d backends known",
            self._config.name,
            *self.address,
            len(self._config.known[1]),
        )

    def adopt(self, item: TransferredConnection) -> None:
        """Takes over a client connection with its received bytes."""
        self._server.adopt(item)

    def settle(self, settled: AttemptSettled) -> None:
        """Applies the outcome of an attempt of the predecessor."""
        self.ingress.engine.attempt_settled(settled)

    def predecessor_ended(self) -> None:
        """Handles the end of the predecessor: releases its share of the budgets."""
        self._server.reserve_predecessor_share(
            -self._predecessor_status.bodies, -self._predecessor_status.streams
        )
        self.ingress.engine.predecessor_ended()

    # ---- as a predecessor: PredecessorHost

    def begin_handover(self) -> tuple[bytes, PredecessorStatus]:
        """Stops accepting new work; returns the state and the status of this process."""
        log.info("a successor takes over")
        assert self._to_successor is not None
        self._server.begin_handover()
        self._exported_state = self.ingress.engine.export_state(self._to_successor.report_attempt)
        out_of_service = self._server.availability.state is State.OUT_OF_SERVICE
        return pack_state(self._exported_state), PredecessorStatus(
            out_of_service, *self._server.unreleased_share()
        )

    def ownership_transferred(self) -> None:
        """Starts passing connections to the successor, which owns the budgets."""
        assert self._to_successor is not None
        self._exported_state = None
        self._server.hand_over_to(self._to_successor)

    def successor_lost(self, untouched: bool, returned: Iterable[TransferredConnection]) -> None:
        """Resumes after the successor is gone, with the connections that it did not acknowledge."""
        log.warning("the successor has ended; this process resumes")
        self.ingress.engine.resume(self._exported_state if untouched else None)
        self._exported_state = None
        self._server.cancel_handover(returned)

    def set_out_of_service(self, out_of_service: bool) -> None:
        """Applies an operator call at the successor: out of service, or back in service."""
        self._set_in_service(not out_of_service)

    def reload(self, config: Config) -> None:
        """Applies a new configuration; ConfigError if it is incomplete, and then nothing changes."""
        settings = self.ingress.reload(require_keys_of(config, self._config))
        self._config = config
        self._server.reader = Reader(settings, retired=True)
        if self._retire_timer is not None:
            self._retire_timer.cancel()
        self._retire_timer = asyncio.get_running_loop().call_later(
            RETIRED_CLASS_GRACE_S, self._retire, settings
        )
        log.info(
            "reloaded: %d classes, %d plans, %d attempts",
            settings.live_classes,
            len(settings.plans),
            settings.max_attempts,
        )

    def _retire(self, settings: Settings) -> None:
        self._server.reader = Reader(settings)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._server.sweep()


async def serve(
    config: Config,
    stop: asyncio.Event,
    serving: Callable[[Service], object] = lambda service: None,
    listener: socket.socket | None = None,
    components: Sequence[Component] = (),
) -> None:
    """Serves until stop is set, then drains."""
    await Service(config, listener, components).run(stop, serving)
