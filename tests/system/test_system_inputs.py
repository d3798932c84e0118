"""Malformed netstrings, messages, settings, configurations and files: errors name the place, no data is lost."""

from __future__ import annotations

import json
import sqlite3
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from troutdock.settings.boot import parse_boot, load_boot
from troutdock.settings.configuration import Configuration, RejectedConfiguration, read_configuration
from troutdock.settings.table import SettingsError
from troutdock.rpc.messages import Beats, Instance, Instances, MessageError, Record, decode, encode
from troutdock.rpc.netstring import FrameDecoder, FrameError, encode_frame
from troutdock.config_store.storage import FILE, Disk, DiskError
from troutdock.config_store.replica_state import DurableState

# ---- netstrings


@given(st.lists(st.binary(max_size=300)), st.data())
def test_frames_are_complete_however_the_bytes_are_split(payloads: list[bytes], data: st.DataObject) -> None:
    wire = b"".join(map(encode_frame, payloads))
    cuts = sorted(data.draw(st.lists(st.integers(0, len(wire)), max_size=8)))
    deframer, found = FrameDecoder(), []
    for start, end in zip([0, *cuts], [*cuts, len(wire)], strict=True):
        found += list(deframer.feed(wire[start:end]))
    assert found == payloads


@pytest.mark.parametrize("wire", [b"x:1,", b"01:a,", b"-1:,", b"1:ab", b"99999999999", b"2000:", b":,"])
def test_malformed_frames_are_rejected(wire: bytes) -> None:
    with pytest.raises(FrameError):
        list(FrameDecoder(1000).feed(wire))


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"{}",
        b"[1]",
        b'{"t":"nobody"}',
        b'{"t":"beats","ids":[1]}',
        b'{"t":"inst"',
        b"\xff",
        b'{"t":"put","number":1,"version":"x","body":{}}',
    ],
)
def test_malformed_messages_are_rejected(payload: bytes) -> None:
    with pytest.raises(MessageError):
        decode(payload)


def test_messages_round_trip_and_unknown_fields_are_dropped() -> None:
    message = Instances([Instance("i", "s", "10.0.0.1:80", "a", 2, 1, 0.5)], 4)
    assert decode(encode(message)) == message
    assert decode(b'{"t":"beats","ids":["i"],"later":1}') == Beats(["i"])


# ---- settings

BOOT = {
    "nodeName": "n",
    "ipAddress": "10.0.0.1",
    "zone": "a",
    "internalPortRange": [7000, 7003],
    "bindAddresses": {"http": "10.0.0.1:80"},
    "seedNodes": ["10.0.0.2:81"],
    "unknown": {"x": 1},
}


def test_boot_settings_take_defaults_and_ignore_unknown_keys() -> None:
    boot = parse_boot(BOOT)
    assert boot.values["bounds.graceS"] == 6.0 and boot.seeds == (("10.0.0.2", 81),) and boot.port(9) == 7003


@pytest.mark.parametrize(
    ("change", "place"),
    [
        ({"nodeName": None}, "nodeName"),
        ({"seedNodes": ["nowhere"]}, "seedNodes"),
        ({"internalPortRange": [9]}, "internalPort"),
        ({"internalPortRange": [9, 8]}, "internalPort"),
        ({"bounds": {"graceS": "six"}}, "bounds.graceS"),
        ({"bootstrap": "yes"}, "bootstrap"),
        ({"configMode": "lowest"}, "configMode"),
        ({"heartbeatS": float("nan")}, "heartbeatS"),
    ],
)
def test_errors_in_boot_settings_name_the_key(change: dict, place: str) -> None:
    with pytest.raises(SettingsError, match=place):
        parse_boot({**BOOT, **change})


@pytest.mark.parametrize("text", [b"a: [", b"\xff\xfe", b"- 1", b""])
def test_errors_in_a_settings_file_name_the_file(tmp_path: Path, text: bytes) -> None:
    path = tmp_path / "boot.yaml"
    path.write_bytes(text)
    with pytest.raises(SettingsError, match=r"boot\.yaml"):
        load_boot(str(path))


# ---- configurations


def configuration() -> dict:
    return {
        "revision": "r7",
        "routes": {
            "columns": ["name", "hostname", "pathPrefix", "routeType", "timeoutS", "trafficSplit", "service"],
            "rows": [
                [
                    "one",
                    "a.example",
                    "/x/",
                    "read_only",
                    5,
                    [{"service": "s", "weight": 1}, {"service": "t", "weight": 0}],
                    None,
                ],
                ["two", "a.example", "/x/y/", "mutating", 6, None, "t"],
            ],
        },
        "services": {
            "columns": ["name", "healthPath", "maxConnections", "protocol", "tls"],
            "rows": [["s", "/health", 130, "h1", False], ["t", "/health", None, "h1", False]],
        },
        "tenants": {
            "columns": ["name", "apiKeys", "ratePerS", "burst"],
            "rows": [["a", ["k1", "k2"], 5, None], ["b", ["k3"], 0, 0]],
        },
    }


