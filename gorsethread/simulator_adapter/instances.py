"""The simulated gateways of one process: batches of events in, replies out."""

import json
import traceback
from typing import Any, NamedTuple

from gorsethread.gateway.scheduler_settings import JsonObject, MalformedInputError, read_scheduler_settings
from gorsethread.scheduling.scheduler import Scheduler
from gorsethread.simulator_adapter.events import notify
from gorsethread.simulator_adapter.replies import ReplyActions


class Instance(NamedTuple):
    """One simulated gateway."""

    scheduler: Scheduler
    actions: ReplyActions


class Instances:
    """The instances that are up, by name, and the endpoint lists that travel once for all of them.

    An instance leaves as the simulator stops it; of the lists, each number's last stays.
    """

    def __init__(self) -> None:
        self._now = 0.0
        self._lists: dict[int, list[JsonObject]] = {}
        self._instances: dict[str, Instance] = {}

    def batch(self, line: str) -> dict[str, Any]:
        """Works on one line of the simulator; returns the reply, empty if it expects none.

        Raises:
            MalformedInputError: The line is not as the protocol has it.
        """
        message = self._read(line)
        if message.get("verb") == "page":
            self._keep_list(message)
            return {}
        self._now = message["wall"]
        replies = []
        for part in message["heads"]:
            actions = self._work(part["i"], part["happened"])
            if actions:
                replies.append({"i": part["i"], "output": actions})
        return {"heads": replies}

    def _read(self, line: str) -> JsonObject:
        try:
            message = json.loads(line, object_hook=JsonObject)
        except ValueError as error:
            raise MalformedInputError(f"not JSON: {error}") from None
        if not isinstance(message, JsonObject):
            raise MalformedInputError("a batch is an object")
        return message

    def _work(self, name: str, events: list[JsonObject]) -> list[dict[str, Any]]:
        """Passes an instance its events; an unexpected error is the simulator's to count."""
        try:
            for event in events:
                self._event(name, event)
            instance = self._instances.get(name)
            if instance is None:
                return []
            instance.scheduler.batch_ended()
            return instance.actions.take()
        except MalformedInputError:
            raise
        except Exception as error:
            traceback.print_exc()
            return [{"verb": "bug", "message": f"{type(error).__name__}: {error}"}]

    def _event(self, name: str, event: JsonObject) -> None:
        verb = event["verb"]
        if verb == "up":
            actions = ReplyActions(self._clock)
            scheduler = Scheduler(actions, read_scheduler_settings(event["setup"]), event["salt"])
            self._instances[name] = Instance(scheduler, actions)
        elif verb == "kill":
            self._instances.pop(name, None)
        elif verb == "page":
            self._keep_list(event)
        elif name not in self._instances:
            raise MalformedInputError(f"{verb} for {name}, which is not up")
        else:
            notify(self._instances[name].scheduler, event, self._lists)

    def _clock(self) -> float:
        return self._now

    def _keep_list(self, message: JsonObject) -> None:
        self._lists[message["page"]] = message["membersList"]
