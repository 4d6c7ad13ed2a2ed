"""Data stored by an earlier version is read, and its contents are compared.

The files under tests/fixtures/ were written by the code of that version. They must not be regenerated: a
version that can't read them can't take over a gateway's folder.
"""

import asyncio
import json
from pathlib import Path
from typing import Any

import msgspec
import pytest
from google.protobuf.json_format import MessageToDict

from gorsethread.durable_log.log_store import LogStore
from gorsethread.durable_log.recovery import recover
from gorsethread.latency_attribution import snapshot_pb2
from gorsethread.latency_attribution.snapshots import FRAME, decode, encode
from gorsethread.logs import log_for
from gorsethread.site_config.reading import read_site
from gorsethread.transport.real import RealTransport

FIXTURES = Path(__file__).parent / "fixtures"
FLEET = 77
SNAPSHOT = FIXTURES / "accounts-snapshot" / "head-3-001764600000000.acc"


def expected_contents(path: Path) -> Any:
    return json.loads(path.read_text())


def to_fixture_json(value: Any) -> Any:
    """Return a value in the form of the fixtures' JSON, with bytes as hexadecimal digits."""
    if isinstance(value, bytes):
        return {"bytes": value.hex()}
    if isinstance(value, list | tuple):
        return [to_fixture_json(item) for item in value]
    return value


@pytest.mark.parametrize(("folder", "gateway"), [("gateway-log", 2), ("branch-log", 8), ("replica-log", 3)])
def test_a_stored_log_has_the_records_that_were_written(folder: str, gateway: int) -> None:
    expected = expected_contents(FIXTURES / folder / "contents.json")
    files = {path.name: path.read_bytes() for path in (FIXTURES / folder).glob("*.seg")}
    recovered = recover(files, FLEET, gateway)
    records = [
        [list(record.number), to_fixture_json(msgspec.to_builtins(record.fact, builtin_types=(bytes,)))]
        for record in recovered.table.in_order()
    ]
    assert records == expected["records"]
    assert list(recovered.table.last) == expected["last"]
    assert recovered.complete == expected["complete"]
    assert recovered.faults == []


def test_a_log_store_opens_a_stored_folder(tmp_path: Path) -> None:
    for segment in (FIXTURES / "gateway-log").glob("*.seg"):
        (tmp_path / segment.name).write_bytes(segment.read_bytes())

    async def start() -> None:
        store = LogStore(RealTransport(), str(tmp_path), FLEET, 2, log_for())
        try:
            assert store.open().complete
            assert store.table.placements() == {(1, 0): 2, (2, 5): 3, (2, 6): 1}
        finally:
            store.close()

    asyncio.run(start())


def test_a_stored_accounts_snapshot_has_the_contents_that_were_written() -> None:
    raw = SNAPSHOT.read_bytes()
    window = decode(raw, "fixture-site")
    message = snapshot_pb2.Snapshot.FromString(raw[FRAME.size :])
    expected = expected_contents(SNAPSHOT.parent / "contents.json")
    assert MessageToDict(message, preserving_proto_field_name=True) == expected
    assert sum(row.requests for row in window.rows.values()) == 59
    assert encode("fixture-site", window) == raw


@pytest.mark.parametrize("name", ["site", "branch"])
def test_a_site_file_is_read_with_the_same_contents(name: str) -> None:
    site = read_site(FIXTURES / "site-file" / f"{name}.txtpb")
    expected = expected_contents(FIXTURES / "site-file" / f"{name}.json")
    assert MessageToDict(site, preserving_proto_field_name=True) == expected
