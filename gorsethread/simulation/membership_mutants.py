"""Defects planted in a head's view of the fleet, and the script in which each shows; a number is the seed of
a drawn one. Never part of a head that serves. Each changes one view as it is made."""

from collections.abc import Callable

from gorsethread.membership.dissemination import Payload
from gorsethread.membership.failure_detector import FINAL_PINGS, Suspicion
from gorsethread.membership.gossip_messages import (
    Address,
    GossipMessage,
    MemberRecord,
    MemberState,
    MessageKind,
)
from gorsethread.membership.membership_view import MembershipView

Plant = Callable[[MembershipView], None]
MEMBERSHIP_MUTANTS: dict[str, tuple[Plant, str]] = {}
PARTED = "heads 8\n5 cut room-0 <-> room-1 for 60\n"
GONE = "heads 6\n5 vanish head-1 for 3000\n"
LOSSY = "heads 12\n5 lose head-1 by 0.3 for 60\n5 lose head-2 by 0.3 for 60\n"
BACK = "heads 30\n5 kill head-1 for 1\n5 kill head-2 for 1\n5 kill head-3 for 1\n"


def mutant(name: str, script: str) -> Callable[[Plant], Plant]:
    def keep(plant: Plant) -> Plant:
        MEMBERSHIP_MUTANTS[name] = plant, script
        return plant

    return keep


@mutant("deaf to its own death", "heads 8\n5 cut room-0 <-> room-1 for 40\n")
def _deaf_to_own_death(v: MembershipView) -> None:
    v._merge_own = lambda record: None  # type: ignore[method-assign]


@mutant("the dead are never asked again", PARTED)
def _never_asks_the_dead(v: MembershipView) -> None:
    v._ping_ended = lambda: None  # type: ignore[method-assign]


@mutant("a suspicion lasts for no time", LOSSY)
def _accuses_at_once(v: MembershipView) -> None:
    v.suspicions.timeout = lambda suspicion: 0.0  # type: ignore[method-assign]


@mutant("a suspicion never ends", GONE)
def _never_ends_suspicion(v: MembershipView) -> None:
    v._expire_suspicions = lambda: None  # type: ignore[method-assign]


@mutant("tells of itself alone", BACK)
def _tells_only_itself(v: MembershipView) -> None:
    v.dissemination.payload = lambda first_member, recipient: Payload((v.own,), 0)  # type: ignore[method-assign]


@mutant("answers no probe", "heads 6\n5 lose head-1 by 0.1 for 1\n")
def _answers_no_probe(v: MembershipView) -> None:
    honest = v.received

    def heard(source: Address, message: GossipMessage) -> None:
        if message.kind != MessageKind.PING:
            honest(source, message)

    v.received = heard  # type: ignore[method-assign]


@mutant("probes nobody", GONE)
def _probes_nobody(v: MembershipView) -> None:
    v.probe_order.next_member = lambda: None  # type: ignore[method-assign]


@mutant("probes the same one for ever", GONE)
def _probes_one(v: MembershipView) -> None:
    def turn() -> int | None:
        others = [w.member for w in v.alive if w.member != v.own.member]
        return others[-1] if others else None

    v.probe_order.next_member = turn  # type: ignore[method-assign]


@mutant("refutes without a new incarnation", LOSSY)
def _refutes_in_vain(v: MembershipView) -> None:
    honest = v._merge_own

    def heard(record: MemberRecord) -> None:
        if record.incarnation != v.own.incarnation or record.state != MemberState.SUSPECT:
            honest(record)

    v._merge_own = heard  # type: ignore[method-assign]


@mutant("a lower life is believed", "9")
def _older_life(v: MembershipView) -> None:
    honest = v._merge

    def hear(record: MemberRecord) -> None:
        known = v.records.get(record.member)
        if (
            known is not None
            and record.member != v.own.member
            and record.incarnation < known.incarnation
            and not record.ended
        ):
            v._accept(record)
        else:
            honest(record)

    v._merge = hear  # type: ignore[method-assign]


@mutant("a dead life is believed alive again", PARTED)
def _revives(v: MembershipView) -> None:
    honest = v._merge

    def hear(record: MemberRecord) -> None:
        known = v.records.get(record.member)
        if known is not None and known.ended and not record.ended and record.incarnation == known.incarnation:
            v._accept(record)
        else:
            honest(record)

    v._merge = hear  # type: ignore[method-assign]


@mutant("the dead are forgotten at once", PARTED)
def _forgets(v: MembershipView) -> None:
    honest = v._merge
    v.contacts = ()

    def hear(record: MemberRecord) -> None:
        if not record.ended:
            honest(record)

    v._merge = hear  # type: ignore[method-assign]


@mutant("comes back as the life that ended", PARTED)
def _keeps_its_life(v: MembershipView) -> None:
    honest = v._replace_own
    v._replace_own = lambda record: honest(record._replace(incarnation=v.own.incarnation))  # type: ignore[method-assign]


@mutant("helpers say that they heard, whether they did or not", GONE)
def _helpers_lie(v: MembershipView) -> None:
    def ping_for(source: Address, message: GossipMessage) -> None:
        v._send(source, MessageKind.ACK, message.sequence, (), 0)

    v._relay_ping = ping_for  # type: ignore[method-assign]


@mutant("holds dead without asking once more, and soon", LOSSY)
def _asks_no_more(v: MembershipView) -> None:
    def lasts(suspicion: Suspicion) -> float:
        suspicion.final_pings = FINAL_PINGS
        return 1.0

    v.suspicions.timeout = lasts  # type: ignore[method-assign]