def test_a_valid_configuration_is_read() -> None:
    found = read_configuration(json.dumps(configuration()).encode())
    assert isinstance(found, Configuration)
    assert (
        found.version == 7
        and found.routes[0].split == (("s", 1.0), ("t", 0.0))
        and not found.routes[1].read_only
    )
    assert [t.rate for t in found.tenants or ()] == [5.0, 0.0] and found.limits.idle_ms == 15_000


@pytest.mark.parametrize(
    ("where", "value", "place"),
    [
        (("revision",), 7, "revision"),
        (("revision",), "r", "revision"),
        (("revision",), "r-1", "revision"),
        (("routes", "rows", 1, 6), "nobody", r"routes\.rows\[1\]"),
        (("routes", "rows", 1, 2), "/x/", r"routes\.rows\[1\]"),
        (("routes", "rows", 0, 5), [{"service": "s", "weight": 0}], "add up"),
        (("routes", "rows", 0, 3), "odd", "routeType"),
        (("routes", "rows", 0, 4), None, "timeoutS"),
        (("routes", "rows", 0, 4), 0, "timeoutS"),
        (("routes", "rows", 0, 2), "x", "pathPrefix"),
        (("routes", "rows", 0), ["short"], r"routes\.rows\[0\]"),
        (("routes", "rows", 1, 6), None, "neither"),
        (("routes", "columns", 0), "hostname", "columns"),
        (("routes",), 5, "routes"),
        (("services", "rows", 1, 0), "s", "duplicate service"),
        (("services", "rows", 0, 4), True, "tls"),
        (("tenants", "rows", 1, 1), ["k1"], "key"),
        (("tenants", "rows", 1, 0), "a", "name"),
        (("tenants", "rows", 0, 2), -1, "ratePerS"),
        (("limits",), {"maxBodyBytes": -1}, "maxBodyBytes"),
        (("tenants", "rows", 0, 1), "k1", "apiKeys"),
    ],
)
def test_errors_in_a_configuration_name_the_place(where: tuple, value: object, place: str) -> None:
    given = configuration()
    at: object = given
    for step in where[:-1]:
        at = at[step]  # type: ignore[index]
    at[where[-1]] = value  # type: ignore[index]
    found = read_configuration(json.dumps(given).encode())
    assert isinstance(found, RejectedConfiguration)
    import re

    assert re.search(place, str(found))


def test_a_truncated_configuration_is_rejected() -> None:
    complete = json.dumps(configuration()).encode()
    assert all(
        isinstance(read_configuration(complete[:n]), RejectedConfiguration) for n in range(len(complete))
    )


# ---- the disk

KEPT = DurableState(
    5, Record(4, "10.0.0.1", ["10.0.0.2"]), 9, b'{"v":9}' * 40, ("10.0.0.1", "10.0.0.2", "10.0.0.3"), False, 4
)


def store(folder: Path) -> None:
    disk = Disk(folder)
    assert disk.open() is None
    disk.save(DurableState(1, None, 3, b'{"v":3}', KEPT.voters, False, 1))
    disk.save(KEPT)
    disk.close()


def test_saved_state_is_read_back_and_history_is_bounded(tmp_path: Path) -> None:
    store(tmp_path)
    disk = Disk(tmp_path)
    assert disk.open() == KEPT
    for version in range(10, 80):
        disk.save(DurableState(5, KEPT.record, version, b"{}", KEPT.voters, False, 4))
    disk.close()
    count = sqlite3.connect(tmp_path / FILE).execute("SELECT count(*) FROM configurations").fetchone()[0]
    assert count <= 32


def test_a_truncated_or_corrupted_file_is_read_completely_or_rejected(tmp_path: Path) -> None:
    store(tmp_path / "good")
    path = tmp_path / "good" / FILE
    complete = path.read_bytes()
    outcomes = set()
    for at in range(0, len(complete), 512):
        for corrupted in (
            complete[:at],
            complete[:at] + bytes(b ^ 0x5A for b in complete[at : at + 64]) + complete[at + 64 :],
        ):
            folder = tmp_path / "bad"
            folder.mkdir()
            (folder / FILE).write_bytes(corrupted)
            disk = Disk(folder)
            try:
                found = disk.open()
            except DiskError:
                found = None
            assert found is None or found == KEPT, at
            outcomes.add(found is None)
            disk.close()
            for left in folder.iterdir():
                left.unlink()
            folder.rmdir()
    assert outcomes == {True, False}


def test_a_write_error_is_reported_and_the_old_state_remains(tmp_path: Path) -> None:
    store(tmp_path)
    disk = Disk(tmp_path)
    disk.open()
    disk._db.execute("PRAGMA query_only = ON")  # type: ignore[union-attr]
    with pytest.raises(DiskError):
        disk.save(DurableState(6, KEPT.record, 10, b"{}", KEPT.voters, False, 4))
    with pytest.raises(DiskError):
        disk.save(KEPT)
    assert disk.open() == KEPT
    disk.close()


def test_a_newer_schema_is_not_touched(tmp_path: Path) -> None:
    store(tmp_path)
    base = sqlite3.connect(tmp_path / FILE)
    base.execute("PRAGMA user_version = 99")
    base.commit()
    base.close()
    with pytest.raises(DiskError, match="newer"):
        Disk(tmp_path).open()
    assert (tmp_path / FILE).exists()
