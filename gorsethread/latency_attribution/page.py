"""Renders an answer as one self-contained HTML page: the sentence, the tables, and plots as inline SVG."""

import io
from collections import Counter

import jinja2
import matplotlib
from markupsafe import Markup

matplotlib.use("svg")
from matplotlib.figure import Figure  # noqa: E402

from gorsethread.latency_attribution.causes import Findings  # noqa: E402
from gorsethread.latency_attribution.report import Answer  # noqa: E402
from gorsethread.latency_attribution.stages import HOLDER_LABELS, STAGE_LABELS, Stage  # noqa: E402

# The palette of Okabe and Ito, which colour-blind readers can distinguish; hatches distinguish them in print.
COLOURS = ("#0072B2", "#E69F00", "#009E73", "#D55E00", "#CC79A7", "#56B4E9", "#F0E442", "#000000")
HATCHES = ("", "//", "..", "xx", "\\\\", "++", "oo", "--")
MAX_MATRIX_SIZE = 12  # waiters and holders drawn in the matrix
MAX_LAYERS = 7  # stages drawn in the timeline

PAGE_TEMPLATE = jinja2.Environment(autoescape=True).from_string("""<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ title }}</title><style>
body { font: 15px/1.45 sans-serif; max-width: 62em; margin: 2em auto; padding: 0 1em; color: #111 }
.first { font-size: 1.35em } .note { color: #8a3b00 }
table { border-collapse: collapse; margin: .5em 0 1.5em } caption { text-align: left; font-weight: bold }
td, th { padding: .15em .7em; border-bottom: 1px solid #ccc; text-align: right }
td:first-child, th:first-child { text-align: left } figure { margin: 1em 0 } svg { max-width: 100% }
</style></head><body>
<h1>{{ title }}</h1><p class="first">{{ answer.sentence }}</p><p>Confidence: {{ answer.confidence }}.</p>
{% for note in answer.notes %}<p class="note">{{ note }}</p>{% endfor %}
{% for caption, drawn in figures %}
<figure>{{ drawn }}<figcaption>{{ caption }}</figcaption></figure>
{% endfor %}
{% for table in answer.tables %}<table><caption>{{ table.title }}</caption>
<tr>{% for c in table.columns %}<th>{{ c }}</th>{% endfor %}</tr>
{% for row in table.rows %}<tr>{% for c in row %}<td>{{ c }}</td>{% endfor %}</tr>{% endfor %}
</table>{% endfor %}
</body></html>
""")


def page(title: str, answer: Answer, found: Findings, volume: int | None = None) -> str:
    """Returns the page. volume: the volume whose timeline is drawn; None: all volumes."""
    figures = [
        ("Mean time of a request by stage, over time", _timeline_plot(found, volume)),
        ("Who waited behind whom, as shares of all waiting", _blame_matrix(found)),
        (
            "Service time for the same units, in proportion to the usual one of all backends",
            _backend_plot(found),
        ),
    ]
    return PAGE_TEMPLATE.render(title=title, answer=answer, figures=figures)


def _svg_markup(figure: Figure) -> Markup:
    out = io.StringIO()
    with matplotlib.rc_context({"svg.hashsalt": "gorsethread", "svg.fonttype": "none"}):
        figure.savefig(out, format="svg", bbox_inches="tight", metadata={"Date": None})
    text = out.getvalue()
    # The only external texts in it are names of volumes, which matplotlib has escaped.
    return Markup(text[text.index("<svg") :])


