"""A branch whose link goes again and again, with real heads: what it accepted meanwhile is in effect in the
end, once, in causal order, or waits for a person."""

from gorsethread.simulation.script import Act, Script
from gorsethread.transport.program import SeededRandom

CYCLE = 20.0  # seconds from one cut to the next
FIRST = 4.0  # seconds before the first


def script_of(seed: int, cycles: int, heads: int, branch: list[int], shelves: int, factor: float) -> Script:
    """Each cycle the link goes, one way now and then; beside that, in turn: nothing, a head of the branch
    dies while it is cut off, one of the main site just as replay begins, a disk at the branch is lost, the
    link goes again soon, a way breaks in the middle of replay."""
    c = SeededRandom(f"lab branch {seed}")
    main = [n for n in range(heads) if n not in branch]
    acts: list[Act] = []
    for n in range(cycles):
        at, seconds, by = FIRST + n * CYCLE, c.uniform(4.0, 7.0), float(c.choice((0, 0, 0, 1, 2)))
        for head in branch:
            acts.append(Act(at, "link", f"head {head}", amount=by, seconds=seconds))
        back, head = at + seconds, c.choice(branch)
        kind = (seed + n) % 6
        if kind == 1:
            acts.append(Act(at + c.uniform(3.5, seconds), "kill", f"head {head}", seconds=1.0))
        elif kind == 2:
            acts.append(Act(back + 2.0 + c.uniform(0.1, 0.8), "kill", f"head {c.choice(main)}", seconds=0.5))
        elif kind == 3 and len(branch) > 1:
            acts.append(Act(at + c.uniform(3.5, seconds), "wipe", f"head {head}", seconds=1.5))
        elif kind == 4:
            for head in branch:
                acts.append(Act(back + 2.3, "link", f"head {head}", amount=by, seconds=1.5))
        elif kind == 5:
            acts.append(
                Act(
                    back + 2.0 + c.uniform(0.1, 0.8),
                    "reset",
                    f"head {head}",
                    f"head {c.choice(main)}",
                    seconds=0.001,
                )
            )
    return Script(seed, heads, shelves, FIRST + cycles * CYCLE, factor, acts=tuple(sorted(acts)))
