"""Digests to and from peers as UDP datagrams (PROTOCOL); the decision module encodes and decodes them.

Dropped datagrams are counted and, the first time for each sender, logged: from an unknown address, too long,
or above the intake rate of this ingress. Memory does not grow with unknown senders: at most
MAX_LOGGED_SENDERS are remembered.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from troutdock.address import Address

log = logging.getLogger("troutdock")

MAX_DATAGRAM_BYTES = 256  # longer datagrams violate the protocol
MAX_READS_PER_PASS = 64  # then other work of the event loop runs
MAX_LOGGED_SENDERS = 64  # senders for whom a drop is logged
INTAKE_MARGIN = 2.0  # multiple of the intake rate that is accepted: the platform already drops above the rate


@dataclass(frozen=True, slots=True)
class PeerAddresses:
    """Addresses for digests."""

    listen: Address
    addresses: tuple[Address, ...]  # by gateway index, including this one
    broadcast: Address | None  # reaches all peers; None: send to each peer


class PeerSocket:
    """The UDP socket for digests. It belongs to the event loop that runs when it is opened."""

    def __init__(
        self, peers: PeerAddresses, index: int, intake_per_s: float, on_datagram: Callable[[int, bytes], None]
    ) -> None:
        """index: of this ingress. on_datagram: is called with the sender's index and the datagram."""
        self._peers, self._index, self._on_datagram = peers, index, on_datagram
        self._indexes = {address: n for n, address in enumerate(peers.addresses)}
        self._max_per_s = max(1.0, INTAKE_MARGIN * intake_per_s)
        self._tokens, self._refilled_at = self._max_per_s, 0.0
        self._socket: socket.socket | None = None
        self._logged: set[Address] = set()
        self.dropped: Counter[str] = Counter()  # count by reason
        self.address = peers.listen

    @property
    def is_open(self) -> bool:
        """True if the socket is open."""
        return self._socket is not None

    def open(self) -> None:
        """Binds the socket; raises OSError if the address is not available."""
        self._loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.bind(self._peers.listen)
        except OSError:
            sock.close()
            raise
        self._socket, self.address = sock, sock.getsockname()
        self._loop.add_reader(sock, self._readable)

    def close(self) -> None:
        """Closes the socket; idempotent."""
        if self._socket is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def tell(self, gateway: int | None, body: bytes) -> None:
        """Sends to one gateway, or to all others (None). A failed send is counted and not retried."""
        if self._socket is None:
            return
        if gateway is not None:
            targets: tuple[Address, ...] = self._peers.addresses[gateway : gateway + 1]
        elif self._peers.broadcast is not None:
            targets = (self._peers.broadcast,)
        else:
            targets = tuple(a for n, a in enumerate(self._peers.addresses) if n != self._index)
        for address in targets:
            try:
                self._socket.sendto(body, address)
            except OSError as error:
                self._drop("could not be sent", address, error)

    def _readable(self) -> None:
        for _ in range(MAX_READS_PER_PASS):
            if self._socket is None:
                return
            try:
                body, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:  # ICMP error: nobody listened at the address of an earlier datagram
                self.dropped["not delivered"] += 1
                log.debug("peers: %r", error)
                continue
            self._receive(body, sender)

    def _receive(self, body: bytes, sender: Address) -> None:
        number = self._indexes.get(sender)
        now = self._loop.time()
        self._tokens = min(self._max_per_s, self._tokens + (now - self._refilled_at) * self._max_per_s)
        self._refilled_at = now
        if number is None:
            self._drop("from no peer", sender)
        elif number == self._index:
            return  # own datagram, returned by the broadcast address
        elif len(body) > MAX_DATAGRAM_BYTES:
            self._drop("too long", sender)
        elif self._tokens < 1:
            self._drop("too many", sender)
        else:
            self._tokens -= 1
            self._on_datagram(number, body)

    def _drop(self, why: str, address: Address, error: OSError | None = None) -> None:
        self.dropped[why] += 1
        if address not in self._logged and len(self._logged) < MAX_LOGGED_SENDERS:
            self._logged.add(address)
            log.warning("peers: a datagram %s: %s:%d%s", why, *address, f" ({error})" if error else "")
