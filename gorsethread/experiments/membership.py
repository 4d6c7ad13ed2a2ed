"""The fleet's view measured: many worlds by seed, and sizes of the fleet beside a baseline, as one page."""

import io
import math
import multiprocessing
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import asdict
from functools import partial
from typing import Any

import jinja2
import matplotlib
from markupsafe import Markup

matplotlib.use("svg")
from matplotlib.figure import Figure  # noqa: E402

from gorsethread.membership.failure_detector import ProbeTiming  # noqa: E402
from gorsethread.membership.gossip_messages import (  # noqa: E402
    Address,
    GossipMessage,
    MemberRecord,
    MemberState,
    MessageKind,
)
from gorsethread.membership.member_table import Change  # noqa: E402
from gorsethread.membership.membership_view import MembershipView  # noqa: E402
from gorsethread.simulation.membership_simulation import (  # noqa: E402
    MembershipSimulation,
    generate_script,
    settling_bound,
)
from gorsethread.simulation.script import read_script  # noqa: E402

LOST_AT = 60.0  # seconds from the start of all until one head is gone for good
WATCHED = 60.0  # seconds after that
SILENT = 4.0  # periods without a beat until heartbeats hold a head dead
BEATS_MOST = 200  # heads up to which heartbeats are played: their messages grow with the square
COLOURS = {"view": "#0072B2", "heartbeats": "#D55E00"}
MARKS = {"view": "o", "heartbeats": "s"}


class Heartbeats:
    """The baseline: each tells all of itself once a period, and holds dead whom it does not hear."""

    def __init__(
        self,
        me: MemberRecord,
        contacts: tuple[Address, ...],
        now: float,
        draw: Callable[[], float],
        pace: ProbeTiming,
        most: int,
    ) -> None:
        self.own, self.contacts, self.pace = me, contacts, pace
        self.records: dict[int, MemberRecord] = {me.member: me}
        self.heard_at: dict[int, float] = {}
        self.outbox: list[tuple[Address, GossipMessage]] = []
        self.history: deque[Change] = deque(maxlen=1024)
        self._now, self._next = now, now + draw() * pace.period

    @property
    def alive(self) -> list[MemberRecord]:
        return [w for w in self.records.values() if not w.ended]

    def tick(self, now: float) -> None:
        self._now = now
        for name, at in self.heard_at.items():
            if now - at > SILENT * self.pace.period and not self.records[name].ended:
                self._believe(
                    self.records[name]._replace(state=MemberState.DEAD, reported_by=self.own.member)
                )
        if now >= self._next:
            self._next = now + self.pace.period
            self.outbox += [
                (to, GossipMessage(MessageKind.PING, self.own.member, 0, 0, 0, (self.own,)))
                for to in self.contacts
                if to != self.own.address
            ]

    def received(self, source: Address, m: GossipMessage) -> None:
        for w in m.records:
            known = self.records.get(w.member)
            self.heard_at[w.member] = self._now
            if (
                known is None
                or w.incarnation > known.incarnation
                or known.state != w.state
                and w.incarnation == known.incarnation
            ):
                self._believe(w)

    def leave(self) -> None:
        self.own = self.own._replace(state=MemberState.LEFT)
        self.outbox += [
            (to, GossipMessage(MessageKind.PING, self.own.member, 0, 0, 0, (self.own,)))
            for to in self.contacts
        ]

    def _believe(self, w: MemberRecord) -> None:
        self.records[w.member] = w
        self.history.append(Change(self._now, w))


KINDS: dict[str, Callable[..., Any]] = {"view": MembershipView, "heartbeats": Heartbeats}


def one_lost(kind: str, heads: int, lossy: float = 0.0) -> dict[str, Any]:
    """A fleet at rest loses one head for good. noticed, spread: seconds until the first, and all, hold it
    over; inf where never. lossy: part of every head's datagrams that is lost from the start on."""
    text = f"seed 1\nheads {heads}\n{LOST_AT:g} vanish head-1 for 3000\n"
    if lossy:
        text += "".join(f"0.1 lose head-{n} by {lossy} for {LOST_AT + WATCHED:g}\n" for n in range(heads))
    world = MembershipSimulation(read_script(text), settle_time=WATCHED, view_factory=KINDS[kind])
    judged = world.play()
    times = sorted(max(0.0, at - LOST_AT) for at in world.death_times.get((1, 2), []) if at >= LOST_AT)
    return {
        "kind": kind,
        "heads": heads,
        "lossy": lossy,
        "noticed": times[0] if times else math.inf,
        "spread": times[heads - 2] if len(times) >= heads - 1 else math.inf,
        "rest_bytes": judged.rest_bytes,
        "false_deaths": _held_in_error(world),
    }


