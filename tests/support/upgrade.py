"""Processes that share a listening socket, as during an upgrade."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

from loopback import SETTINGS, Client, Peer, free_address, target

ROOT = Path(__file__).parent.parent.parent


class Upgrade:
    """Processes that share a listening socket; each has its own management address."""

    def __init__(self, node: Peer, where: Path, operator: Path | None = None, **extra: object) -> None:
        """operator: the operator's file, if any."""
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = self.socket.getsockname()
        self.where, self.node, self.operator, self.extra = where, node, operator, extra
        self.children: list[tuple[subprocess.Popen[bytes], tuple[str, int]]] = []

    async def start(self, prelude: str = "") -> int:
        """Starts a process; returns its number once it is ready. prelude: Python code that it runs first."""
        number = len(self.children)
        management = free_address()
        config = {
            "name": "n0",
            "listen": "{}:{}".format(*self.address),
            "discovery": "127.0.0.1:9",
            "seed": f"{number:x}",
            "limits": {"sockets": 256},
            "settings": SETTINGS,
            "known": {"rev": 5, "all": True, "targets": [target(self.node, "s-0")]},
            **self.extra,
        }
        file = self.where / f"{number}.json"
        file.write_text(json.dumps(config))
        fd = self.socket.fileno()
        env = {
            **os.environ,
            "RELAY_CONFIG": str(file),
            "RELAY_SOCKET_FD": str(fd),
            "TMPDIR": str(self.where),
            "RELAY_MANAGEMENT": "{}:{}".format(*management),
        }
        if self.operator is not None:
            env["TROUTDOCK_OPERATOR"] = str(self.operator)
        with (self.where / f"{number}.log").open("w") as log:
            program = (
                ["-c", f"{prelude}\nfrom troutdock.__main__ import main\nraise SystemExit(main())"]
                if prelude
                else ["-m", "troutdock"]
            )
            child = subprocess.Popen(
                [sys.executable, *program], cwd=ROOT, pass_fds=(fd,), env=env, stderr=log
            )
        self.children.append((child, management))
        for _ in range(1000):
            if await self.call(number, "GET", "ready") == 200:
                return number
            assert child.poll() is None, "the process has ended"
            await asyncio.sleep(0.02)
        raise AssertionError("never ready")

    async def call(self, number: int, method: str, path: str) -> int:
        try:
            reader, writer = await asyncio.open_connection(*self.children[number][1])
        except OSError:
            return 0
        try:
            return (
                await Client(reader, writer).ask(
                    f"{method} /control/{path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
                )
            )[0]
        finally:
            writer.close()

    async def end(self, number: int) -> int:
        child = self.children[number][0]
        child.send_signal(signal.SIGTERM)
        return await asyncio.to_thread(child.wait, 20)

    def holds_connection(self, number: int, client_port: int) -> bool:
        """Returns whether a process has accepted the connection from this port on loopback."""
        rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
        local, remote = f":{self.address[1]:04X}", f":{client_port:04X}"
        inodes = {row[9] for row in rows if row[1].endswith(local) and row[2].endswith(remote)}
        descriptors = Path(f"/proc/{self.children[number][0].pid}/fd").iterdir()
        return any(os.readlink(path) == f"socket:[{inode}]" for path in descriptors for inode in inodes)

    def kill(self) -> None:
        for child, _ in self.children:
            if child.poll() is None:
                child.kill()
            child.wait(20)
        self.socket.close()
