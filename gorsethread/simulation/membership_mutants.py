"""Mutants of the membership view, each with a script that shows its defect; a number is a script's seed.

Each function changes one view right after it is created. Never part of a gateway in production.
"""

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

Mutation = Callable[[MembershipView], None]
MEMBERSHIP_MUTANTS: dict[str, tuple[Mutation, str]] = {}
PARTITION = "heads 8\n5 cut room-0 <-> room-1 for 60\n"
GATEWAY_LOST = "heads 6\n5 vanish head-1 for 3000\n"
PACKET_LOSS = "heads 12\n5 lose head-1 by 0.3 for 60\n5 lose head-2 by 0.3 for 60\n"
MANY_RESTARTS = "heads 30\n5 kill head-1 for 1\n5 kill head-2 for 1\n5 kill head-3 for 1\n"


def mutant(name: str, script: str) -> Callable[[Mutation], Mutation]:
    def register(mutation: Mutation) -> Mutation:
        MEMBERSHIP_MUTANTS[name] = mutation, script
        return mutation

    return register


@mutant("deaf to its own death", "heads 8\n5 cut room-0 <-> room-1 for 40\n")
def _ignores_own_death(view: MembershipView) -> None:
    view._merge_own = lambda record: None  # type: ignore[method-assign]


@mutant("the dead are never asked again", PARTITION)
def _never_pings_dead(view: MembershipView) -> None:
    view._ping_ended = lambda: None  # type: ignore[method-assign]


@mutant("a suspicion lasts for no time", PACKET_LOSS)
def _suspicion_times_out_at_once(view: MembershipView) -> None:
    view.suspicions.timeout = lambda suspicion: 0.0  # type: ignore[method-assign]


@mutant("a suspicion never ends", GATEWAY_LOST)
def _never_ends_suspicion(view: MembershipView) -> None:
    view._expire_suspicions = lambda: None  # type: ignore[method-assign]


@mutant("tells of itself alone", MANY_RESTARTS)
def _disseminates_only_itself(view: MembershipView) -> None:
    view.dissemination.payload = lambda first_member, recipient: Payload((view.own,), 0)  # type: ignore[method-assign]


@mutant("answers no probe", "heads 6\n5 lose head-1 by 0.1 for 1\n")
def _answers_no_probe(view: MembershipView) -> None:
    original = view.received

    def received(source: Address, message: GossipMessage) -> None:
        if message.kind != MessageKind.PING:
            original(source, message)

    view.received = received  # type: ignore[method-assign]


@mutant("probes nobody", GATEWAY_LOST)
def _probes_nobody(view: MembershipView) -> None:
    view.probe_order.next_member = lambda: None  # type: ignore[method-assign]


@mutant("probes the same one for ever", GATEWAY_LOST)
def _probes_one_member(view: MembershipView) -> None:
    def next_member() -> int | None:
        others = [record.member for record in view.alive if record.member != view.own.member]
        return others[-1] if others else None

    view.probe_order.next_member = next_member  # type: ignore[method-assign]


@mutant("refutes without a new incarnation", PACKET_LOSS)
def _refutes_without_new_incarnation(view: MembershipView) -> None:
    original = view._merge_own

    def merge_own(record: MemberRecord) -> None:
        if record.incarnation != view.own.incarnation or record.state != MemberState.SUSPECT:
            original(record)

    view._merge_own = merge_own  # type: ignore[method-assign]


@mutant("a lower life is believed", "9")
def _accepts_lower_incarnation(view: MembershipView) -> None:
    original = view._merge

    def merge(record: MemberRecord) -> None:
        known = view.records.get(record.member)
        if (
            known is not None
            and record.member != view.own.member
            and record.incarnation < known.incarnation
            and not record.ended
        ):
            view._accept(record)
        else:
            original(record)

    view._merge = merge  # type: ignore[method-assign]


@mutant("a dead life is believed alive again", PARTITION)
def _revives_dead_incarnation(view: MembershipView) -> None:
    original = view._merge

    def merge(record: MemberRecord) -> None:
        known = view.records.get(record.member)
        if known is not None and known.ended and not record.ended and record.incarnation == known.incarnation:
            view._accept(record)
        else:
            original(record)

    view._merge = merge  # type: ignore[method-assign]


@mutant("the dead are forgotten at once", PARTITION)
def _forgets_dead_members(view: MembershipView) -> None:
    original = view._merge
    view.contacts = ()

    def merge(record: MemberRecord) -> None:
        if not record.ended:
            original(record)

    view._merge = merge  # type: ignore[method-assign]


@mutant("comes back as the life that ended", PARTITION)
def _rejoins_with_ended_incarnation(view: MembershipView) -> None:
    original = view._replace_own
    view._replace_own = lambda record: original(record._replace(incarnation=view.own.incarnation))  # type: ignore[method-assign]


@mutant("helpers say that they heard, whether they did or not", GATEWAY_LOST)
def _helpers_always_acknowledge(view: MembershipView) -> None:
    def relay_ping(source: Address, message: GossipMessage) -> None:
        view._send(source, MessageKind.ACK, message.sequence, (), 0)

    view._relay_ping = relay_ping  # type: ignore[method-assign]


@mutant("holds dead without asking once more, and soon", PACKET_LOSS)
def _skips_final_pings(view: MembershipView) -> None:
    def timeout(suspicion: Suspicion) -> float:
        suspicion.final_pings = FINAL_PINGS
        return 1.0

    view.suspicions.timeout = timeout  # type: ignore[method-assign]
