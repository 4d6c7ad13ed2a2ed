"""Defects planted in a head's view of the fleet, and the script in which each shows; a number is the seed of
a drawn one. Never part of a head that serves. Each changes one view as it is made."""

from collections.abc import Callable
from typing import Any

from gorsethread.membership.gossip_messages import Address, Kind, Message, State, Word
from gorsethread.membership.view import LAST_ASKED, View

Plant = Callable[[View], None]
VIEW_MUTANTS: dict[str, tuple[Plant, str]] = {}
PARTED = "heads 8\n5 cut room-0 <-> room-1 for 60\n"
GONE = "heads 6\n5 vanish head-1 for 3000\n"
LOSSY = "heads 12\n5 lose head-1 by 0.3 for 60\n5 lose head-2 by 0.3 for 60\n"
BACK = "heads 30\n5 kill head-1 for 1\n5 kill head-2 for 1\n5 kill head-3 for 1\n"


def mutant(name: str, script: str) -> Callable[[Plant], Plant]:
    def keep(plant: Plant) -> Plant:
        VIEW_MUTANTS[name] = plant, script
        return plant

    return keep


@mutant("deaf to its own death", "heads 8\n5 cut room-0 <-> room-1 for 40\n")
def _deaf_to_own_death(v: View) -> None:
    v._heard_of_me = lambda w: None  # type: ignore[method-assign]


@mutant("the dead are never asked again", PARTED)
def _never_asks_the_dead(v: View) -> None:
    v._ask_the_dead = lambda: None  # type: ignore[method-assign]


@mutant("a suspicion lasts for no time", LOSSY)
def _accuses_at_once(v: View) -> None:
    v._lasts = lambda s: 0.0  # type: ignore[method-assign]


@mutant("a suspicion never ends", GONE)
def _never_ends_suspicion(v: View) -> None:
    v._suspicions_end = lambda: None  # type: ignore[method-assign]


@mutant("tells of itself alone", BACK)
def _tells_only_itself(v: View) -> None:
    v._piece = lambda begin, other: ((v.me,), 0)  # type: ignore[method-assign]


@mutant("answers no probe", "heads 6\n5 lose head-1 by 0.1 for 1\n")
def _answers_no_probe(v: View) -> None:
    honest = v.heard

    def heard(source: Address, m: Message) -> None:
        if m.kind != Kind.PING:
            honest(source, m)

    v.heard = heard  # type: ignore[method-assign]


@mutant("probes nobody", GONE)
def _probes_nobody(v: View) -> None:
    v._draw_turn = lambda: None  # type: ignore[method-assign]


@mutant("probes the same one for ever", GONE)
def _probes_one(v: View) -> None:
    def turn() -> int | None:
        others = [w.name for w in v.alive if w.name != v.me.name]
        return others[-1] if others else None

    v._draw_turn = turn  # type: ignore[method-assign]


@mutant("refutes without a new incarnation", LOSSY)
def _refutes_in_vain(v: View) -> None:
    honest = v._heard_of_me

    def heard(w: Word) -> None:
        if w.life != v.me.life or w.state != State.SUSPECT:
            honest(w)

    v._heard_of_me = heard  # type: ignore[method-assign]


@mutant("a lower life is believed", "9")
def _older_life(v: View) -> None:
    honest = v._hear

    def hear(w: Word) -> None:
        known = v.words.get(w.name)
        if known is not None and w.name != v.me.name and w.life < known.life and not w.over:
            v._believe(w)
        else:
            honest(w)

    v._hear = hear  # type: ignore[method-assign]


@mutant("a dead life is believed alive again", PARTED)
def _revives(v: View) -> None:
    honest = v._hear

    def hear(w: Word) -> None:
        known = v.words.get(w.name)
        if known is not None and known.over and not w.over and w.life == known.life:
            v._believe(w)
        else:
            honest(w)

    v._hear = hear  # type: ignore[method-assign]


@mutant("the dead are forgotten at once", PARTED)
def _forgets(v: View) -> None:
    honest = v._hear
    v.contacts = ()

    def hear(w: Word) -> None:
        if not w.over:
            honest(w)

    v._hear = hear  # type: ignore[method-assign]


@mutant("comes back as the life that ended", PARTED)
def _keeps_its_life(v: View) -> None:
    honest = v._mine
    v._mine = lambda w: honest(w._replace(life=v.me.life))  # type: ignore[method-assign]


@mutant("helpers say that they heard, whether they did or not", GONE)
def _helpers_lie(v: View) -> None:
    def ping_for(source: Address, m: Message) -> None:
        v._send(source, Kind.ACK, m.seq, (), 0)

    v._ping_for = ping_for  # type: ignore[method-assign]


@mutant("holds dead without asking once more, and soon", LOSSY)
def _asks_no_more(v: View) -> None:
    def lasts(s: Any) -> float:
        s.asks = LAST_ASKED
        return 1.0

    v._lasts = lasts  # type: ignore[method-assign]
