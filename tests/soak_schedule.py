"""What befalls the fleet of the soak, and when: fixed by a seed and a size."""
import random
from dataclasses import dataclass

FAULTS_S = 6.0   # faults begin
PLANNED_S = 6.5  # planned work, and the bound of a version
WORK_S = 14.0    # planned work begins, of a course that has nothing else
LAST_FAULT_S = (0.005, 0.4)  # after a configuration
UPGRADE_GAP_S = (0.4, 0.9)   # between two processes of an upgrade
UPGRADE_REST_S = 2.0         # all on one build


@dataclass(frozen=True)
class Size:
    gateways: int = 3
    plain: int = 4
    models: int = 4   # engines, and as many sidecars
    callers: int = 10

    def descriptors(self):
        """That the links between processes take at most: two for each pair
        and way, and as many again while connections are replaced."""
        return 4 * self.gateways * (self.gateways + self.models)


LIMITS = (0.0, 0.5, 2.2, 5.0, 20.0)  # requests a second
RESTS = (0.5, 1.5, 3.0)              # seconds
LIMIT_S = (13.0, 16.0)  # beyond the faults
REST_S = (1.0, 6.0)

# Not in the way of what is owed.
PLANNED = ("limit", "rest", "config", "weights", "leave", "stop", "reload", "add", "upgrade",
           "downgrade")


def schedule(seed, size=Size()):
    """[(at, kind, target, seconds)] of a seed, times from the first fault."""
    rng = random.Random(f"{seed}/schedule")
    plain = ["p%d" % i for i in range(size.plain)]
    models = ["m%d" % i for i in range(size.models)]
    processes = ["g%d" % i for i in range(size.gateways)] + \
        ["s%d" % i for i in range(size.models)]
    links = ["store", "origin", "peers", "engines"] + \
        ["peers/%d" % i for i in range(size.gateways + size.models)] + \
        ["engines/%d" % i for i in range(size.plain + size.models)]
    kinds = [("silence", links), ("silence", ["all", "peers", "engines"]),
             ("reset", links + ["all"]),
             ("delay", links), ("cut", links), ("cut_there", links),
             ("cut_back", links), ("pause", processes), ("kill", processes),
             ("stop", processes), ("crash", plain + models),
             ("leave", plain + models), ("breaks", plain + ["ledger"] * 2),
             ("full", plain + ["ledger", "engines"]),
             ("away", ["store", "origin"]), ("spoil", ["origin"]),
             ("config", [""])] + [("weights", [""])] * 2
    rows = []
    for _ in range(rng.randint(4, 14)):
        kind, targets = rng.choice(kinds)
        rows.append((rng.uniform(0, FAULTS_S), kind, rng.choice(targets),
                     rng.uniform(0.2, 2.0)))
        if kind == "spoil" or (kind == "weights" and rng.random() < 0.5):
            rows.append((rows[-1][0] + rng.uniform(0.1, 1.5), "weights", "",
                         0))  # what is to be spoilt; or two that overlap
    return sorted(rows)


def notices(seed, size=Size()):
    """The faults of the seed, and what engines say in their answers: limits
    that change, rests, and one that leaves while the store does not know."""
    rng = random.Random(f"{seed}/notices")
    plain = ["p%d" % i for i in range(size.plain)]
    models = ["m%d" % i for i in range(size.models)]
    rows = schedule(seed, size)
    for _ in range(rng.randint(1, 2)):
        rows.append((rng.uniform(0, FAULTS_S), "rest",
                     rng.choice(plain + models), rng.uniform(*REST_S)))
    for target in rng.sample(plain + models, 2):
        rows.append((rng.uniform(0, 2), "limit", target,
                     rng.uniform(*LIMIT_S)))
    rows.append((rng.uniform(0, FAULTS_S), "leave_untold",
                 rng.choice(plain + models), 0.3))
    return sorted(rows)


def planned(seed, size=Size()):
    """Work in calm times; an engine without its sidecar gets no new weights,
    and must get no calls behind the version's bound."""
    rng = random.Random(f"{seed}/planned")
    return sorted([
        (0.0, "stop", "s%d" % rng.randrange(size.models), PLANNED_S),
        (rng.uniform(0, 1), "weights", "", 0),
        (rng.uniform(0, 1), "config", "", 0),
        (rng.uniform(0, 1), "stop", "g%d" % rng.randrange(size.gateways), 0.2),
        (rng.uniform(0, 1), "leave", "p%d" % rng.randrange(size.plain), 0.2)])


