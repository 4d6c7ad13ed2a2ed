"""Worlds with heads on the operators' platform: good heads keep every rule, planted defects are caught."""

import unittest
from pathlib import Path

import pytest

from gorsethread.simulation.http_mutants import WEB_MUTANTS
from gorsethread.simulation.runs import drawn, play, play_many
from gorsethread.simulation.script import read_script
from gorsethread.simulation.script_generator import Draw
from gorsethread.simulation.site_simulation import unsupported_acts
from gorsethread.site_config.reading import read_site

SITE = read_site(Path(__file__).parent.parent / "deploy" / "site.txtpb")
SPOILT = "2 spoil shelf-0 by 0.5 for 5\n2 spoil shelf-2 by 0.5 for 5"
STILL = "2 still shelf-0 for 4\n2 still shelf-1 for 4"
RUDE = "\n".join(f"1 rude head-{h} for 5" for h in (0, 1, 2))
RESETS = "factor 2\n1 slow shelf-0 by 9 for 5\n1 slow shelf-1 by 9 for 5\n" + "\n".join(
    f"{at} reset head-{h} -> shelf-{s}" for at in (2, 3, 4, 5) for h in (0, 1, 2) for s in (0, 1)
)
# Two shelves come back cold, then each head starts anew, twice.
COLD = "heads 4\nfactor 3\n1 kill shelf-0 for 0.5\n1 kill shelf-1 for 0.5\n" + "".join(
    f"{at + 0.05 * head:.2f} kill head-{head} for 0.1\n" for at in (2.6, 3.6) for head in range(4)
)
# A part of the defect's name, and the script that shows it.
SHOWING = {
    "ended under a request counts as never": RESETS,
    "a spoilt answer counts as turned away": SPOILT,
    "brought more than its answer": SPOILT,
    "of any length and form": SPOILT,
    "one that left is not noticed": f"leaves 0.4\nfactor 2\n{STILL}",
    "half a second late": STILL,
    "is answered as pushed back": STILL,
    "some are answered twice": f"factor 2\n{STILL}",
    "never answered": f"factor 2\n{STILL}",
    "two ways to tell": RUDE,
    "waited for without end": RUDE,
    "drains are not heard": "2 drain shelf-1 for 5",
    "told to end, it ends at once": "factor 2\n2 slow shelf-0 by 9 for 4\n3 term head-0 for 1",
    "serves on for good": "2 term head-0 for 1",
    "lends from its first moment": COLD,
    "counts for half of the span": COLD,
    "each shelf's home": COLD,
    "starts are not heard": COLD,
    "just answered on is closed": RUDE,
    "not counted as they end": "heads 2\nfactor 4\n"
    + "".join(f"1 kill shelf-{shelf} for 0.3\n" for shelf in range(4)),
    "is not given back": "heads 1\nshelves 2\nfactor 4\n1 kill shelf-0 for 0.3",
}


class Web(unittest.TestCase):
    def test_drawn_worlds_keep_every_rule(self) -> None:
        failed = [(p.seed, p.reasons, p.first) for p in play_many(SITE, range(40), web=True) if p.reasons]
        self.assertEqual([], failed)

    def test_one_seed_is_one_history(self) -> None:
        script = drawn(SITE, 3, True)
        self.assertEqual(play(SITE, script, web=True).digest, play(SITE, script, web=True).digest)

    def test_acts_of_the_platform_are_not_for_the_other_front(self) -> None:
        script = read_script("1 term head-0 for 1\n2 spoil shelf-0 by 0.5 for 1\n")
        self.assertEqual(
            (2, 0), (len(unsupported_acts(SITE, script)), len(unsupported_acts(SITE, script, True)))
        )
        drawn_kinds = {a.kind for seed in range(60) for a in Draw(seed, [1], ["archive"]).script().acts}
        self.assertFalse(drawn_kinds & {"term", "reload", "spoil", "rude"})


def test_a_drain_that_crosses_a_connection_coming_up_late_is_kept_and_a_breach_is_seen() -> None:
    """Of a short grace; the connections to a backend take a second, and it is told to drain meanwhile."""
    site = type(SITE)()
    site.CopyFrom(SITE)
    site.rules.drain_grace, site.links.connect_within = 0.25, 2.0
    resets = "\n".join(f"2 reset head-{head} -> shelf-1" for head in range(3))
    script = read_script(
        f"seed 5\nseconds 8\nfactor 3\n1.9 connects shelf-1 by 0.7 for 3\n{resets}\n"
        "2.1 drain shelf-1 for 5\n"
    )
    name = next(m for m in WEB_MUTANTS if "sent whenever that comes up" in m)
    assert play(site, script, "", True).reasons == []
    assert any("rule 3" in reason for reason in play(site, script, name, True).reasons)


def test_what_hangs_through_a_shutdown_is_answered_and_a_breach_is_seen() -> None:
    """Clients wait for longer than a process that is told to end may stay."""
    site = type(SITE)()
    site.CopyFrom(SITE)
    for profile in site.profile:
        profile.cut_off = 9.0
    script = read_script(
        "seed 5\nseconds 8\nfactor 3\n1.9 still shelf-0 for 6\n1.9 still shelf-1 for 6\n"
        "2.5 term head-0 for 1\n"
    )
    name = next(m for m in WEB_MUTANTS if "keeps its own deadline" in m)
    assert play(site, script, "", True).reasons == []
    assert play(site, script, name, True).reasons != []


@pytest.mark.parametrize("part", SHOWING)
def test_a_planted_defect_is_caught_and_the_honest_head_is_not_accused(part: str) -> None:
    name = next(m for m in WEB_MUTANTS if part in m)
    script = read_script(f"seed 5\nseconds 8\n{SHOWING[part]}\n")
    assert play(SITE, script, "", True).reasons == []
    assert play(SITE, script, name, True).reasons != []