def _held_in_error(world: MembershipSimulation) -> int:
    """How often a head that lives was held over; no fault but lost datagrams was there."""
    return sum(len(times) for (name, _), times in world.death_times.items() if name != 1)


def drawn_world(seed: int) -> dict[str, Any]:
    script = generate_script(seed)
    return {
        "seed": seed,
        "bound": settling_bound(script.heads),
        **asdict(MembershipSimulation(script).play()),
    }


def pooled(jobs: Sequence[Callable[[], dict[str, Any]]], at_once: int) -> Iterator[dict[str, Any]]:
    """Each as it is there, in no order."""
    fresh = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(at_once or None, mp_context=fresh) as pool:
        for one in as_completed([pool.submit(job) for job in jobs]):
            yield one.result()


def jobs_for(sizes: Sequence[int], seeds: Sequence[int]) -> list[Callable[[], dict[str, Any]]]:
    """The dearest first."""
    found: list[Callable[[], dict[str, Any]]] = []
    for heads in sorted(sizes, reverse=True):
        for kind in KINDS:
            if kind == "view" or heads <= BEATS_MOST:
                found.append(partial(one_lost, kind, heads))
                if heads <= BEATS_MOST // 4:
                    found.append(partial(one_lost, kind, heads, 0.2))
    return found + [partial(drawn_world, seed) for seed in seeds]


# ---- the page

PAGE = jinja2.Environment(autoescape=True).from_string("""<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>The fleet's view by size</title><style>
body { font: 15px/1.45 sans-serif; max-width: 62em; margin: 2em auto; padding: 0 1em; color: #111 }
table { border-collapse: collapse; margin: .5em 0 1.5em } td, th { padding: .15em .7em; text-align: right;
border-bottom: 1px solid #ccc } td:first-child, th:first-child { text-align: left } svg { max-width: 100% }
</style></head><body><h1>The fleet's view by size</h1>
<p>Simulated: pure cores on a virtual clock, datagrams lost, late and doubled. One head of a fleet at rest is
lost for good.</p>{{ drawn }}
<table><tr><th>kind</th><th>heads</th><th>lost datagrams</th><th>noticed, s</th><th>known to all, s</th>
<th>bytes a head a second at rest</th><th>held dead in error</th></tr>
{% for r in rows %}<tr><td>{{ r.kind }}</td><td>{{ r.heads }}</td><td>{{ r.lossy }}</td>
<td>{{ "%.1f"|format(r.noticed) }}</td><td>{{ "%.1f"|format(r.spread) }}</td>
<td>{{ "%.0f"|format(r.rest_bytes) }}</td><td>{{ r.false_deaths }}</td></tr>{% endfor %}</table>
{% if worlds %}<p>{{ worlds|length }} drawn worlds: {{ failed|length }} failed{% if failed %} (seeds
{{ failed|join(", ") }}){% endif %}; the longest took {{ "%.1f"|format(longest) }} s to settle after its last
fault.</p>{% endif %}</body></html>
""")


def page(rows: list[dict[str, Any]], worlds: list[dict[str, Any]]) -> str:
    rows = sorted(rows, key=lambda r: (r["kind"], r["lossy"], r["heads"]))
    figure = Figure(figsize=(9.0, 3.0), layout="constrained")
    for place, (field, label) in enumerate(
        (
            ("noticed", "first notice, s"),
            ("spread", "known to all, s"),
            ("rest_bytes", "bytes a head a second"),
        ),
        1,
    ):
        axes = figure.add_subplot(1, 3, place)
        for kind, colour in COLOURS.items():
            own = [r for r in rows if r["kind"] == kind and not r["lossy"] and math.isfinite(r[field])]
            axes.plot(
                [r["heads"] for r in own],
                [r[field] for r in own],
                MARKS[kind] + "-",
                color=colour,
                label=kind,
            )
        axes.set_xscale("log")
        if field == "rest_bytes":
            axes.set_yscale("log")
        else:
            axes.set_ylim(bottom=0.0)
        axes.set_xlabel("heads")
        axes.set_ylabel(label)
    figure.axes[0].legend()
    into = io.StringIO()
    with matplotlib.rc_context({"svg.hashsalt": "gorsethread", "svg.fonttype": "none"}):
        figure.savefig(into, format="svg", metadata={"Date": None})
    text = into.getvalue()
    failed = sorted(w["seed"] for w in worlds if w["reasons"])
    longest = max((w["settled"] for w in worlds), default=0.0)
    return PAGE.render(
        drawn=Markup(text[text.index("<svg") :]), rows=rows, worlds=worlds, failed=failed, longest=longest
    )
