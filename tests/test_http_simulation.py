"""Simulations with HTTP gateways: unmodified gateways break no rule, and mutants are detected."""

import unittest
from pathlib import Path

import pytest

from gorsethread.simulation.http_mutants import HTTP_MUTANTS
from gorsethread.simulation.runs import generate_script, play, play_many
from gorsethread.simulation.script import read_script
from gorsethread.simulation.script_generator import ScriptGenerator
from gorsethread.simulation.site_simulation import mismatched_acts
from gorsethread.site_config.reading import read_site

SITE = read_site(Path(__file__).parent.parent / "deploy" / "site.txtpb")
UNUSABLE_RESPONSES = "2 spoil shelf-0 by 0.5 for 5\n2 spoil shelf-2 by 0.5 for 5"
UNRESPONSIVE_BACKENDS = "2 still shelf-0 for 4\n2 still shelf-1 for 4"
MALFORMED_REQUESTS = "\n".join(f"1 rude head-{gateway} for 5" for gateway in (0, 1, 2))
RESETS = "factor 2\n1 slow shelf-0 by 9 for 5\n1 slow shelf-1 by 9 for 5\n" + "\n".join(
    f"{at} reset head-{gateway} -> shelf-{backend}"
    for at in (2, 3, 4, 5)
    for gateway in (0, 1, 2)
    for backend in (0, 1)
)
# Two backends restart, and during their slow start every gateway restarts twice.
SLOW_START = "heads 4\nfactor 3\n1 kill shelf-0 for 0.5\n1 kill shelf-1 for 0.5\n" + "".join(
    f"{at + 0.05 * gateway:.2f} kill head-{gateway} for 0.1\n" for at in (2.6, 3.6) for gateway in range(4)
)
# By a part of the mutant's name: the acts of a script in which it is detected.
ACTS_BY_MUTANT = {
    "ended under a request counts as never": RESETS,
    "a spoilt answer counts as turned away": UNUSABLE_RESPONSES,
    "brought more than its answer": UNUSABLE_RESPONSES,
    "of any length and form": UNUSABLE_RESPONSES,
    "one that left is not noticed": f"leaves 0.4\nfactor 2\n{UNRESPONSIVE_BACKENDS}",
    "half a second late": UNRESPONSIVE_BACKENDS,
    "is answered as pushed back": UNRESPONSIVE_BACKENDS,
    "some are answered twice": f"factor 2\n{UNRESPONSIVE_BACKENDS}",
    "never answered": f"factor 2\n{UNRESPONSIVE_BACKENDS}",
    "two ways to tell": MALFORMED_REQUESTS,
    "waited for without end": MALFORMED_REQUESTS,
    "drains are not heard": "2 drain shelf-1 for 5",
    "told to end, it ends at once": "factor 2\n2 slow shelf-0 by 9 for 4\n3 term head-0 for 1",
    "serves on for good": "2 term head-0 for 1",
    "lends from its first moment": SLOW_START,
    "counts for half of the span": SLOW_START,
    "each shelf's home": SLOW_START,
    "starts are not heard": SLOW_START,
    "just answered on is closed": MALFORMED_REQUESTS,
    "not counted as they end": "heads 2\nfactor 4\n"
    + "".join(f"1 kill shelf-{backend} for 0.3\n" for backend in range(4)),
    "is not given back": "heads 1\nshelves 2\nfactor 4\n1 kill shelf-0 for 0.3",
}


class HttpSimulation(unittest.TestCase):
    def test_generated_scripts_break_no_rule(self) -> None:
        failed = [(p.seed, p.reasons, p.first) for p in play_many(SITE, range(40), http=True) if p.reasons]
        self.assertEqual([], failed)

    def test_one_script_has_one_digest(self) -> None:
        script = generate_script(SITE, 3, True)
        self.assertEqual(play(SITE, script, http=True).digest, play(SITE, script, http=True).digest)

    def test_acts_of_http_gateways_are_refused_for_nvme_gateways(self) -> None:
        script = read_script("1 term head-0 for 1\n2 spoil shelf-0 by 0.5 for 1\n")
        self.assertEqual(
            (2, 0), (len(mismatched_acts(SITE, script)), len(mismatched_acts(SITE, script, True)))
        )
        generated_kinds = {
            a.kind for seed in range(60) for a in ScriptGenerator(seed, [1], ["archive"]).generate().acts
        }
        self.assertFalse(generated_kinds & {"term", "reload", "spoil", "rude"})


def test_a_backend_that_drains_during_a_slow_connect_gets_no_late_request() -> None:
    """Connects to a backend take 0.7 s longer, it drains meanwhile, and its drain grace is short.

    A mutant that sends what waited for the connection breaks rule 3.
    """
    site = type(SITE)()
    site.CopyFrom(SITE)
    site.rules.drain_grace, site.links.connect_within = 0.25, 2.0
    resets = "\n".join(f"2 reset head-{gateway} -> shelf-1" for gateway in range(3))
    script = read_script(
        f"seed 5\nseconds 8\nfactor 3\n1.9 connects shelf-1 by 0.7 for 3\n{resets}\n"
        "2.1 drain shelf-1 for 5\n"
    )
    name = next(m for m in HTTP_MUTANTS if "sent whenever that comes up" in m)
    assert play(site, script, "", True).reasons == []
    assert any("rule 3" in reason for reason in play(site, script, name, True).reasons)


def test_open_requests_are_answered_before_a_shutdown_ends() -> None:
    """Clients wait longer than a terminated process may take to shut down.

    A mutant whose open requests keep their own deadlines is detected.
    """
    site = type(SITE)()
    site.CopyFrom(SITE)
    for request_class in site.profile:
        request_class.cut_off = 9.0
    script = read_script(
        "seed 5\nseconds 8\nfactor 3\n1.9 still shelf-0 for 6\n1.9 still shelf-1 for 6\n"
        "2.5 term head-0 for 1\n"
    )
    name = next(m for m in HTTP_MUTANTS if "keeps its own deadline" in m)
    assert play(site, script, "", True).reasons == []
    assert play(site, script, name, True).reasons != []


@pytest.mark.parametrize("part", ACTS_BY_MUTANT)
def test_a_mutant_is_detected_and_the_unmodified_gateway_passes(part: str) -> None:
    name = next(m for m in HTTP_MUTANTS if part in m)
    script = read_script(f"seed 5\nseconds 8\n{ACTS_BY_MUTANT[part]}\n")
    assert play(SITE, script, "", True).reasons == []
    assert play(SITE, script, name, True).reasons != []
