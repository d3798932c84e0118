"""The daemon: an ingress behind a listening socket, from its start to the end of its drain.

With a socket that the platform holds there may be another process at it: see troutdock/handover/roles.py for
who owns what. This is the host of both roles, PredecessorHost while it is the older process and SuccessorHost
while it is the newer one.
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

RETIRED_CLASS_GRACE_S = 3.0  # a class that is gone is still taken for so long, as clients hear of it later


class Component(Protocol):
    """What runs beside the ingress because the operator's file asks for it."""

    def start(self, engine: Engine) -> None:
        """The loop runs: offer the engine what this is for."""

    async def close(self) -> None:
        """The ingress has drained: end in order."""

    def books(self) -> Books:
        """What operators may see and add to at their door."""


@runtime_checkable
class Frontend(Component, Protocol):
    """One that takes clients or reaches backends by itself."""

    def attach(self, host: Service) -> None:
        """Before the clients come. ValueError or OSError if that can't be."""


class Service:
    """One daemon."""

    def __init__(
        self, config: Config, listener: socket.socket | None = None, components: Sequence[Component] = ()
    ) -> None:
        """listener: the clients' listening socket, where the platform holds it."""
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
                b"/control/out-of-service": (b"POST", lambda: self._in_service(False)),
                b"/control/in-service": (b"POST", lambda: self._in_service(True)),
            },
            {call: does for part in components for call, does in part.books().items()},
        )
        self.management: Address | None = None
        self._retire_timer: asyncio.TimerHandle | None = None
        self._to_successor: PredecessorLink | None = None
        self._from_predecessor: SuccessorLink | None = None
        self._exported_state: Any = None  # that was given to a successor, until that has said that it uses it
        self._requested_out_of_service: bool | None = (
            None  # of this process's operator while it stood by: out of service, or in
        )
        self._predecessor_status = PredecessorStatus()  # what the predecessor has

    # ---- what fronts beside this one need

    @property
    def engine(self) -> Engine:
        """The one of all fronts."""
        return self.ingress.engine

    @property
    def server(self) -> Server:
        """The clients' listener."""
        return self._server

    @property
    def transport(self) -> HttpTransport:
        """The way to the backends."""
        return self.ingress.transport

    @property
    def lag(self) -> EventLoopLag:
        """This process's own."""
        return self.ingress.lag

    @property
    def times_s(self) -> tuple[float, float]:
        """For a connection to come up; until a backend closes an idle one."""
        return self._config.connect_timeout_s, self._config.idle_s

    @property
    def ready(self) -> bool:
        """It takes clients, or will the moment its predecessor is told to end, which takes them till then."""
        standing_by = self._from_predecessor is not None and self._from_predecessor.standing_by
        return self.ingress.engine.ready if standing_by else self._server.healthy

    def _in_service(self, wanted: bool) -> bool:
        """An operator's call, which counts for whoever takes the clients."""
        if self._from_predecessor is not None and self._from_predecessor.standing_by:
            self._requested_out_of_service = not wanted
            self._from_predecessor.request_out_of_service(not wanted)
            return True
        away, now = self._server.availability, time.monotonic()
        return away.put_back(now) if wanted else away.take_out(now)

    async def run(self, stop: asyncio.Event, serving: Callable[[Service], object]) -> None:
        """Serve until stop is set, then drain; serving is told once the door is open."""
        if self._config.management is not None:
            self.management = await self._management_server.listen(self._config.management)
        await self.ingress.start()
        for part in self._components:
            if isinstance(part, Frontend):
                part.attach(self)
            part.start(self.ingress.engine)
        self.address = self._server.listen(self._listen, self._listener, hold=True)
        if self._listener is not None:
            self._from_predecessor = SuccessorLink(self, __version__)
        if self._from_predecessor is None or not await self._from_predecessor.connect(tempfile.gettempdir()):
            self.become_owner(False)
        sweep = Background("the sweep of clients", self._sweep)
        serving(self)
        await stop.wait()
        log.info("draining")
        if self._to_successor is not None:
            await self._to_successor.end()
        before = self._from_predecessor
        if before is not None and (before.standing_by or before.superseded):
            before.close()  # it was never the owner of anything
        await self._server.drain(lambda: before is not None and not before.finished.is_set())
        self._management_server.close()
        if self._to_successor is not None:
            await self._to_successor.finish()
            self._to_successor.close()
        if before is not None:
            before.close()
        await sweep.stop()
        for part in self._components:
            await part.close()
        await self.ingress.close()
        log.info("drained")

    # ---- as a successor: SuccessorHost

    def import_state(self, state: bytes, holds: PredecessorStatus) -> tuple[str, tuple[str, ...]]:
        """Go on from a state: why that can't be, or nothing; and what of it is not known here."""
        self._predecessor_status = holds
        try:
            left_out = self.ingress.engine.import_state(unpack_state(state))
        except (ProtocolError, ValueError) as error:
            log.warning("the predecessor's state is of no use: %s", error)
            return str(error), ()
        log.info("took over from a predecessor: %d bytes of state", len(state))
        if left_out:
            log.warning("unknown or missing parts of the state: %s", ", ".join(left_out))
        return "", tuple(name for name in left_out if not name.startswith("no "))

    def become_owner(self, without_state: bool) -> None:
        """All is this process's from now on: take clients. alone: without knowing what was spent before."""
        if without_state:
            self.ingress.engine.resume()
            self._predecessor_status = PredecessorStatus(
                self._predecessor_status.out_of_service
            )  # what it held has gone with it
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
                log.warning("a successor can take nothing over: %s", error)
        log.info(
            "%s: serving on %s:%d, %d backends known",
            self._config.name,
            *self.address,
            len(self._config.known[1]),
        )

    def adopt(self, item: TransferredConnection) -> None:
        """A client's connection, with what has come on it."""
        self._server.adopt(item)

    def settle(self, settled: AttemptSettled) -> None:
        """What an attempt of the predecessor has come to."""
        self.ingress.engine.attempt_settled(settled)

    def predecessor_ended(self) -> None:
        """The predecessor has ended, and what it held of the budgets is free."""
        self._server.reserve_predecessor_share(
            -self._predecessor_status.bodies, -self._predecessor_status.streams
        )
        self.ingress.engine.predecessor_ended()

    # ---- as a predecessor: PredecessorHost

    def begin_handover(self) -> tuple[bytes, PredecessorStatus]:
        """Let nothing new in: the state, and what this process holds to its end."""
        log.info("a successor takes over")
        assert self._to_successor is not None
        self._server.begin_handover()
        self._exported_state = self.ingress.engine.export_state(self._to_successor.report_attempt)
        out = self._server.availability.state is State.OUT_OF_SERVICE
        return pack_state(self._exported_state), PredecessorStatus(out, *self._server.unreleased_share())

    def ownership_transferred(self) -> None:
        """The successor is the owner; connections may be given."""
        assert self._to_successor is not None
        self._exported_state = None
        self._server.hand_over_to(self._to_successor)

    def successor_lost(self, untouched: bool, returned: Iterable[TransferredConnection]) -> None:
        """There is no successor any more; connections that nobody has are back."""
        log.warning("the successor has ended; what is left is this process's again")
        self.ingress.engine.resume(self._exported_state if untouched else None)
        self._exported_state = None
        self._server.cancel_handover(returned)

    def set_out_of_service(self, out_of_service: bool) -> None:
        """The successor's operator takes the ingress out of service, or puts it back."""
        self._in_service(not out_of_service)

    def reload(self, config: Config) -> None:
        """Go over to a new configuration as a whole; ConfigError if it is not whole, and nothing changes."""
        settings = self.ingress.reload(require_keys_of(config, self._config))
        self._config = config
        self._server.reader = Reader(settings, retired=True)
        if self._retire_timer is not None:
            self._retire_timer.cancel()
        self._retire_timer = asyncio.get_running_loop().call_later(
            RETIRED_CLASS_GRACE_S, self._retire, settings
        )
        log.info(
            "configured anew: %d classes, %d plans, %d attempts",
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
    """Serve until stop is set, then drain."""
    await Service(config, listener, components).run(stop, serving)
