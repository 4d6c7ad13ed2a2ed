"""Runs the simulated gateways of one process: turns batches of events into replies."""

import json
import traceback
from typing import Any, NamedTuple

from gorsethread.gateway.scheduler_settings import JsonObject, MalformedInputError, read_scheduler_settings
from gorsethread.scheduling.scheduler import Scheduler
from gorsethread.simulator_adapter.events import dispatch_event
from gorsethread.simulator_adapter.replies import ReplyActions


class Instance(NamedTuple):
    """A simulated gateway: its scheduler, and the actions that the scheduler has called."""

    scheduler: Scheduler
    actions: ReplyActions


class Instances:
    """Holds the running instances by name and the endpoint lists, which the simulator sends once for all.

    An instance is removed when the simulator stops it. Of the lists with the same page number, the last is
    kept.
    """

    def __init__(self) -> None:
        self._now = 0.0
        self._lists: dict[int, list[JsonObject]] = {}
        self._instances: dict[str, Instance] = {}

    def handle_line(self, line: str) -> dict[str, Any]:
        """Processes one line from the simulator; returns the reply, empty if none is expected.

        Raises:
            MalformedInputError: The line does not follow the protocol.
        """
        message = self._parse(line)
        if message.get("verb") == "page":
            self._store_list(message)
            return {}
        self._now = message["wall"]
        replies = []
        for part in message["heads"]:
            actions = self._process_batch(part["i"], part["happened"])
            if actions:
                replies.append({"i": part["i"], "output": actions})
        return {"heads": replies}

    def _parse(self, line: str) -> JsonObject:
        try:
            message = json.loads(line, object_hook=JsonObject)
        except ValueError as error:
            raise MalformedInputError(f"not JSON: {error}") from None
        if not isinstance(message, JsonObject):
            raise MalformedInputError("a batch must be a JSON object")
        return message

    def _process_batch(self, name: str, events: list[JsonObject]) -> list[dict[str, Any]]:
        """Passes a batch of events to an instance; returns its actions.

        An unexpected error is reported as an action with the verb "bug", for the simulator to count.
        """
        try:
            for event in events:
                self._handle_event(name, event)
            instance = self._instances.get(name)
            if instance is None:
                return []
            instance.scheduler.batch_ended()
            return instance.actions.pop_all()
        except MalformedInputError:
            raise
        except Exception as error:
            traceback.print_exc()
            return [{"verb": "bug", "message": f"{type(error).__name__}: {error}"}]

    def _handle_event(self, name: str, event: JsonObject) -> None:
        verb = event["verb"]
        if verb == "up":
            actions = ReplyActions(self._clock)
            scheduler = Scheduler(actions, read_scheduler_settings(event["setup"]), event["salt"])
            self._instances[name] = Instance(scheduler, actions)
        elif verb == "kill":
            self._instances.pop(name, None)
        elif verb == "page":
            self._store_list(event)
        elif name not in self._instances:
            raise MalformedInputError(f"{verb} for instance {name}, which is not running")
        else:
            dispatch_event(self._instances[name].scheduler, event, self._lists)

    def _clock(self) -> float:
        return self._now

    def _store_list(self, message: JsonObject) -> None:
        self._lists[message["page"]] = message["membersList"]
