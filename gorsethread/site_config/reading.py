"""Reads and validates a site file; reports all of its faults, each with file, line and field."""

import re
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from google.protobuf import text_format
from google.protobuf.message import Message

from gorsethread.errors import InvalidInputError
from gorsethread.site_config import site_pb2 as pb


class SiteFileError(InvalidInputError):
    """Raised for a site file with faults; the text has a line for each: file:line: field: reason."""

    action = (
        "Correct the site file at the named lines; running gateways keep the file that they started with."
    )


_TOKEN = re.compile(r"""#[^\n]*|"(?:\\.|[^"\\\n])*"|'(?:\\.|[^'\\\n])*'|[A-Za-z_][\w.]*|\S""")


def field_lines(text: str) -> dict[str, int]:
    """Returns the line, from 1, of each field by its path, such as 'volume[2].plan'.

    A field that is not repeated is found with and without [0]. The text must be valid.
    """
    lines: dict[str, int] = {}
    counts: list[dict[str, int]] = [{}]
    paths = [""]
    pending = ""
    tokens = [
        (m.group(), text.count("\n", 0, m.start()) + 1)
        for m in _TOKEN.finditer(text)
        if not m.group().startswith("#")
    ]
    for n, (token, line) in enumerate(tokens):
        after = tokens[n + 1][0] if n + 1 < len(tokens) else ""
        if token in "{<":
            paths.append(pending + ".")
            counts.append({})
        elif token in "}>" and len(paths) > 1:
            paths.pop()
            counts.pop()
        elif token[0].isalpha() and after and after in ":{<":
            seen = counts[-1].get(token, 0)
            counts[-1][token] = seen + 1
            pending = f"{paths[-1]}{token}[{seen}]"
            lines[pending] = line
            lines.setdefault(f"{paths[-1]}{token}", line)
    return lines


class _Checker:
    """Collects the faults of a site, with the lines that they are in."""

    def __init__(self, file: str, lines: dict[str, int], site: pb.Site) -> None:
        self.file, self.lines, self.site = file, lines, site
        self.faults: list[tuple[int, str]] = []

    def add_fault(self, path: str, reason: str) -> None:
        line = 1
        field_path = path
        while path:
            # The paths from the text have [0] also for messages that are not repeated.
            found = [p for p in (path, re.sub(r"(?<=[a-z_])(?=\.|$)", "[0]", path)) if p in self.lines]
            if found:
                line = self.lines[found[0]]
                break
            path = path.rpartition(".")[0]
        self.faults.append((line, f"{self.file}:{line}: {field_path or 'site'}: {reason}"))

    def require(self, condition: bool, path: str, reason: str) -> None:
        if not condition:
            self.add_fault(path, reason)

    def in_range(
        self,
        message: Message,
        path: str,
        name: str,
        minimum: float,
        maximum: float,
        unit: str,
        exclusive: bool = False,
    ) -> None:
        value = getattr(message, name)
        valid = (value > minimum if exclusive else value >= minimum) and value <= maximum
        bound = f"over {minimum:g}" if exclusive else f"{minimum:g} or more"
        self.require(
            valid,
            f"{path}.{name}" if path else name,
            f"{value:g} is out of range; it must be {bound} and at most {maximum:g} ({unit})",
        )

    def unique(self, items: Iterable[Message], path: str, name: str) -> set[object]:
        seen: set[object] = set()
        for n, item in enumerate(items):
            value = getattr(item, name)
            field_path = f"{path}[{n}].{name}"
            if isinstance(value, str):
                self.require(bool(value), field_path, "is missing")
            self.require(value not in seen, field_path, f"{value!r} is used more than once")
            seen.add(value)
        return seen

    def address(self, value: str, path: str) -> None:
        host, _, port = value.rpartition(":")
        self.require(
            bool(host) and port.isdigit() and 0 < int(port) < 65536, path, f"{value!r} is not host:port"
        )

    def nqn(self, value: str, path: str) -> None:
        valid = re.fullmatch(r"nqn\.\d{4}-\d\d\.[\w.-]+:.+", value) and len(value.encode()) <= 223
        self.require(bool(valid), path, f"{value!r} is not an NQN (nqn.yyyy-mm.domain:name)")


