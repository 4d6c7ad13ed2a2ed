"""Reads a site file, whole or not at all: every fault is found and told with file, line and field."""

import re
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from google.protobuf import text_format
from google.protobuf.message import Message

from gorsethread.errors import InvalidInputError
from gorsethread.site_config import site_pb2 as pb


class SiteFileError(InvalidInputError):
    """The faults of a site file, a line each: file:line: field: reason."""

    action = "Correct the site file at the lines named; heads that run keep the one they started with."


_TOKEN = re.compile(r"""#[^\n]*|"(?:\\.|[^"\\\n])*"|'(?:\\.|[^'\\\n])*'|[A-Za-z_][\w.]*|\S""")


def field_lines(text: str) -> dict[str, int]:
    """Where each field stands: 'volume[2].plan' to its line, from 1. For text that has parsed."""
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
    def __init__(self, file: str, lines: dict[str, int], site: pb.Site) -> None:
        self.file, self.lines, self.site = file, lines, site
        self.faults: list[tuple[int, str]] = []

    def fault(self, path: str, reason: str) -> None:
        line = 1
        whole = path
        while path:
            # Fields of a message that stands once may carry [0] in the text's own count.
            found = [p for p in (path, re.sub(r"(?<=[a-z_])(?=\.|$)", "[0]", path)) if p in self.lines]
            if found:
                line = self.lines[found[0]]
                break
            path = path.rpartition(".")[0]
        self.faults.append((line, f"{self.file}:{line}: {whole or 'site'}: {reason}"))

    def need(self, holds: bool, path: str, reason: str) -> None:
        if not holds:
            self.fault(path, reason)

    def number(
        self,
        message: Message,
        path: str,
        name: str,
        least: float,
        most: float,
        unit: str,
        open_below: bool = False,
    ) -> None:
        value = getattr(message, name)
        good = (value > least if open_below else value >= least) and value <= most
        bound = f"over {least:g}" if open_below else f"{least:g} or more"
        self.need(
            good,
            f"{path}.{name}" if path else name,
            f"{value:g} is not {bound} and {most:g} at most ({unit})",
        )

    def one_each(self, items: Iterable[Message], path: str, name: str) -> set[object]:
        seen: set[object] = set()
        for n, item in enumerate(items):
            value = getattr(item, name)
            where = f"{path}[{n}].{name}"
            if isinstance(value, str):
                self.need(bool(value), where, "is missing")
            self.need(value not in seen, where, f"{value!r} stands twice")
            seen.add(value)
        return seen

    def address(self, value: str, path: str) -> None:
        host, _, port = value.rpartition(":")
        self.need(
            bool(host) and port.isdigit() and 0 < int(port) < 65536, path, f"{value!r} is not host:port"
        )

    def nqn(self, value: str, path: str) -> None:
        good = re.fullmatch(r"nqn\.\d{4}-\d\d\.[\w.-]+:.+", value) and len(value.encode()) <= 223
        self.need(bool(good), path, f"{value!r} is not an NQN (nqn.yyyy-mm.domain:name)")


def _check_machines(c: _Checker) -> None:
    site = c.site
    c.need(bool(site.name), "name", "is missing")
    c.nqn(site.subsystem, "subsystem")
    c.address(site.list.address, "list.address")
    c.number(site.list, "list", "ask_within", 0, 3600, "seconds", open_below=True)
    c.number(site.list, "list", "late_least", 0, 3600, "seconds")
    c.number(site.list, "list", "late_most", site.list.late_least, 3600, "seconds")
    both: tuple[tuple[str, Any], ...] = (("head", site.head), ("shelf", site.shelf))
    for kind, machines in both:
        c.need(bool(machines), kind, "there is none")
        c.one_each(machines, kind, "number")
        c.one_each(machines, kind, "address")
        for n, address in enumerate([m.address for m in machines]):
            c.address(address, f"{kind}[{n}].address")
    c.one_each([h for h in site.head if h.peers], "head", "peers")
    for n, h in enumerate(site.head):
        if h.peers:
            c.address(h.peers, f"head[{n}].peers")
            c.need(h.peers != h.address, f"head[{n}].peers", "is the address for clients too")
    c.one_each(site.shelf, "shelf", "shard")
    m = site.machine
    c.number(m, "machine", "cores", 1, 1024, "cores")
    c.number(m, "machine", "unit_time", 0, 10, "seconds", open_below=True)
    c.number(m, "machine", "queue", 1, 1e6, "transactions")
    c.number(m, "machine", "put_off", 0, 0.95, "a part of 1")
    c.number(m, "machine", "put_off_every", 0, 60, "seconds", open_below=m.put_off > 0)
    c.number(m, "machine", "meter_period", 0, 60, "seconds")


