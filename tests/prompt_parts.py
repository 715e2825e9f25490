"""Prompts of callers as lists of parts, of which all but the last are shared.
Some parts crash the engines that begin to answer a request with them."""

HEADER = "X-Prompt-Prefix"
FIRST = "f1257"                              # in all prompts
SUBJECTS = ["5ab%03x" % i for i in range(6)]  # one of them in each prompt
FREQUENT = SUBJECTS[0]                       # in every second sound prompt
OWN_TOKENS = 50


def crashing_ids(count):
    return ["dead%02x" % i for i in range(count)]


def header(shared, dice):
    """The header of a new prompt: the shared parts and one of its own."""
    rows = ["%s:%d" % (p, dice.randrange(1, 900)) for p in shared]
    rows.append("%x:%d" % (dice.getrandbits(48) | 1 << 47, OWN_TOKENS))
    return {HEADER: ",".join(rows)}


def sound(dice, frequent):
    return header([FIRST, FREQUENT if frequent else dice.choice(SUBJECTS)],
                  dice)


def crashing(dice, part, where=None, more=0):
    """The crashing part is at index 'where' among the shared ones, or anywhere,
    with 'more' parts that no other prompt has."""
    shared = [FIRST, dice.choice(SUBJECTS)]
    shared += ["%x" % dice.getrandbits(24) for _ in range(more)]
    shared.insert(dice.randrange(len(shared) + 1) if where is None else where,
                  part)
    return header(shared, dice)


def shared_ids(request):
    """The parts that the request shares with others, as an engine reads them."""
    rows = request.headers.get(HEADER.lower(), "").split(",")
    return [row.split(":")[0] for row in rows[:-1]]