def _check_machines(check: _Checker) -> None:
    site = check.site
    check.require(bool(site.name), "name", "is missing")
    check.nqn(site.subsystem, "subsystem")
    check.address(site.list.address, "list.address")
    check.in_range(site.list, "list", "ask_within", 0, 3600, "seconds", exclusive=True)
    check.in_range(site.list, "list", "late_least", 0, 3600, "seconds")
    check.in_range(site.list, "list", "late_most", site.list.late_least, 3600, "seconds")
    kinds: tuple[tuple[str, Any], ...] = (("head", site.head), ("shelf", site.shelf))
    for kind, machines in kinds:
        check.require(bool(machines), kind, "is missing; at least one is required")
        check.unique(machines, kind, "number")
        check.unique(machines, kind, "address")
        for n, address in enumerate([m.address for m in machines]):
            check.address(address, f"{kind}[{n}].address")
    check.unique([h for h in site.head if h.peers], "head", "peers")
    for n, h in enumerate(site.head):
        if h.peers:
            check.address(h.peers, f"head[{n}].peers")
            check.require(h.peers != h.address, f"head[{n}].peers", "is also the address for clients")
    check.unique(site.shelf, "shelf", "shard")
    machine = site.machine
    check.in_range(machine, "machine", "cores", 1, 1024, "cores")
    check.in_range(machine, "machine", "unit_time", 0, 10, "seconds", exclusive=True)
    check.in_range(machine, "machine", "queue", 1, 1e6, "requests")
    check.in_range(machine, "machine", "put_off", 0, 0.95, "a fraction")
    check.in_range(machine, "machine", "put_off_every", 0, 60, "seconds", exclusive=machine.put_off > 0)
    check.in_range(machine, "machine", "meter_period", 0, 60, "seconds")


def _check_profiles(check: _Checker) -> None:
    site = check.site
    check.require(bool(site.profile), "profile", "is missing; at least one is required")
    check.unique(site.profile, "profile", "name")
    plans = {p.name for p in site.plan}
    for n, p in enumerate(site.profile):
        path = f"profile[{n}]"
        check.in_range(p, path, "promised", 0, 3600, "seconds", exclusive=True)
        check.in_range(p, path, "cut_off", 0, 3600, "seconds", exclusive=True)
        check.require(p.cut_off >= p.promised, f"{path}.cut_off", "is shorter than promised")
        check.require(
            p.cut_off > site.rules.answer_slack, f"{path}.cut_off", "must be longer than rules.answer_slack"
        )
        check.in_range(p, path, "value", 0, 1e6, "value", exclusive=True)
        check.require(
            p.effect != pb.EFFECT_UNSET, f"{path}.effect", "is missing (REDOABLE, LABELLED or IRREVERSIBLE)"
        )
        if p.effect == pb.LABELLED:
            check.require(p.group != pb.GROUP_UNSET, f"{path}.group", "is required with effect LABELLED")
            check.in_range(p, path, "remembered", 0, 86400, "seconds", exclusive=True)
        else:
            check.require(
                p.group == pb.GROUP_UNSET and not p.remembered,
                f"{path}.group",
                "group and remembered are only for profiles with effect LABELLED",
            )
        check.require(p.match.operation != pb.OPERATION_UNSET, f"{path}.match", "needs an operation")
        most = p.match.most_bytes
        check.require(
            not most or most >= p.match.least_bytes, f"{path}.match.most_bytes", "is less than least_bytes"
        )
        if p.match.HasField("hints"):
            check.in_range(p.match, f"{path}.match", "hints", 0, 255, "a byte")
        for k, name in enumerate(p.match.plan):
            check.require(name in plans, f"{path}.match.plan[{k}]", f"there is no plan {name!r}")
    for operation in (pb.READ, pb.WRITE):
        if not any(_matches_all(p.match, operation) for p in site.profile):
            check.add_fault(
                "profile",
                f"no profile matches all remaining {pb.Operation.Name(operation)}; "
                "the last profile of each operation must match without conditions",
            )


def _matches_all(match: pb.Match, operation: int) -> bool:
    unconditional = not (match.least_bytes or match.most_bytes or match.HasField("hints") or match.plan)
    return bool(match.operation == operation and unconditional)


