"""Data written by the build 0137ecd, before the packages and names changed, opens in this build unchanged.

The files in data/ were written by that build: messages between processes, packets and the state of a hand-over,
the disks of a store (closed, and as a killed process leaves it) and of a registry, a ledger of use, histories of
plans and reservations.
"""

from __future__ import annotations

import json
import math
import shutil
from pathlib import Path

import msgspec
import pytest
from build import gateway

from troutdock.admission import snapshot
from troutdock.admission.interface import Effect, Group, Plan, RequestClass
from troutdock.config_store.storage import Disk
from troutdock.handover import protocol
from troutdock.plans import files as plan_files
from troutdock.registry.storage import InstanceStorage
from troutdock.reservations import files as reservation_files
from troutdock.rpc import messages
from troutdock.usage.record import State
from troutdock.usage.sqlite import SqliteStore

DATA = Path(__file__).parent / "data"
PAYLOADS = (DATA / "messages.jsonl").read_bytes().splitlines()
PACKETS = [json.loads(line) for line in (DATA / "handover.jsonl").read_text().splitlines()]


@pytest.mark.parametrize("payload", PAYLOADS, ids=range(len(PAYLOADS)))
def test_a_message_is_read_and_written_alike(payload: bytes) -> None:
    if payload.startswith(b"["):
        assert messages.encode_datagram(messages.decode_datagram(payload)) == payload
    else:
        assert messages.encode(messages.decode(payload)) == payload


def test_each_kind_of_message_has_a_payload() -> None:
    tags = {json.loads(p)["t"] for p in PAYLOADS if p.startswith(b"{")}
    assert tags == {kind.__struct_config__.tag for kind in messages.Message.__args__}


@pytest.mark.parametrize("packet", PACKETS, ids=[p["tag"] for p in PACKETS])
def test_a_packet_of_a_handover_is_read_and_written_alike(packet: dict) -> None:
    data = bytes.fromhex(packet["hex"])
    message = protocol.decode(data)
    assert not isinstance(message, str) and protocol.encode(message) == data


def test_each_kind_of_packet_is_there() -> None:
    assert {p["tag"] for p in PACKETS} == {kind.__struct_config__.tag for kind in protocol.Message.__args__}


@pytest.mark.parametrize("how", ["closed", "killed"])
def test_a_store_opens_its_disk(how: str, tmp_path: Path) -> None:
    folder = tmp_path / "data"
    shutil.copytree(DATA / "store" / how, folder)
    expected = json.loads((DATA / "store" / "expected.json").read_text())
    disk = Disk(folder)
    kept = disk.open()
    assert disk.quarantined is None and kept is not None
    found = msgspec.to_builtins(kept)
    assert found["record"] == expected["record"] and kept.body.decode() == expected["body"]
    assert (kept.promised, kept.version, list(kept.voters)) == (9, 9, expected["voters"])
    assert not kept.blank and kept.given == 2 and [number for number, _ in kept.taken] == [3, 9]
    disk.save(kept)
    disk.close()
    assert Disk(folder).open() == kept


def test_a_registry_opens_its_disk(tmp_path: Path) -> None:
    folder = tmp_path / "data"
    shutil.copytree(DATA / "registry", folder)
    disk = InstanceStorage(folder)
    found = disk.load()
    disk.close()
    assert msgspec.to_builtins(found) == json.loads((DATA / "registry" / "expected.json").read_text())


def test_a_gateway_goes_on_from_a_state() -> None:
    read = RequestClass(1500, 6000, 3, Effect.SAFE, name="read")
    book = RequestClass(1000, 4000, 5, Effect.KEYED, Group.ALL, 3000, name="book")
    plan = Plan(10, 20, ceiling_rate=20, ceiling_burst=40, ceiling_slack=1, name="plus")
    before = json.loads((DATA / "gateway_state.json").read_text())
    heir = gateway(classes=(read, book), plans=(plan,))
    assert snapshot.restore(heir, before) == []
    after = snapshot.take(heir)
    assert after.keys() == before.keys()
    for section, value in before.items():
        if isinstance(value, dict):
            assert after[section]["fields"] == value["fields"]
            assert len(after[section]["rows"]) == len(value["rows"])
    assert after["customers"]["rows"] == before["customers"]["rows"]
    assert after["booked"] == before["booked"] and after["pools"] == before["pools"]
    assert math.isclose(after["asking"], before["asking"]) and after["started"] == before["started"]


def test_a_ledger_opens(tmp_path: Path) -> None:
    shutil.copy(DATA / "ledger" / "ledger.db", tmp_path)
    ledger = SqliteStore(tmp_path)
    assert ledger.recover() == [1]  # its process has ended
    selection = ledger.select(100)
    ledger.close()
    assert [(r.sequence, r.use.units, r.use.plan, r.use.cls) for r in selection.records] == [
        (1, 1.5, "plus", "read"),
        (2, 3.0, "plus", "read"),
        (3, 4.5, "plus", "read"),
    ]
    assert [r.state for r in selection.records] == [State.GIVEN, State.UNCERTAIN, State.UNCERTAIN]
    assert [tuple(u) for u in selection.unknown] == [(1, 4, 64)]


def test_histories_of_plans_and_reservations_are_read_and_written_alike(tmp_path: Path) -> None:
    plans, reservations = tmp_path / "plans.jsonl", tmp_path / "reservations.jsonl"
    plan_files.write(plans, plan_files.read(DATA / "plans.jsonl"))
    assert plans.read_bytes() == (DATA / "plans.jsonl").read_bytes()
    before = (DATA / "reservations.jsonl").read_bytes()
    reservation_files.append(reservations, reservation_files.parse(before))
    assert reservations.read_bytes() == before


def test_parts_of_reservations_are_read(tmp_path: Path) -> None:
    shutil.copy(DATA / "parts.json", tmp_path)
    assert reservation_files.PartsFolder(tmp_path).load(3) == {"r1": (25, ("e1",))}