def _timeline_plot(found: Findings, volume: int | None) -> Markup:
    slots = list(found.time_slots.values())
    begin = min(s.start for s in found.merged.spans)
    means: list[list[float]] = []
    for window in slots:
        rows = [r for (v, _), r in window.rows.items() if volume in (None, v)]
        requests = max(1, sum(r.requests for r in rows))
        means.append([sum(r.stages[s] for r in rows) / requests / 1000 for s in Stage])
    heaviest = sorted(Stage, key=lambda s: -sum(m[s] for m in means))[:MAX_LAYERS]
    at = [max(0.0, key * found.slot_seconds - begin) for key in found.time_slots]
    figure = Figure(figsize=(9, 3))
    axes = figure.add_subplot()
    bottom = [0.0] * len(slots)
    for n, stage in enumerate(heaviest):
        heights = [m[stage] for m in means]
        axes.bar(
            at,
            heights,
            bottom=bottom,
            width=0.9 * found.slot_seconds,
            align="edge",
            color=COLOURS[n],
            hatch=HATCHES[n],
            edgecolor="white",
            linewidth=0.3,
            label=STAGE_LABELS[stage],
        )
        bottom = [b + h for b, h in zip(bottom, heights, strict=True)]
    axes.set_xlabel("seconds from the start of the period")
    axes.set_ylabel("milliseconds")
    axes.legend(fontsize=8, loc="upper left", bbox_to_anchor=(1.0, 1.0))
    return _svg_markup(figure)


def _blame_matrix(found: Findings) -> Markup:
    waiters: Counter[int] = Counter()
    holders: Counter[int] = Counter()
    cells: Counter[tuple[int, int]] = Counter()
    for b, us in found.blame.items():
        waiters[b.waiter] += us
        holders[b.holder] += us
        cells[b.waiter, b.holder] += us
    rows = [v for v, _ in waiters.most_common(MAX_MATRIX_SIZE)]
    columns = [v for v, _ in holders.most_common(MAX_MATRIX_SIZE)]
    total = max(1, sum(cells.values()))
    figure = Figure(figsize=(1.5 + 0.8 * max(1, len(columns)), 1.0 + 0.35 * max(1, len(rows))))
    axes = figure.add_subplot()
    if rows:
        shares = [[cells[w, h] / total for h in columns] for w in rows]
        axes.imshow(shares, cmap="Greys", aspect="auto", vmin=0)
    largest = max(cells.values(), default=0)
    for y, w in enumerate(rows):
        for x, h in enumerate(columns):
            if share := cells[w, h]:
                axes.text(
                    x,
                    y,
                    f"{100 * share / total:.0f}%",
                    ha="center",
                    va="center",
                    fontsize=8,
                    color="white" if share > 0.6 * largest else "black",
                )
    axes.set_xticks(range(len(columns)), [_holder_name(found, h) for h in columns], rotation=40, ha="right")
    axes.set_yticks(range(len(rows)), [_holder_name(found, w) for w in rows])
    axes.set_xlabel("behind")
    axes.set_ylabel("waited")
    return _svg_markup(figure)


def _holder_name(found: Findings, number: int) -> str:
    # matplotlib would read text between dollar signs as mathematics.
    return (found.baseline.volume(number) if number > 0 else HOLDER_LABELS[number]).replace("$", r"\$")


def _backend_plot(found: Findings) -> Markup:
    begin = min(s.start for s in found.merged.spans)
    figure = Figure(figsize=(9, 3))
    axes = figure.add_subplot()
    named = {*found.slow, *found.stopped}
    for number, speed in found.speeds.items():
        at = [key * found.slot_seconds - begin for key in speed.time_slots]
        if number in named:
            n = sorted(named).index(number)
            axes.plot(
                at,
                list(speed.time_slots.values()),
                color=COLOURS[n % 8],
                marker="osv^D*"[n % 6],
                markersize=4,
                label=f"backend {number}",
            )
        else:
            axes.plot(at, list(speed.time_slots.values()), color="#999999", linewidth=0.8)
    axes.axhline(1.0, color="black", linewidth=0.5, linestyle=":")
    axes.set_ylim(bottom=0)
    axes.set_xlabel("seconds from the start of the period")
    axes.set_ylabel("times the usual")
    if named:
        axes.legend(fontsize=8)
    return _svg_markup(figure)