def _check_volumes(check: _Checker) -> None:
    site = check.site
    check.require(bool(site.plan), "plan", "is missing; at least one is required")
    check.unique(site.plan, "plan", "name")
    for n, p in enumerate(site.plan):
        path = f"plan[{n}]"
        check.in_range(p, path, "weight", 0, 1e6, "weight", exclusive=True)
        check.in_range(p, path, "usual", 0, 1e9, "units per second", exclusive=True)
        for name in ("reserve", "limit", "limit_burst", "limit_slack"):
            check.in_range(p, path, name, 0, 1e9, "units")
        check.require(bool(p.limit) == bool(p.limit_burst), f"{path}.limit_burst", "goes together with limit")
        check.require(not p.limit or p.limit >= p.reserve, f"{path}.limit", "is less than the reserve")
    check.unique(site.tenant, "tenant", "name")
    hosts: dict[str, str] = {}
    for n, t in enumerate(site.tenant):
        check.require(bool(t.host), f"tenant[{n}]", "has no host NQN")
        for k, host in enumerate(t.host):
            check.nqn(host, f"tenant[{n}].host[{k}]")
            check.require(
                host not in hosts, f"tenant[{n}].host[{k}]", f"{host!r} also belongs to {hosts.get(host)!r}"
            )
            hosts[host] = t.name
    plans, tenants = {p.name for p in site.plan}, {t.name for t in site.tenant}
    shards, heads = {s.shard for s in site.shelf}, {h.number for h in site.head}
    check.require(bool(site.volume), "volume", "is missing; at least one is required")
    check.unique(site.volume, "volume", "number")
    check.unique(site.volume, "volume", "name")
    for n, v in enumerate(site.volume):
        path = f"volume[{n}]"
        check.in_range(v, path, "number", 1, 2**32 - 2, "a namespace")
        check.require(v.plan in plans, f"{path}.plan", f"there is no plan {v.plan!r}")
        check.require(v.tenant in tenants, f"{path}.tenant", f"there is no tenant {v.tenant!r}")
        check.in_range(v, path, "blocks", 1, 2**40, "blocks")
        check.in_range(v, path, "extent_blocks", 1, 65535, "blocks")
        check.require(
            v.placement != pb.PLACEMENT_UNSET, f"{path}.placement", "is missing (FIXED or FIRST_WRITE)"
        )
        check.require(v.placement != pb.FIXED or bool(v.shard), f"{path}.shard", "is required with FIXED")
        check.require(v.placement != pb.FIRST_WRITE or not v.shard, f"{path}.shard", "is only for FIXED")
        for name, numbers, known in (("shard", v.shard, shards), ("head", v.head, heads)):
            check.require(len(set(numbers)) == len(numbers), f"{path}.{name}", "names one more than once")
            for k, number in enumerate(numbers):
                check.require(number in known, f"{path}.{name}[{k}]", f"there is no {name} {number}")
        check.require(bool(v.head), f"{path}.head", "is missing; the volume must have a head")


MAX_CONNECTION_INTERVAL = 2.0  # seconds between new connections of one gateway


def _check_rules(check: _Checker) -> None:
    rules, links = check.site.rules, check.site.links
    check.in_range(rules, "rules", "answer_slack", 0, 60, "seconds", exclusive=True)
    check.in_range(rules, "rules", "drain_grace", 0, 60, "seconds")
    check.in_range(rules, "rules", "key_rest", 0, 60, "seconds")
    check.in_range(rules, "rules", "most_forwards", 1, 16, "attempts")
    check.in_range(rules, "rules", "longest_return", 0, 3600, "seconds")
    check.in_range(rules, "rules", "share_worth", 0, 1, "a fraction")
    check.in_range(rules.cold, "rules.cold", "units", 0, 1e9, "units", exclusive=True)
    check.in_range(rules.cold, "rules.cold", "span", 0, 600, "seconds", exclusive=True)
    check.in_range(rules.cold, "rules.cold", "multiple", 1, 100, "times")
    check.in_range(rules.cold, "rules.cold", "warm_after", 0, 3600, "seconds", exclusive=True)
    check.in_range(rules.cold, "rules.cold", "first_part", 0, 1, "a fraction", exclusive=True)
    machine, cold = check.site.machine, rules.cold
    if machine.unit_time > 0:
        capacity = cold.multiple * cold.first_part * machine.cores / machine.unit_time * cold.span
        check.require(
            cold.units <= capacity,
            "rules.cold.units",
            f"{cold.units:g} units are more than a newly started backend can take ({capacity:g})",
        )
    if rules.HasField("budget"):
        check.in_range(rules.budget, "rules.budget", "free", 0, 1e6, "attempts")
        check.in_range(rules.budget, "rules.budget", "part", 0, 16, "attempts per request")
        check.in_range(rules.budget, "rules.budget", "span", 0, 3600, "seconds", exclusive=True)
    check.in_range(links, "links", "connect_within", 0, 60, "seconds", exclusive=True)
    check.in_range(links, "links", "queue_size", 2, 128, "commands")
    check.in_range(links, "links", "unit_bytes", 512, 1 << 30, "bytes")
    check.in_range(links, "links", "largest_bytes", 4096, 1 << 20, "bytes")
    most = links.largest_bytes
    check.require(most & (most - 1) == 0, "links.largest_bytes", f"{most} is not a power of two")
    check.in_range(links, "links", "connections", 1, 1e6, "connections")
    check.in_range(links, "links", "opens", 0, 1e6, "connections per second")
    if links.opens:
        longest = len(check.site.head) / links.opens
        check.require(
            longest <= MAX_CONNECTION_INTERVAL,
            "links.opens",
            f"each of {len(check.site.head)} heads opens one in {longest:g} s; "
            f"{MAX_CONNECTION_INTERVAL:g} s at most",
        )


