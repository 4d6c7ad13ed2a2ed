"""Tests simulations of HTTP gateways: correct gateways keep every rule, and each mutant is detected."""

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
SPOILED_RESPONSES = "2 spoil shelf-0 by 0.5 for 5\n2 spoil shelf-2 by 0.5 for 5"
STALLED_BACKENDS = "2 still shelf-0 for 4\n2 still shelf-1 for 4"
MALFORMED_REQUESTS = "\n".join(f"1 rude head-{gateway} for 5" for gateway in (0, 1, 2))
CONNECTION_RESETS = "factor 2\n1 slow shelf-0 by 9 for 5\n1 slow shelf-1 by 9 for 5\n" + "\n".join(
    f"{at} reset head-{gateway} -> shelf-{backend}"
    for at in (2, 3, 4, 5)
    for gateway in (0, 1, 2)
    for backend in (0, 1)
)
# Two backends restart cold, then each gateway restarts twice.
COLD_STARTS = "heads 4\nfactor 3\n1 kill shelf-0 for 0.5\n1 kill shelf-1 for 0.5\n" + "".join(
    f"{at + 0.05 * gateway:.2f} kill head-{gateway} for 0.1\n" for at in (2.6, 3.6) for gateway in range(4)
)
# By a part of a mutant's name: the script that detects it.
SCRIPTS = {
    "ended under a request counts as never": CONNECTION_RESETS,
    "a spoilt answer counts as turned away": SPOILED_RESPONSES,
    "brought more than its answer": SPOILED_RESPONSES,
    "of any length and form": SPOILED_RESPONSES,
    "one that left is not noticed": f"leaves 0.4\nfactor 2\n{STALLED_BACKENDS}",
    "half a second late": STALLED_BACKENDS,
    "is answered as pushed back": STALLED_BACKENDS,
    "some are answered twice": f"factor 2\n{STALLED_BACKENDS}",
    "never answered": f"factor 2\n{STALLED_BACKENDS}",
    "two ways to tell": MALFORMED_REQUESTS,
    "waited for without end": MALFORMED_REQUESTS,
    "drains are not heard": "2 drain shelf-1 for 5",
    "told to end, it ends at once": "factor 2\n2 slow shelf-0 by 9 for 4\n3 term head-0 for 1",
    "serves on for good": "2 term head-0 for 1",
    "lends from its first moment": COLD_STARTS,
    "counts for half of the span": COLD_STARTS,
    "each shelf's home": COLD_STARTS,
    "starts are not heard": COLD_STARTS,
    "just answered on is closed": MALFORMED_REQUESTS,
    "not counted as they end": "heads 2\nfactor 4\n"
    + "".join(f"1 kill shelf-{backend} for 0.3\n" for backend in range(4)),
    "is not given back": "heads 1\nshelves 2\nfactor 4\n1 kill shelf-0 for 0.3",
}


class HttpSimulationTest(unittest.TestCase):
    def test_generated_scripts_break_no_rule(self) -> None:
        failed = [
            (played.seed, played.reasons, played.first)
            for played in play_many(SITE, range(40), web=True)
            if played.reasons
        ]
        self.assertEqual([], failed)

    def test_the_same_script_gives_the_same_digest(self) -> None:
        script = drawn(SITE, 3, True)
        self.assertEqual(play(SITE, script, web=True).digest, play(SITE, script, web=True).digest)

    def test_http_acts_are_rejected_and_not_generated_for_nvme_gateways(self) -> None:
        script = read_script("1 term head-0 for 1\n2 spoil shelf-0 by 0.5 for 1\n")
        self.assertEqual(
            (2, 0), (len(unsupported_acts(SITE, script)), len(unsupported_acts(SITE, script, True)))
        )
        drawn_kinds = {act.kind for seed in range(60) for act in Draw(seed, [1], ["archive"]).script().acts}
        self.assertFalse(drawn_kinds & {"term", "reload", "spoil", "rude"})


def test_an_attempt_waiting_for_a_connection_is_not_sent_once_the_backend_drains() -> None:
    """Connections to a backend take 0.7 s longer to open, and it starts to drain meanwhile, with a grace of
    0.25 s. The gateway keeps rule 3; the mutant that sends whenever the connection opens breaks it.
    """
    site = type(SITE)()
    site.CopyFrom(SITE)
    site.rules.drain_grace, site.links.connect_within = 0.25, 2.0
    resets = "\n".join(f"2 reset head-{head} -> shelf-1" for head in range(3))
    script = read_script(
        f"seed 5\nseconds 8\nfactor 3\n1.9 connects shelf-1 by 0.7 for 3\n{resets}\n"
        "2.1 drain shelf-1 for 5\n"
    )
    mutant = next(name for name in WEB_MUTANTS if "sent whenever that comes up" in name)
    assert play(site, script, "", True).reasons == []
    assert any("rule 3" in reason for reason in play(site, script, mutant, True).reasons)


def test_requests_that_hang_during_a_shutdown_get_a_response() -> None:
    """Clients wait longer than a gateway may take to shut down. The gateway answers them before it ends; the
    mutant that waits for each request's own deadline is detected.
    """
    site = type(SITE)()
    site.CopyFrom(SITE)
    for profile in site.profile:
        profile.cut_off = 9.0
    script = read_script(
        "seed 5\nseconds 8\nfactor 3\n1.9 still shelf-0 for 6\n1.9 still shelf-1 for 6\n"
        "2.5 term head-0 for 1\n"
    )
    mutant = next(name for name in WEB_MUTANTS if "keeps its own deadline" in name)
    assert play(site, script, "", True).reasons == []
    assert play(site, script, mutant, True).reasons != []


@pytest.mark.parametrize("part", SCRIPTS)
def test_a_mutant_is_detected_and_the_unchanged_gateway_is_not(part: str) -> None:
    mutant = next(name for name in WEB_MUTANTS if part in name)
    script = read_script(f"seed 5\nseconds 8\n{SCRIPTS[part]}\n")
    assert play(SITE, script, "", True).reasons == []
    assert play(SITE, script, mutant, True).reasons != []
