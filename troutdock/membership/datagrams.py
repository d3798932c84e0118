"""Digests to and from peers as UDP datagrams, as PROTOCOL has it: the decision module words and reads them.

What is dropped here is counted and, the first time for each sender, logged: a datagram from an address that
is no peer's, one that is too long, and what comes faster than this ingress takes in. Nothing grows with
what strangers send: at most STRANGERS of them are told apart.
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

MAX_DATAGRAM_BYTES = 256  # bytes of a datagram; a longer one is against the protocol
MAX_READS_PER_PASS = 64  # datagrams that are read before other work has its turn
MAX_LOGGED_SENDERS = 64  # senders that are logged by name
INTAKE_MARGIN = (
    2.0  # times the intake a second that is let through: the platform drops what is more than the intake
)


@dataclass(frozen=True, slots=True)
class PeerAddresses:
    """Where digests go and come from."""

    listen: Address
    addresses: tuple[Address, ...]  # by gateway, this one's own among them
    broadcast: Address | None  # one datagram to it reaches all; None: each peer gets its own


class PeerSocket:
    """The socket that digests come and go by; it belongs to the loop that is running when it is opened."""

    def __init__(
        self, peers: PeerAddresses, index: int, intake_per_s: float, heard: Callable[[int, bytes], None]
    ) -> None:
        """index: this ingress's own number. heard: who is told a sender's number and its datagram."""
        self._peers, self._index, self._on_datagram = peers, index, heard
        self._indexes = {address: n for n, address in enumerate(peers.addresses)}
        self._max_per_s = max(1.0, INTAKE_MARGIN * intake_per_s)
        self._tokens, self._refilled_at = self._max_per_s, 0.0
        self._socket: socket.socket | None = None
        self._logged: set[Address] = set()
        self.dropped: Counter[str] = Counter()  # by cause
        self.address = peers.listen

    @property
    def is_open(self) -> bool:
        """There is a socket to hear and to tell by."""
        return self._socket is not None

    def open(self) -> None:
        """Listen; OSError if the address can't be had."""
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
        """Hear and tell nothing more; harmless when it is closed."""
        if self._socket is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def tell(self, gateway: int | None, body: bytes) -> None:
        """Send to one gateway, or to all others; what can't be sent is lost, as any datagram may be."""
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
            except OSError as error:  # an earlier datagram found nobody listening
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
            return  # its own, where one to everybody comes back
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