def _check_records(check: _Checker) -> None:
    records = check.site.records
    others = len(check.site.head) - 1
    check.in_range(records, "records", "copies", 0, max(0, others), "other heads")
    check.in_range(records, "records", "held_by", 0, records.copies, "of the copies")
    if records.copies:
        for n, h in enumerate(check.site.head):
            check.require(bool(h.peers), f"head[{n}].peers", "is required for records.copies")
    for n, h in enumerate(check.site.head):
        check.in_range(h, f"head[{n}]", "zone", 0, 255, "a zone")


def _check_branches(check: _Checker) -> None:
    site = check.site
    heads = {h.number: h for h in site.head}
    check.unique(site.branch, "branch", "name")
    seen: dict[int, str] = {}
    for n, b in enumerate(site.branch):
        path = f"branch[{n}]"
        check.require(len(b.head) in (1, 2), f"{path}.head", f"{len(b.head)} heads; a branch has one or two")
        for k, number in enumerate(b.head):
            field_path = f"{path}.head[{k}]"
            check.require(number in heads, field_path, f"there is no head {number}")
            check.require(number not in seen, field_path, f"head {number} is already in {seen.get(number)!r}")
            seen[number] = b.name
            if number in heads:
                check.require(bool(heads[number].peers), field_path, f"head {number} has no peer address")
        check.in_range(b, path, "queue_bytes", site.links.largest_bytes, 1 << 32, "bytes")
        check.in_range(b, path, "queue_writes", 1, 1_000_000, "writes")
        check.in_range(b, path, "queue_age", 1, 30 * 86400, "seconds")
        check.require(
            len(b.head) < 2 or site.records.held_by > 0,
            f"{path}.head",
            "two heads store replicas for each other, but records.held_by is 0",
        )
    check.require(not site.branch or len(seen) < len(heads), "branch", "no head is left at the main site")
    held = [p for p in site.profile if p.held_when_cut_off]
    for n, p in enumerate(site.profile):
        path = f"profile[{n}]"
        check.require(
            not p.held_when_cut_off or p.match.operation == pb.WRITE,
            f"{path}.held_when_cut_off",
            "only writes are held",
        )
        check.require(
            p.held_when_cut_off or p.when_changed == pb.APPLY,
            f"{path}.when_changed",
            "is only for profiles with held_when_cut_off",
        )
    for n, v in enumerate(site.volume):
        if held and v.placement == pb.FIXED and any(h in seen for h in v.head):
            check.require(
                any(h not in seen for h in v.head),
                f"volume[{n}].head",
                "names no head of the main site, to which a branch would replay its writes",
            )


CHECKS: tuple[Callable[[_Checker], None], ...] = (
    _check_machines,
    _check_profiles,
    _check_volumes,
    _check_rules,
    _check_records,
    _check_branches,
)


def parse_site(text: str, file: str = "site") -> pb.Site:
    """Parses and validates the text of a site file; file is its name in error texts.

    Raises:
        SiteFileError: The text has faults; the error has all of them.
    """
    site = pb.Site()
    try:
        text_format.Parse(text, site)
    except text_format.ParseError as error:
        line = error.GetLine() or 1
        reason = re.sub(r"^\d+:\d+\s*:\s*", "", str(error))
        raise SiteFileError([f"{file}:{line}: {reason}"]) from None
    checker = _Checker(file, field_lines(text), site)
    for check in CHECKS:
        check(checker)
    if checker.faults:
        raise SiteFileError([fault for _, fault in sorted(checker.faults)])
    return site


def read_site(path: Path) -> pb.Site:
    """Reads, parses and validates a site file.

    Raises:
        SiteFileError: The file cannot be read, or has faults.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SiteFileError([f"{path}: can't be read: {error}"]) from None
    return parse_site(text, str(path))


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of a valid host:port."""
    host, _, port = address.rpartition(":")
    return host, int(port)
