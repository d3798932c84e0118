"""Valid and invalid digests over loopback sockets, and the configuration of peers."""

from __future__ import annotations

import json
import logging
import socket
from typing import Any

import pytest
from loopback import SETTINGS, run, until

from troutdock.ingress import Ingress
from troutdock.membership.datagrams import MAX_DATAGRAM_BYTES, PeerSocket, PeerAddresses
from troutdock.platform.config import ConfigError, read_config


def bound() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    return sock


def test_what_peers_tell_is_heard_and_all_else_is_dropped_counted_and_named_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        peer, stranger, own = bound(), bound(), bound()
        address = own.getsockname()
        own.close()
        heard: list[tuple[int, bytes]] = []
        ways = PeerSocket(
            PeerAddresses(address, (address, peer.getsockname()), None),
            0,
            20.0,
            lambda n, body: heard.append((n, body)),
        )
        ways.open()
        try:
            with caplog.at_level(logging.WARNING, logger="troutdock"):
                for _ in range(3):
                    stranger.sendto(b"from nobody", address)
                    peer.sendto(b"x" * (MAX_DATAGRAM_BYTES + 1), address)
                peer.sendto(b"good", address)
                await until(lambda: bool(heard))
                assert heard == [(1, b"good")]
                assert ways.dropped == {"from no peer": 3, "too long": 3}
                for _ in range(200):
                    peer.sendto(b"flood", address)
                await until(lambda: len(heard) + ways.dropped["too many"] == 201)
                assert 10 < len(heard) < 100  # twice the intake rate, plus the tokens refilled while reading
            assert len(caplog.records) == 2  # one line for each of the two senders
            ways.tell(None, b"to all")
            ways.tell(1, b"to one")
            peer.settimeout(5)
            assert {peer.recv(300), peer.recv(300)} == {b"to all", b"to one"}
        finally:
            ways.close()
            ways.close()
            ways.tell(1, b"nothing goes")
            peer.close()
            stranger.close()

    run(test())


def config(**changes: Any) -> str:
    settings = json.loads(json.dumps(SETTINGS))
    peers = [f"127.0.0.1:{7000 + n}" for n in range(settings["balancers"])]
    return json.dumps(
        {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:1",
            "settings": settings,
            "peer_listen": "127.0.0.1:7946",
            "peers": peers,
            "peers_all": "127.0.0.1:7947",
            **changes,
        }
    )


def test_the_configuration_names_the_peers_or_none() -> None:
    peers = read_config(config()).peers
    assert (
        peers is not None and peers.listen == ("127.0.0.1", 7946) and peers.broadcast == ("127.0.0.1", 7947)
    )
    raw = json.loads(config())
    for key in ("peer_listen", "peers"):
        del raw[key]
    assert read_config(json.dumps(raw)).peers is None


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("peer_listen", 7),
        ("peer_listen", "here"),
        ("peers", "127.0.0.1:1"),
        ("peers", []),
        ("peers", None),
        ("peers_all", ["127.0.0.1:1"]),
    ],
)
def test_peers_of_a_wrong_shape_are_named(key: str, value: Any) -> None:
    with pytest.raises(ConfigError, match=key):
        read_config(config(**{key: value}))


def test_a_wrong_address_among_the_peers_is_named_with_its_place() -> None:
    raw = json.loads(config())
    raw["peers"][1] = "nowhere"
    with pytest.raises(ConfigError, match=r"peers\[1\]"):
        read_config(json.dumps(raw))


def test_a_successor_hears_peers_once_the_address_is_free() -> None:
    """During an upgrade two processes are configured with the same address."""

    async def test() -> None:
        before = bound()
        listen = "{}:{}".format(*before.getsockname())
        raw = json.loads(config(peer_listen=listen))
        raw["settings"]["permissions"]["may_tell"] = True
        ingress = Ingress(read_config(json.dumps(raw)))
        await ingress.start()
        try:
            assert ingress.peers is not None and not ingress.peers.is_open
            before.close()
            await until(lambda: ingress.peers is not None and ingress.peers.is_open)
        finally:
            await ingress.close()

    run(test())
