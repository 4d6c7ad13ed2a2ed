"""Translates the simulator's events into calls of the scheduler.

The names of verbs and fields are given by the simulator's protocol.
"""

from collections.abc import Callable, Mapping

from gorsethread.gateway.scheduler_settings import JsonObject, MalformedInputError, named_value
from gorsethread.scheduling.model import AttemptEnded, AttemptOutcome, RequestReceived
from gorsethread.scheduling.scheduler import Scheduler

ATTEMPT_OUTCOMES = {
    "S": AttemptOutcome.SUCCEEDED,
    "E": AttemptOutcome.ERROR,
    "F": AttemptOutcome.REJECTED,
    "T": AttemptOutcome.TIMED_OUT,
    "C": AttemptOutcome.UNREACHABLE,
    "R": AttemptOutcome.CONNECTION_LOST,
    "X": AttemptOutcome.CANCELLED,
    "N": AttemptOutcome.NOT_SENT,
}
CLIENT_RETRY = 2  # bit of stateBits
NO_SHARD = -1
IGNORED_VERBS = ("ackFirst", "probeResult")

EndpointLists = Mapping[int, list[JsonObject]]


def dispatch_event(scheduler: Scheduler, event: JsonObject, lists: EndpointLists) -> None:
    """Calls the scheduler's method for an event of the simulator.

    Args:
        scheduler: The instance's scheduler.
        event: One event of a batch.
        lists: The endpoint lists sent so far, by their page numbers.

    Raises:
        MalformedInputError: The event has an unknown verb, or lacks a field.
    """
    verb = event["verb"]
    handler = _HANDLERS.get(verb) if isinstance(verb, str) else None
    if handler is not None:
        handler(scheduler, event)
    elif verb == "sync":
        _endpoint_list_received(scheduler, event, lists)
    elif verb not in IGNORED_VERBS:
        raise MalformedInputError(f"unknown verb {verb!r}")


def _request_received(scheduler: Scheduler, event: JsonObject) -> None:
    scheduler.request_received(
        RequestReceived(
            event["corr"],
            event["tierClass"],
            event["contract"],
            event.get("item"),
            event["dropDead"],
            event["vol"],
            event["quotaUnits"],
            event["slotNo"],
            event["setSize"],
            bool(event.get("stateBits", 0) & CLIENT_RETRY),
        )
    )


def _attempt_ended(scheduler: Scheduler, event: JsonObject) -> None:
    scheduler.attempt_ended(
        AttemptEnded(
            event["corr"],
            event["shot"],
            named_value(ATTEMPT_OUTCOMES, event["how"]),
            event["shelf"],
            event["elapsed"],
            bool(event.get("doneFlag")),
            event.get("delta", 0),
            event.get("usage", 0),
        )
    )


def _timer_fired(scheduler: Scheduler, event: JsonObject) -> None:
    scheduler.timer_fired(event["keyBack"])


def _client_left(scheduler: Scheduler, event: JsonObject) -> None:
    scheduler.client_left(event["corr"])


def _peer_message_received(scheduler: Scheduler, event: JsonObject) -> None:
    scheduler.peer_message_received(event["originPeer"], event["raw"])


def _endpoint_list_received(scheduler: Scheduler, event: JsonObject, lists: EndpointLists) -> None:
    form = event["form"]
    if form == "refused":
        scheduler.endpoint_poll_failed()
        return
    entries = lists.get(event["page"])
    if entries is None:
        raise MalformedInputError(f"page {event['page']} was never sent")
    scheduler.endpoint_list_begins(form != "changes", form == "remembered")
    for entry in entries:
        scheduler.endpoint_listed(
            entry["shelf"],
            entry["rackZone"],
            entry.get("pod", NO_SHARD),
            entry["condition"] == "Ready",
            entry.get("since", 0.0),
        )
    scheduler.endpoint_list_ended()


_HANDLERS: dict[str, Callable[[Scheduler, JsonObject], None]] = {
    "order": _request_received,
    "done": _attempt_ended,
    "due": _timer_fired,
    "cancelledByClient": _client_left,
    "peer": _peer_message_received,
}