def _check_profiles(c: _Checker) -> None:
    site = c.site
    c.need(bool(site.profile), "profile", "there is none")
    c.one_each(site.profile, "profile", "name")
    plans = {p.name for p in site.plan}
    for n, p in enumerate(site.profile):
        path = f"profile[{n}]"
        c.number(p, path, "promised", 0, 3600, "seconds", open_below=True)
        c.number(p, path, "cut_off", 0, 3600, "seconds", open_below=True)
        c.need(p.cut_off >= p.promised, f"{path}.cut_off", "is shorter than the promised time")
        c.need(p.cut_off > site.rules.answer_slack, f"{path}.cut_off", "is within rules.answer_slack")
        c.number(p, path, "value", 0, 1e6, "value", open_below=True)
        c.need(
            p.effect != pb.EFFECT_UNSET, f"{path}.effect", "is missing (REDOABLE, LABELLED or IRREVERSIBLE)"
        )
        if p.effect == pb.LABELLED:
            c.need(p.group != pb.GROUP_UNSET, f"{path}.group", "is missing: which shelves drop repeats")
            c.number(p, path, "remembered", 0, 86400, "seconds", open_below=True)
        else:
            c.need(
                p.group == pb.GROUP_UNSET and not p.remembered,
                f"{path}.group",
                "group and remembered belong to labelled profiles",
            )
        c.need(p.match.operation != pb.OPERATION_UNSET, f"{path}.match", "needs an operation")
        most = p.match.most_bytes
        c.need(not most or most >= p.match.least_bytes, f"{path}.match.most_bytes", "is under least_bytes")
        if p.match.HasField("hints"):
            c.number(p.match, f"{path}.match", "hints", 0, 255, "a byte")
        for k, name in enumerate(p.match.plan):
            c.need(name in plans, f"{path}.match.plan[{k}]", f"there is no plan {name!r}")
    for operation in (pb.READ, pb.WRITE):
        if not any(_catches_all(p.match, operation) for p in site.profile):
            c.fault(
                "profile",
                f"no profile takes every other {pb.Operation.Name(operation)}; "
                "the last one of each operation must match without conditions",
            )


def _catches_all(m: pb.Match, operation: int) -> bool:
    plain = not (m.least_bytes or m.most_bytes or m.HasField("hints") or m.plan)
    return bool(m.operation == operation and plain)


def _check_volumes(c: _Checker) -> None:
    site = c.site
    c.need(bool(site.plan), "plan", "there is none")
    c.one_each(site.plan, "plan", "name")
    for n, p in enumerate(site.plan):
        path = f"plan[{n}]"
        c.number(p, path, "weight", 0, 1e6, "weight", open_below=True)
        c.number(p, path, "usual", 0, 1e9, "units a second", open_below=True)
        for name in ("reserve", "limit", "limit_burst", "limit_slack"):
            c.number(p, path, name, 0, 1e9, "units")
        c.need(bool(p.limit) == bool(p.limit_burst), f"{path}.limit_burst", "goes together with limit")
        c.need(not p.limit or p.limit >= p.reserve, f"{path}.limit", "is under the reserve")
    c.one_each(site.tenant, "tenant", "name")
    hosts: dict[str, str] = {}
    for n, t in enumerate(site.tenant):
        c.need(bool(t.host), f"tenant[{n}]", "has no host NQN")
        for k, host in enumerate(t.host):
            c.nqn(host, f"tenant[{n}].host[{k}]")
            c.need(host not in hosts, f"tenant[{n}].host[{k}]", f"{host!r} is {hosts.get(host)!r}'s too")
            hosts[host] = t.name
    plans, tenants = {p.name for p in site.plan}, {t.name for t in site.tenant}
    shards, heads = {s.shard for s in site.shelf}, {h.number for h in site.head}
    c.need(bool(site.volume), "volume", "there is none")
    c.one_each(site.volume, "volume", "number")
    c.one_each(site.volume, "volume", "name")
    for n, v in enumerate(site.volume):
        path = f"volume[{n}]"
        c.number(v, path, "number", 1, 2**32 - 2, "a namespace")
        c.need(v.plan in plans, f"{path}.plan", f"there is no plan {v.plan!r}")
        c.need(v.tenant in tenants, f"{path}.tenant", f"there is no tenant {v.tenant!r}")
        c.number(v, path, "blocks", 1, 2**40, "blocks")
        c.number(v, path, "extent_blocks", 1, 65535, "blocks")
        c.need(v.placement != pb.PLACEMENT_UNSET, f"{path}.placement", "is missing (FIXED or FIRST_WRITE)")
        c.need(v.placement != pb.FIXED or bool(v.shard), f"{path}.shard", "is missing in a fixed placement")
        c.need(v.placement != pb.FIRST_WRITE or not v.shard, f"{path}.shard", "belongs to a fixed placement")
        for name, numbers, known in (("shard", v.shard, shards), ("head", v.head, heads)):
            c.need(len(set(numbers)) == len(numbers), f"{path}.{name}", "names one twice")
            for k, number in enumerate(numbers):
                c.need(number in known, f"{path}.{name}[{k}]", f"there is no {name} {number}")
        c.need(bool(v.head), f"{path}.head", "is reached through no head")


LONGEST_ROUND = 2.0  # seconds from one new connection of a head to its next


