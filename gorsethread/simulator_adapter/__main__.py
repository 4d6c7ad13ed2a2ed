"""The wire adapter: batches in, calls on the scheduler, replies out. It decides nothing."""

import json
import sys
import traceback
from typing import Any

from gorsethread.gateway.scheduler_settings import (
    JsonObject,
    MalformedInputError,
    named_value,
    read_scheduler_settings,
)
from gorsethread.scheduling.model import AttemptEnded, AttemptOutcome, RequestTaken
from gorsethread.scheduling.scheduler import Scheduler

ENDINGS = {
    "S": AttemptOutcome.SUCCEEDED,
    "E": AttemptOutcome.ERROR,
    "F": AttemptOutcome.REJECTED,
    "T": AttemptOutcome.TIMED_OUT,
    "C": AttemptOutcome.UNREACHABLE,
    "R": AttemptOutcome.CONNECTION_LOST,
    "X": AttemptOutcome.CANCELLED,
    "N": AttemptOutcome.NOT_SENT,
}
CLIENT_REPEAT = 2


class BenchHost:
    """The host of one instance: every act becomes a line of the reply."""

    def __init__(self, link: "Link") -> None:
        self.link = link
        self.said: list[dict[str, Any]] = []

    def clock(self) -> float:
        return self.link.wall

    def send_attempt(self, request: int, backend: int, wait: float) -> None:
        self.said.append({"verb": "forward", "corr": request, "tryFor": wait, "shelf": backend})

    def cancel_attempt(self, request: int, number: int) -> None:
        self.said.append({"verb": "recall", "corr": request, "shot": number})

    def reject(self, request: int, return_after: float) -> None:
        self.said.append({"verb": "deny", "corr": request, "coolDown": return_after})

    def fail(self, request: int) -> None:
        self.said.append({"verb": "dropRequest", "corr": request})

    def wake(self, delay: float, name: str) -> None:
        self.said.append({"verb": "arm", "delay": delay, "keyBack": name})

    def tell(self, head: int, words: str) -> None:
        self.said.append({"verb": "notify", "addressee": head, "raw": words})

    def follow_list(self) -> None:
        self.said.append({"verb": "subscribe", "active": True})


class Link:
    """The instances of this process, and the lists that travel once for all of them."""

    def __init__(self) -> None:
        self.wall = 0.0
        self.pages: dict[int, list[JsonObject]] = {}
        self.heads: dict[str, tuple[Scheduler, BenchHost]] = {}

    def batch(self, line: str) -> dict[str, Any]:
        try:
            message = json.loads(line, object_hook=JsonObject)
        except ValueError as error:
            raise MalformedInputError(f"not JSON: {error}") from None
        if not isinstance(message, JsonObject):
            raise MalformedInputError("a batch is an object")
        if message.get("verb") == "page":
            self.page(message)
            return {}
        self.wall = message["wall"]
        replies = []
        for part in message["heads"]:
            name, said = part["i"], []
            try:
                for event in part["happened"]:
                    self.event(name, event)
                if name in self.heads:
                    scheduler, host = self.heads[name]
                    scheduler.batch_ended()
                    said, host.said = host.said, []
            except MalformedInputError:
                raise
            except Exception as error:
                traceback.print_exc()
                said = [{"verb": "bug", "message": f"{type(error).__name__}: {error}"}]
            if said:
                replies.append({"i": name, "output": said})
        return {"heads": replies}

    def page(self, message: JsonObject) -> None:
        self.pages[message["page"]] = message["membersList"]

    def event(self, name: str, e: JsonObject) -> None:
        verb = e["verb"]
        if verb == "up":
            host = BenchHost(self)
            self.heads[name] = (Scheduler(host, read_scheduler_settings(e["setup"]), e["salt"]), host)
            return
        if verb == "kill":
            self.heads.pop(name, None)
            return
        if verb == "page":
            self.page(e)
            return
        if name not in self.heads:
            raise MalformedInputError(f"{verb} for {name}, which is not up")
        scheduler = self.heads[name][0]
        if verb == "order":
            scheduler.request_taken(
                RequestTaken(
                    e["corr"],
                    e["tierClass"],
                    e["contract"],
                    e.get("item"),
                    e["dropDead"],
                    e["vol"],
                    e["quotaUnits"],
                    e["slotNo"],
                    e["setSize"],
                    bool(e.get("stateBits", 0) & CLIENT_REPEAT),
                )
            )
        elif verb == "done":
            scheduler.attempt_ended(
                AttemptEnded(
                    e["corr"],
                    e["shot"],
                    named_value(ENDINGS, e["how"]),
                    e["shelf"],
                    e["elapsed"],
                    bool(e.get("doneFlag")),
                    e.get("delta", 0),
                    e.get("usage", 0),
                )
            )
        elif verb == "due":
            scheduler.woken(e["keyBack"])
        elif verb == "cancelledByClient":
            scheduler.client_left(e["corr"])
        elif verb == "sync":
            if e["form"] == "refused":
                scheduler.list_refused()
                return
            entries = self.pages.get(e["page"])
            if entries is None:
                raise MalformedInputError(f"page {e['page']} was never sent")
            scheduler.list_begins(e["form"] != "changes", e["form"] == "remembered")
            for s in entries:
                scheduler.backend_listed(
                    s["shelf"],
                    s["rackZone"],
                    s.get("pod", -1),
                    s["condition"] == "Ready",
                    s.get("since", 0.0),
                )
            scheduler.list_ended()
        elif verb == "peer":
            scheduler.peer_told(e["originPeer"], e["raw"])
        elif verb not in ("ackFirst", "probeResult"):
            raise MalformedInputError(f"unknown verb {verb!r}")


def main() -> int:
    link = Link()
    for line in sys.stdin:
        if not line.strip():
            continue
        try:
            reply = link.batch(line)
        except MalformedInputError as error:
            print(f"gorsethread: malformed line: {error}", file=sys.stderr)
            return 2
        if reply:
            sys.stdout.write(json.dumps(reply, separators=(",", ":")) + "\n")
            sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
