"""Data written by the version before the readers' work is read as it was, with its contents compared.

The files under tests/fixtures/ were written by that version's own code. They are never written anew: a
version that can't read them can't take over a gateway's folder.
"""

import asyncio
import json
from pathlib import Path
from typing import Any

import msgspec
import pytest
from google.protobuf.json_format import MessageToDict

from gorsethread.accounts import snapshot_pb2
from gorsethread.accounts.snapshots import FRAME, decode, encode
from gorsethread.durable_log.log_store import LogStore
from gorsethread.durable_log.recovery import recover
from gorsethread.logs import log_for
from gorsethread.sitefile.reading import read_site
from gorsethread.transport.real import RealTransport

FIXTURES = Path(__file__).parent / "fixtures"
FLEET = 77
SNAPSHOT = FIXTURES / "accounts-snapshot" / "head-3-001764600000000.acc"


def contents_of(path: Path) -> Any:
    return json.loads(path.read_text())


def plain(value: Any) -> Any:
    """As the fixtures' JSON has it: bytes as their hexadecimal digits."""
    if isinstance(value, bytes):
        return {"bytes": value.hex()}
    if isinstance(value, list | tuple):
        return [plain(one) for one in value]
    return value


@pytest.mark.parametrize(("folder", "gateway"), [("gateway-log", 2), ("branch-log", 8), ("replica-log", 3)])
def test_a_gateways_log_holds_what_was_written(folder: str, gateway: int) -> None:
    expected = contents_of(FIXTURES / folder / "contents.json")
    files = {path.name: path.read_bytes() for path in (FIXTURES / folder).glob("*.seg")}
    found = recover(files, FLEET, gateway)
    records = [
        [list(record.number), plain(msgspec.to_builtins(record.fact, builtin_types=(bytes,)))]
        for record in found.table.in_order()
    ]
    assert records == expected["records"]
    assert list(found.table.last) == expected["last"]
    assert found.complete == expected["complete"]
    assert found.faults == []


def test_a_gateway_starts_on_the_folder(tmp_path: Path) -> None:
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


def test_a_snapshot_of_accounts_holds_what_was_written() -> None:
    raw = SNAPSHOT.read_bytes()
    window = decode(raw, "fixture-site")
    message = snapshot_pb2.Snapshot.FromString(raw[FRAME.size :])
    expected = contents_of(SNAPSHOT.parent / "contents.json")
    assert MessageToDict(message, preserving_proto_field_name=True) == expected
    assert sum(row.lives for row in window.rows.values()) == 59
    assert encode("fixture-site", window) == raw


@pytest.mark.parametrize("name", ["site", "branch"])
def test_a_site_file_says_what_it_said(name: str) -> None:
    site = read_site(FIXTURES / "site-file" / f"{name}.txtpb")
    expected = contents_of(FIXTURES / "site-file" / f"{name}.json")
    assert MessageToDict(site, preserving_proto_field_name=True) == expected