def _check_rules(c: _Checker) -> None:
    r, links = c.site.rules, c.site.links
    c.number(r, "rules", "answer_slack", 0, 60, "seconds", open_below=True)
    c.number(r, "rules", "drain_grace", 0, 60, "seconds")
    c.number(r, "rules", "key_rest", 0, 60, "seconds")
    c.number(r, "rules", "most_forwards", 1, 16, "forwards")
    c.number(r, "rules", "longest_return", 0, 3600, "seconds")
    c.number(r, "rules", "share_worth", 0, 1, "a part of 1")
    c.number(r.cold, "rules.cold", "units", 0, 1e9, "units", open_below=True)
    c.number(r.cold, "rules.cold", "span", 0, 600, "seconds", open_below=True)
    c.number(r.cold, "rules.cold", "multiple", 1, 100, "times")
    c.number(r.cold, "rules.cold", "warm_after", 0, 3600, "seconds", open_below=True)
    c.number(r.cold, "rules.cold", "first_part", 0, 1, "a part of 1", open_below=True)
    m, cold = c.site.machine, r.cold
    if m.unit_time > 0:
        bears = cold.multiple * cold.first_part * m.cores / m.unit_time * cold.span
        c.need(
            cold.units <= bears,
            "rules.cold.units",
            f"{cold.units:g} units are more than the machine bears cold ({bears:g})",
        )
    if r.HasField("budget"):
        c.number(r.budget, "rules.budget", "free", 0, 1e6, "forwards")
        c.number(r.budget, "rules.budget", "part", 0, 16, "forwards a transaction")
        c.number(r.budget, "rules.budget", "span", 0, 3600, "seconds", open_below=True)
    c.number(links, "links", "connect_within", 0, 60, "seconds", open_below=True)
    c.number(links, "links", "queue_size", 2, 128, "commands")
    c.number(links, "links", "unit_bytes", 512, 1 << 30, "bytes")
    c.number(links, "links", "largest_bytes", 4096, 1 << 20, "bytes")
    most = links.largest_bytes
    c.need(most & (most - 1) == 0, "links.largest_bytes", f"{most} is no power of two")
    c.number(links, "links", "connections", 1, 1e6, "connections")
    c.number(links, "links", "opens", 0, 1e6, "connections a second")
    if links.opens:
        longest = len(c.site.head) / links.opens
        c.need(
            longest <= LONGEST_ROUND,
            "links.opens",
            f"each of {len(c.site.head)} heads opens one in {longest:g} s; {LONGEST_ROUND:g} s at most",
        )


def _check_records(c: _Checker) -> None:
    r = c.site.records
    others = len(c.site.head) - 1
    c.number(r, "records", "copies", 0, max(0, others), "other heads")
    c.number(r, "records", "held_by", 0, r.copies, "of the copies")
    if r.copies:
        for n, h in enumerate(c.site.head):
            c.need(bool(h.peers), f"head[{n}].peers", "is missing: records are copied between these")
    for n, h in enumerate(c.site.head):
        c.number(h, f"head[{n}]", "zone", 0, 255, "a zone")


def _check_branches(c: _Checker) -> None:
    site = c.site
    heads = {h.number: h for h in site.head}
    c.one_each(site.branch, "branch", "name")
    seen: dict[int, str] = {}
    for n, b in enumerate(site.branch):
        path = f"branch[{n}]"
        c.need(len(b.head) in (1, 2), f"{path}.head", f"{len(b.head)} heads; a branch has one or two")
        for k, number in enumerate(b.head):
            where = f"{path}.head[{k}]"
            c.need(number in heads, where, f"there is no head {number}")
            c.need(number not in seen, where, f"head {number} is of {seen.get(number)!r} already")
            seen[number] = b.name
            if number in heads:
                c.need(bool(heads[number].peers), where, f"head {number} has no address for peers")
        c.number(b, path, "queue_bytes", site.links.largest_bytes, 1 << 32, "bytes")
        c.number(b, path, "queue_writes", 1, 1_000_000, "writes")
        c.number(b, path, "queue_age", 1, 30 * 86400, "seconds")
        c.need(
            len(b.head) < 2 or site.records.held_by > 0,
            f"{path}.head",
            "two heads hold copies for each other: records.held_by is 0",
        )
    c.need(not site.branch or len(seen) < len(heads), "branch", "no head is left at the main site")
    held = [p for p in site.profile if p.held_when_cut_off]
    for n, p in enumerate(site.profile):
        path = f"profile[{n}]"
        c.need(
            not p.held_when_cut_off or p.match.operation == pb.WRITE,
            f"{path}.held_when_cut_off",
            "only writes are held",
        )
        c.need(
            p.held_when_cut_off or p.when_changed == pb.APPLY,
            f"{path}.when_changed",
            "belongs to profiles that are held_when_cut_off",
        )
    for n, v in enumerate(site.volume):
        if held and v.placement == pb.FIXED and any(h in seen for h in v.head):
            c.need(
                any(h not in seen for h in v.head),
                f"volume[{n}].head",
                "names no head of the main site, which would take what a branch held",
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
    """The site of a text; SiteFileError with every fault found."""
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
    """SiteFileError where the file can't be read or has faults."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SiteFileError([f"{path}: can't be read: {error}"]) from None
    return parse_site(text, str(path))


def split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
