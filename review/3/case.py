"""The operator has eight long orders under way at once; the platform holds each process to its memory."""

from __future__ import annotations

import asyncio
import json
import os
import random
import string
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import HOST, Backend, Deployment, Record, call, configuration, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
AT_ONCE = 8 if TROUBLE else 1  # "Up to eight orders may be under way at once"
MEMORY_MB = {"espalier": 300, "hedgerow": 296, "rootstock": 296}  # limits.memoryMb of the settings files
MAX_BYTES = (296 << 20) // 64  # docs/system.md: a configuration is at most a 64th of the core's memory
TENANTS = 99_000
PLAY_S = 85.0
RESTART_S = 0.5  # "started again after a short delay"
PATIENCE_S = 12.0  # "a second of silence (more for large bodies)": a patient operator
SAMPLE_S = 0.01


async def run(_: str) -> bytes:
    await asyncio.sleep(0.02)
    return b"x" * 400


class Orders:
    """Configurations that differ in their revision only."""

    def __init__(self) -> None:
        chance = random.Random(1)

        def word(length: int) -> str:
            return "".join(chance.choices(string.ascii_lowercase + string.digits, k=length))

        route = ["look", HOST, "/look/", "read_only", 5, 2, 2, None, 2, False, "lectern"]
        self.small = configuration(5, [route], ["lectern"])
        rows = [[f"{word(4)}{number:05d}", [word(20)], 1, 63, 63] for number in range(TENANTS)]
        tenants = {**self.small["tenants"], "rows": [*self.small["tenants"]["rows"], *rows]}
        self._body = json.dumps({**self.small, "tenants": tenants}, separators=(",", ":")).encode()

    def body(self, version: int) -> bytes:
        return self._body.replace(b'"r5"', b'"r%d"' % version, 1)


def resident_mb(pid: int) -> float:
    """Resident memory as the kernel counts it; 0 if the process has ended."""
    try:
        with open(f"/proc/{pid}/statm", "rb") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
    except (OSError, IndexError):
        return 0.0


class Platform:
    """Kills a process that goes over its memory and starts it again, as DEPLOY.md says."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self._deployment, self._record = deployment, record
        self.ends: dict[str, int] = {}  # by machine: processes that ended by themselves
        self.peak_mb: dict[str, float] = {}  # by role

    async def watch(self) -> None:
        restart_at: dict[tuple[str, str], float] = {}
        while True:
            for (ip, role), process in list(self._deployment.processes.items()):
                popen = process.popen
                assert popen is not None
                if (ip, role) in restart_at:
                    if self._record.now >= restart_at[ip, role]:
                        del restart_at[ip, role]
                        self._deployment.start_process(ip, role)
                    continue
                used_mb = resident_mb(popen.pid)
                self.peak_mb[role] = max(used_mb, self.peak_mb.get(role, 0.0))
                if used_mb > MEMORY_MB[role]:
                    limit = MEMORY_MB[role]
                    self._record(f"platform: {role} at {ip} has {used_mb:.0f} MB of {limit}: killed")
                    popen.kill()
                    popen.wait()
                elif popen.poll() is None:
                    continue
                else:
                    self._record(f"platform: {role} at {ip} ended by itself: {popen.returncode}")
                self.ends[ip] = self.ends.get(ip, 0) + 1
                restart_at[ip, role] = self._record.now + RESTART_S
            await asyncio.sleep(SAMPLE_S)

    def broken(self) -> bool:
        """Whether processes ended by themselves three times on half of the core."""
        core = self._deployment.core_ips
        return 2 * sum(self.ends.get(ip, 0) >= 3 for ip in core) >= len(core)


async def send_order(deployment: Deployment, record: Record, version: int, body: bytes) -> None:
    """One order: sent unchanged, to any machine, until it has a clear answer."""
    pause_s = 0.1
    while True:
        ip = random.choice(deployment.core_ips)
        try:
            status, _, answer = await call(
                deployment.control(ip), "POST", "/configuration/replace", body, timeout_s=PATIENCE_S
            )
            record(f"operator: r{version} at {ip}: {status} {answer[:80].decode()}")
            if status < 500 and status not in (408, 429):
                return
        except (OSError, TimeoutError, EOFError) as error:
            record(f"operator: r{version} at {ip}: no answer, {error!r}")
        await asyncio.sleep(pause_s)
        pause_s = min(2.0, pause_s * 1.5)


async def main() -> int:
    record = Record(HERE / "record.txt")
    orders = Orders()
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), record, core=4, edge=2)
        platform = Platform(deployment, record)
        try:
            for zone in deployment.zones:
                backend = Backend(record, "lectern", zone, run)
                await backend.start()
                deployment.backends.append(backend)
            await deployment.start(orders.small)
            record("all proxies are ready")
            await asyncio.sleep(4)  # longer than contactS since the start of the core
            version = 100
            size = len(orders.body(version))
            record(f"each order has {size} of {MAX_BYTES} bytes; {AT_ONCE} under way at once")
            if size > MAX_BYTES:
                return 2
            watching = asyncio.create_task(platform.watch())
            until = record.now + PLAY_S
            under_way: set[asyncio.Task[None]] = set()
            while record.now < until and not platform.broken():
                while len(under_way) < AT_ONCE:
                    version += 1
                    order = send_order(deployment, record, version, orders.body(version))
                    under_way.add(asyncio.create_task(order))
                _, under_way = await asyncio.wait(under_way, timeout=0.2, return_when=asyncio.FIRST_COMPLETED)
                if watching.done():
                    watching.result()
            for task in (*under_way, watching):
                task.cancel()
            peaks = ", ".join(f"{role} {mb:.0f} MB" for role, mb in platform.peak_mb.items())
            record(f"{version - 100} orders sent; peak memory: {peaks}")
        finally:
            deployment.end()
    record(f"processes that ended by themselves, by machine: {platform.ends}")
    return 1 if platform.broken() else 0


if __name__ == "__main__":
    run_case(main)
