"""I/O for the quota state machine (troutdock.quota.node): links, datagrams and timers.

Demands, grants and votes are sent as datagrams, each one netstring of JSON, because on a link a lost packet
would delay everything behind it. Links authenticate the senders: a datagram is accepted only from the address
and the incarnation that a linked peer has declared. Messages that must be delivered exactly once are sent on
the links.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import groupby
from math import inf
from operator import itemgetter

import logbook

from troutdock.rpc.connection import Address
from troutdock.rpc.messages import (
    INCARNATION_TAG_MODULUS,
    Hello,
    Message,
    MessageError,
    QuotaDatagram,
    QuotaGrant,
    QuotaRequest,
    decode_datagram,
    encode_datagram,
)
from troutdock.rpc.netstring import FrameDecoder, FrameError, encode_frame
from troutdock.admission.interface import Event, LeasesDue
from troutdock.platform.clock import SystemClock
from troutdock.quota.node import QuotaNode
from troutdock.quota.routes import Peers

log = logbook.Logger("quotas")

TICK_INTERVAL_S = 0.1  # interval of the periodic work
BUSY_LAG_MS, IDLE_LAG_MS = (
    40.0,
    15.0,
)  # event loop lag at which a proxy becomes busy, and below which it stops
LAG_WEIGHT = 0.3  # of the newest sample in the average lag
MAX_DATAGRAM_BYTES = 1400  # longer messages are sent on the link
LOG_INTERVAL_S = 10.0  # between two log lines about rejected messages


class _Datagrams(asyncio.DatagramProtocol):
    """Receives datagrams from other proxies."""

    def __init__(self, receive: Callable[[bytes, Address], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self._receive(data, addr)


class QuotaLoop:
    """Transports the messages and grants of a QuotaNode; bound to the running event loop."""

    def __init__(
        self,
        node: QuotaNode,
        clock: SystemClock,
        hello: Hello,
        peer: Callable[[str], Hello | None],
        send: Callable[[str, Message], None],
        inform: Callable[[Event], None],
        lag_ms: Callable[[], float],
        set_busy: Callable[[bool], None],
        bootstrap: bool,
    ) -> None:
        """Starts idle.

        Args:
            node: The state machine.
            clock: The clock of the decision module.
            hello: Identity of this proxy.
            peer: Returns the identity of a linked proxy by its name.
            send: Sends a message to a linked proxy, by name, on its link.
            inform: Notifies the decision module of grants.
            lag_ms: Returns the lag of the event loop.
            set_busy: Called when the busy state changes. Other proxies should own and aggregate in place of a
                busy proxy, which has a high lag or is not linked yet.
            bootstrap: The whole fleet starts, so other proxies are not linked yet either.
        """
        self.node = node
        self._clock, self._hello, self._peer = clock, hello, peer
        self._send, self._inform = send, inform
        self._datagrams: asyncio.DatagramTransport | None = None
        self._port = 0  # used for datagrams by all proxies
        self._resend_timer: asyncio.TimerHandle | None = None
        self._lag_ms, self._set_busy = lag_ms, set_busy
        self._average_lag_ms, self._is_busy = 0.0, False
        self._may_be_unsettled = not bootstrap
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._is_flush_due = False
        self._rejected, self._logged_at = 0, 0.0

    async def start(self, address: Address) -> None:
        """Opens the datagram socket and starts the timers; raises OSError if the address is in use."""
        self._port = address[1]
        self._datagrams, _ = await self._loop.create_datagram_endpoint(
            lambda: _Datagrams(self._receive_datagram), local_addr=address
        )
        self._update_lag()
        self._tick()

    def now(self) -> float:
        """Returns the time of the node in seconds."""
        return self._clock.now() / 1000

    def update_peers(self, peers: Peers) -> None:
        """Applies a change of links to other proxies or of the registry's list."""
        self.node.update_peers(self.now(), peers)
        self.flush()

    def receive(self, peer: str, message: Message) -> None:
        """Handles a quota message of a linked proxy."""
        self.node.receive(self.now(), peer, message)
        self.flush_soon()

    def flush_soon(self) -> None:
        """Schedules a flush after the current events, so that their output is sent in one message."""
        if not self._is_flush_due and self.node.has_output:
            self._is_flush_due = True
            self._loop.call_soon(self.flush)

    def flush(self) -> None:
        """Notifies the decision module of grants, and sends all messages."""
        self._is_flush_due = False
        if self.node.has_grants:
            self._inform(LeasesDue())
        for peer, messages in groupby(self.node.take_messages(), key=itemgetter(0)):
            self._send_messages(peer, [message for _, message in messages])
        if self._resend_timer is None and self.node.resend_at < inf:
            wait_s = max(0.0, self.node.resend_at - self.now())
            self._resend_timer = self._loop.call_later(wait_s, self._resend)

    def _resend(self) -> None:
        self._resend_timer = None
        self.node.resend(self.now())
        self.flush()

    def _send_messages(self, name: str, messages: list[Message]) -> None:
        """Sends messages to one proxy: those that may be lost in one datagram, the rest on its link."""
        datagram = QuotaDatagram(self._hello.name, self._hello.life % INCARNATION_TAG_MODULUS)
        lossy: list[Message] = []
        for message in messages:
            match message:
                case QuotaRequest(demands, votes, hops):
                    datagram.demands, datagram.votes, datagram.hops = demands, votes, hops
                    lossy.append(message)
                case QuotaGrant(grants):
                    datagram.grants = grants
                    lossy.append(message)
                case _:
                    self._send(name, message)
        if lossy and not self._send_datagram(name, datagram):
            for message in lossy:
                self._send(name, message)

    def _send_datagram(self, name: str, datagram: QuotaDatagram) -> bool:
        """Sends a datagram; returns False if it is too long, or the socket or the peer is unavailable."""
        peer = self._peer(name)
        payload = encode_datagram(datagram)
        if self._datagrams is None or peer is None or len(payload) > MAX_DATAGRAM_BYTES:
            return False
        self._datagrams.sendto(encode_frame(payload), (peer.ip, self._port))
        return True

    def _receive_datagram(self, data: bytes, address: Address) -> None:
        try:
            (payload,) = FrameDecoder(MAX_DATAGRAM_BYTES).feed(data)
            datagram = decode_datagram(payload)
        except (FrameError, MessageError, ValueError):  # ValueError: not exactly one complete frame
            self.node.rejected += 1
            return
        if not self._is_from_peer(datagram, address):
            self.node.rejected += 1
            return
        if datagram.demands or datagram.votes:
            self.receive(datagram.sender, QuotaRequest(datagram.demands, datagram.votes, datagram.hops))
        if datagram.grants:
            self.receive(datagram.sender, QuotaGrant(datagram.grants))

    def _is_from_peer(self, datagram: QuotaDatagram, address: Address) -> bool:
        peer = self._peer(datagram.sender)
        return peer is not None and (peer.ip, peer.life % INCARNATION_TAG_MODULUS) == (
            address[0],
            datagram.life_tag,
        )

    def _tick(self) -> None:
        now = self.now()
        self.node.tick(now)
        self._inform(LeasesDue())
        self.flush()
        if self.node.rejected > self._rejected and now - self._logged_at >= LOG_INTERVAL_S:
            log.warning("quota messages rejected count={}", self.node.rejected - self._rejected)
            self._rejected, self._logged_at = self.node.rejected, now
        self._update_lag()
        self._timer = self._loop.call_later(TICK_INTERVAL_S, self._tick)

    def _update_lag(self) -> None:
        self._average_lag_ms += (self._lag_ms() - self._average_lag_ms) * LAG_WEIGHT
        is_lagging = self._average_lag_ms > (IDLE_LAG_MS if self._is_busy else BUSY_LAG_MS)
        self._may_be_unsettled = self._may_be_unsettled and not self.node.is_settled(self.now())
        is_busy = is_lagging or self._may_be_unsettled
        if is_busy != self._is_busy:
            self._is_busy = is_busy
            log.info("quota status busy={} lag_ms={:.0f}", is_busy, self._average_lag_ms)
            self._set_busy(is_busy)

    def close(self) -> None:
        """Hands ownership over and stops the timers; the links must stay open for a moment longer."""
        if self._timer is not None:
            self._timer.cancel()
        self.node.hand_over(self.now())
        self.flush()
        if self._resend_timer is not None:
            self._resend_timer.cancel()
        if self._datagrams is not None:
            self._datagrams.close()
