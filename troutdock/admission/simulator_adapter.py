"""Adapter of the simulator: its protocol on standard input and output, one Gateway per instance."""

from __future__ import annotations

import sys
from typing import BinaryIO

from troutdock.admission import simulator_wire
from troutdock.admission.gateway import Gateway


def _read_exactly(source: BinaryIO, count: int, what: str) -> bytes:
    data = source.read(count)
    if len(data) != count:
        raise simulator_wire.WireError(f"{what}: input ends after {len(data)} of {count} bytes")
    return data


def answer_batch(gateways: dict[int, Gateway], now: float, count: int, body: bytes) -> bytes:
    """Passes each event to its instance and returns the reply's records."""
    out: list[bytes] = []
    at = 0
    for number in range(1, count + 1):
        if len(body) - at < simulator_wire.RECORD.size:
            raise simulator_wire.WireError(f"record {number} at byte {at}: truncated header")
        code, length = simulator_wire.RECORD.unpack_from(body, at)
        fields = body[at + simulator_wire.RECORD.size : at + simulator_wire.RECORD.size + length]
        if len(fields) < max(length, simulator_wire.INSTANCE.size):
            raise simulator_wire.WireError(f"record {number} at byte {at}: truncated fields")
        (instance,) = simulator_wire.INSTANCE.unpack_from(fields)
        try:
            if code == simulator_wire.PROVISION:
                seed, settings = simulator_wire.read_provision(fields)
                gateways[instance] = Gateway(settings, seed)
            elif code == simulator_wire.STOPPED:
                gateways.pop(instance, None)
            elif instance in gateways:
                gateway = gateways[instance]
                event = simulator_wire.read_event(code, fields, gateway.settings)
                out += [
                    simulator_wire.write_action(instance, action) for action in gateway.handle(now, event)
                ]
            else:
                raise simulator_wire.WireError(f"instance {instance} has not been started")
        except ValueError as error:
            raise simulator_wire.WireError(f"record {number} at byte {at}, code {code}: {error}") from error
        at += simulator_wire.RECORD.size + length
    if at != len(body):
        raise simulator_wire.WireError(f"byte {at}: {len(body) - at} bytes after the last record")
    return b"".join(out)


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the input ends."""
    gateways: dict[int, Gateway] = {}
    while head := source.read(simulator_wire.BATCH_HEAD.size):
        if len(head) < simulator_wire.BATCH_HEAD.size:
            raise simulator_wire.WireError(f"batch header: input ends after {len(head)} bytes")
        length, now, count = simulator_wire.BATCH_HEAD.unpack(head)
        reply = answer_batch(gateways, now, count, _read_exactly(source, length, "batch"))
        sink.write(simulator_wire.REPLY_HEAD.pack(len(reply)) + reply)
        sink.flush()


def main() -> int:
    """Returns 0 at the end of input, or 2 after a one-line message on malformed input."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except simulator_wire.WireError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
