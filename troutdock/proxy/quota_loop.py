"""The loop round a proxy's part in the fleet's quotas: links, datagrams and timers for troutdock.quota.node.

Demands, grants and votes go as datagrams, one netstring of JSON each: on a link a lost packet would hold up
all that is behind it. Who may speak is decided by the links: a datagram counts from the address and the life
that a linked peer has named. What must come once goes on the links.
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

TICK_INTERVAL_S = 0.1  # between two looks at the time
BUSY_LAG_MS, IDLE_LAG_MS = 40.0, 15.0  # lag from which on this proxy is busy, and down to which it stays so
LAG_WEIGHT = 0.3  # of the newest look at the lag, in its average
MAX_DATAGRAM_BYTES = 1400  # what is longer goes on the link
LOG_INTERVAL_S = 10.0  # between two lines about messages that made no sense


class _Datagrams(asyncio.DatagramProtocol):
    """The door for datagrams of other proxies."""

    def __init__(self, receive: Callable[[bytes, Address], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self._receive(data, addr)


class QuotaLoop:
    """Carries a QuotaNode's messages and grants; it belongs to the event loop that runs."""

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
        """Begin idle.

        Args:
            node: The state machine.
            clock: The decision module's.
            hello: Who this proxy is.
            peer: Who a linked proxy is, by name.
            send: To a linked proxy, by name, on its link.
            inform: The decision module, of grants.
            lag_ms: How late the event loop handles what has come.
            set_busy: Gets each change of whether others should own and aggregate in this proxy's place, as it
                is late or not linked yet.
            bootstrap: The whole fleet starts, so that nobody else is linked yet either.
        """
        self.node = node
        self._clock, self._hello, self._peer = clock, hello, peer
        self._send, self._inform = send, inform
        self._datagrams: asyncio.DatagramTransport | None = None
        self._port = 0  # of all proxies' datagrams
        self._resend_timer: asyncio.TimerHandle | None = None
        self._lag_ms, self._set_busy = lag_ms, set_busy
        self._average_lag_ms, self._is_busy = 0.0, False
        self._may_be_unsettled = not bootstrap
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._is_flush_due = False
        self._rejected, self._logged_at = 0, 0.0

    async def start(self, address: Address) -> None:
        """Open the door for datagrams, and look at the time from now on; OSError if it is taken."""
        self._port = address[1]
        self._datagrams, _ = await self._loop.create_datagram_endpoint(
            lambda: _Datagrams(self._receive_datagram), local_addr=address
        )
        self._update_lag()
        self._tick()

    def now(self) -> float:
        """Seconds, as the node counts them."""
        return self._clock.now() / 1000

    def update_peers(self, peers: Peers) -> None:
        """Other proxies were linked, lost, listed or delisted."""
        self.node.update_peers(self.now(), peers)
        self.flush()

    def receive(self, peer: str, message: Message) -> None:
        """A linked proxy has sent something about quotas."""
        self.node.receive(self.now(), peer, message)
        self.flush_soon()

    def flush_soon(self) -> None:
        """Send what there is once the present events are through, so that one message holds it all."""
        if not self._is_flush_due and self.node.has_output:
            self._is_flush_due = True
            self._loop.call_soon(self.flush)

    def flush(self) -> None:
        """Hand grants to the decision module, and send all messages."""
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
        """Send to one proxy: in one datagram what may be lost, on its link the rest."""
        datagram = QuotaDatagram(self._hello.name, self._hello.life % INCARNATION_TAG_MODULUS)
        unsure: list[Message] = []
        for message in messages:
            match message:
                case QuotaRequest(demands, votes, hops):
                    datagram.demands, datagram.votes, datagram.hops = demands, votes, hops
                    unsure.append(message)
                case QuotaGrant(grants):
                    datagram.grants = grants
                    unsure.append(message)
                case _:
                    self._send(name, message)
        if unsure and not self._send_datagram(name, datagram):
            for message in unsure:
                self._send(name, message)

    def _send_datagram(self, name: str, datagram: QuotaDatagram) -> bool:
        """False: it is too long, or there is no way."""
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
        except (FrameError, MessageError, ValueError):  # the last: not one whole frame
            self.node.rejected += 1
            return
        if not self._is_of_peer(datagram, address):
            self.node.rejected += 1
            return
        if datagram.demands or datagram.votes:
            self.receive(datagram.sender, QuotaRequest(datagram.demands, datagram.votes, datagram.hops))
        if datagram.grants:
            self.receive(datagram.sender, QuotaGrant(datagram.grants))

    def _is_of_peer(self, datagram: QuotaDatagram, address: Address) -> bool:
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
        is_late = self._average_lag_ms > (IDLE_LAG_MS if self._is_busy else BUSY_LAG_MS)
        self._may_be_unsettled = self._may_be_unsettled and not self.node.is_settled(self.now())
        is_busy = is_late or self._may_be_unsettled
        if is_busy != self._is_busy:
            self._is_busy = is_busy
            log.info("quota status busy={} lag_ms={:.0f}", is_busy, self._average_lag_ms)
            self._set_busy(is_busy)

    def close(self) -> None:
        """Hand ownership over and look at the time no more; the links are to live a moment longer."""
        if self._timer is not None:
            self._timer.cancel()
        self.node.hand_over(self.now())
        self.flush()
        if self._resend_timer is not None:
            self._resend_timer.cancel()
        if self._datagrams is not None:
            self._datagrams.close()