def work(seed, size=Size()):
    """Planned work only, in series that overlap: configurations, reloads,
    restarts of one process after the other, engines that leave, processes that
    are added, weights."""
    rng = random.Random(f"{seed}/work")
    rows = []
    for _ in range(rng.randint(3, 5)):  # series of configurations
        at, gap = rng.uniform(0, WORK_S), rng.uniform(0.1, 0.6)
        what = rng.choice(("", "idle", "body", "routes"))
        rows += [(at + i * gap, "config", what, 0)
                 for i in range(rng.randint(1, 6))]
    for _ in range(rng.randint(1, 2)):  # gateways restarted, also two at once
        at, gap = rng.uniform(0, WORK_S / 2), rng.uniform(0.5, 2.0)
        first = rng.randrange(size.gateways)
        rows += [(at + i * gap, "stop",
                  "g%d" % ((first + i) % size.gateways), rng.uniform(0.1, 1))
                 for i in range(min(size.gateways - 1, rng.randint(2, 8)))]
    for _ in range(rng.randint(2, 6)):
        rows.append((rng.uniform(0, WORK_S), "reload",
                     "g%d" % rng.randrange(size.gateways), 0))
    rows += [(rng.uniform(0, WORK_S), "stop", "s%d" % rng.randrange(
        size.models), 0.3) for _ in range(rng.randint(0, 3))]
    rows += [(rng.uniform(0, WORK_S), "leave", rng.choice("pm") + "0", 0.3)]
    rows += [(rng.uniform(0, WORK_S), "leave", "p%d" % rng.randrange(
        1, size.plain), 0.3)]
    rows += [(rng.uniform(0, WORK_S), "weights", "", 0)
             for _ in range(rng.randint(1, 2))]
    rows += [(rng.uniform(0, WORK_S), "add", "", 0)
             for _ in range(rng.randint(0, 2))]
    return sorted(rows)


def upgrade(seed, size=Size()):
    """Every process goes on to the new build, one after the other, and then
    back, with configurations, weights and an engine's leaving meanwhile."""
    rng = random.Random(f"{seed}/upgrade")
    processes = ["g%d" % i for i in range(size.gateways)] + \
        ["s%d" % i for i in range(size.models)]
    rows, at = [], 0.0
    for kind in ("upgrade", "downgrade"):
        rng.shuffle(processes)
        for name in processes:
            rows.append((at, kind, name, rng.uniform(0, 0.3)))
            at += rng.uniform(*UPGRADE_GAP_S)
        at += UPGRADE_REST_S
    rows += [(rng.uniform(0, at), "config", rng.choice(("", "routes")), 0)
             for _ in range(8)]
    rows += [(rng.uniform(0, at), "weights", "", 0) for _ in range(3)]
    rows.append((rng.uniform(0, at), "leave", "p0", 0.3))
    return sorted(rows)


# What a member of a crowd sends: an unfinished body of so many bytes, by length
# or in chunks, a body over the limit, part of a head, nothing.
CROWDS = ("length", "chunks", "over", "head", "silence")
CROWD_AT = ("callers", "callers", "directory", "readiness", "metrics", "peers")


def crowds(seed, size=Size()):
    """[(gateway, listener, connections, what, whether they return)]"""
    rng = random.Random(f"{seed}/crowds")
    return [(rng.randrange(size.gateways), rng.choice(CROWD_AT),
             rng.randint(50, 800), rng.choice(CROWDS), rng.random() < 0.6)
            for _ in range(rng.randint(1, 3))]


def back(seed, size=Size()):
    """The store goes back to an older copy, a few times and also twice in a
    row, while configurations, versions and leaving engines are written, and
    processes are killed, stopped or stand still around it."""
    rng = random.Random(f"{seed}/back")
    plain = ["p%d" % i for i in range(size.plain)]
    processes = ["g%d" % i for i in range(size.gateways)] + \
        ["s%d" % i for i in range(size.models)]
    rows, at = [], rng.uniform(2.5, 3.5)
    for _ in range(rng.randint(1, 3)):
        rows.append((at, "go_back", str(rng.randint(0, 6)),
                     rng.uniform(0.1, 1.5)))
        # known by then, and still serving when the store is back
        rows.append((at - 2.4, "leave", rng.choice(plain), 0.3))
        rows += [(at + rng.uniform(-2, 3), "config",
                  rng.choice(("", "routes", "idle")), 0)
                 for _ in range(rng.randint(1, 5))]
        rows += [(at + rng.uniform(-2, 2), "weights", "", 0)
                 for _ in range(rng.randint(0, 1))]
        if rng.random() < 0.5:  # else nothing else is in trouble
            rows += [(at + rng.uniform(-1, 2),
                      rng.choice(("kill", "stop", "pause")),
                      rng.choice(processes), rng.uniform(0.2, 2.0))
                     for _ in range(rng.randint(1, 3))]
        at += rng.uniform(1.0, 5.0)
    return sorted(rows)


def last_fault(seed):
    """So long after a configuration all processes are killed."""
    return random.Random(f"{seed}/last").uniform(*LAST_FAULT_S)


def parts(seed, size=Size()):
    """(how many parts crash engines, whether the answers that they cut lack a
    length and chunks, what else happens meanwhile)."""
    rng = random.Random(f"{seed}/parts")
    gateways = ["g%d" % i for i in range(size.gateways)]
    rows = [(rng.uniform(0, FAULTS_S), rng.choice(("kill", "stop", "pause")),
             rng.choice(gateways), rng.uniform(0.2, 1.5))
            for _ in range(rng.randint(0, 4))]
    rows += [(rng.uniform(0, FAULTS_S), "crash", "p%d" % rng.randrange(
        size.plain), rng.uniform(0.2, 1.5)) for _ in range(rng.randint(0, 3))]
    if rng.random() < 0.3:  # all at once, while the ends are being counted
        at = rng.uniform(0.2, 2.0)
        rows += [(at, "kill", g, 0.1) for g in gateways]
    rows.append((rng.uniform(0, FAULTS_S), "config", "", 0))
    return rng.randint(1, 2), rng.random() < 0.5, sorted(rows)
