"""Stateful fuzzing of the configuration's fold against a dictionary."""
import json

from hypothesis import strategies as st
from hypothesis.stateful import (RuleBasedStateMachine, initialize, invariant,
                                 rule)

from driver import Driver
from fuzzing import fuzz_settings

NAMES = ["a", "b", "c"]
HOSTS = ["h1", "h2", "h3", "h4"]


def intent(name, hosts, capacity):
    return {"name": name, "service": "s-" + name, "kind": "plain",
            "hosts": hosts, "teams": [{"team": "t", "capacity": capacity}]}


class ConfigMachine(RuleBasedStateMachine):
    """The log is a list; the oracle is one dictionary of intents."""

    @initialize()
    def begin(self):
        self.whole = Driver("config")
        self.log = []
        self.intents = {}   # name -> (offset, intent)
        self.touched = {}   # name -> offset
        self.outcomes = {}  # change id -> (offset, accepted)
        self.begun = None
        self.members = {}   # incarnation -> [host, registered, retired]
        self.state = self.whole.line({"reset": 1})

    def append(self, record):
        text = record if isinstance(record, str) else json.dumps(record)
        self.log.append(text)
        got = self.whole.line({"apply": text, "offset": len(self.log)})
        assert got["ret"] == 0
        self.state = got
        return len(self.log)

    def wins(self, base, sets, removes):
        for name in [i["name"] for i in sets] + removes:
            if self.touched.get(name, 0) > base:
                return False
        names = [i["name"] for i in sets]
        taken = {h: n for n, (_, i) in self.intents.items()
                 for h in i["hosts"] if n not in names and n not in removes}
        for i, one in enumerate(sets):
            if any(h in taken for h in one["hosts"]):
                return False
            for other in sets[i + 1:]:
                if set(one["hosts"]) & set(other["hosts"]):
                    return False
        return True

    @rule(names=st.lists(st.sampled_from(NAMES), unique=True, max_size=2),
          gone=st.sampled_from([None] + NAMES),
          hosts=st.lists(st.sampled_from(HOSTS), unique=True, min_size=1),
          behind=st.integers(0, 4), capacity=st.integers(1, 9),
          ident=st.integers(0, 40))
    def change(self, names, gone, hosts, behind, capacity, ident):
        """An operator's change, planned on an older state or sent again."""
        sets = [intent(n, [h for k, h in enumerate(hosts)
                           if k % len(names) == i] or [hosts[0]], capacity)
                for i, n in enumerate(names)]
        removes = [gone] if gone and gone not in names else []
        if not sets and not removes:
            return
        base = max(0, len(self.log) - behind)
        key = f"change-{ident}"
        won = self.wins(base, sets, removes)
        offset = self.append({"kind": "change", "id": key, "base": base,
                              "set": sets, "remove": removes})
        if key in self.outcomes:
            return  # the first one holds
        self.outcomes[key] = (offset, won)
        if not won:
            return
        for name in removes:
            self.intents.pop(name, None)
            self.touched[name] = offset
        for one in sets:
            self.intents[one["name"]] = (offset, one)
            self.touched[one["name"]] = offset

    @rule(host=st.sampled_from(HOSTS), n=st.integers(0, 12))
    def register(self, host, n):
        key = f"{host}.{n}"
        offset = self.append({
            "kind": "register", "host": host, "incarnation": key,
            "service": "s-a", "availability_zone": "z",
            "address": "127.0.0.1:1000", "slots": 4})
        if key in self.members:
            return
        for row in self.members.values():
            if row[0] == host and row[2] == 0:
                row[2] = offset
        self.members[key] = [host, offset, 0]

    @rule(host=st.sampled_from(HOSTS), n=st.integers(0, 12))
    def retire(self, host, n):
        key = f"{host}.{n}"
        offset = self.append({"kind": "retire", "incarnation": key})
        row = self.members.get(key)
        if row and row[2] == 0:
            row[2] = offset

    @rule(text=st.one_of(
        st.text(max_size=40),
        st.sampled_from(["{}", "[]", "null", '{"kind":"change"}', '{"kind":',
                         '{"kind":"change","id":"x","set":[{}]}',
                         '{"kind":"register","host":"h1"}',
                         '{"kind":"snapshot","state":3}',
                         '{"kind":"retire","kind":"retire"}'])))
    def garbage(self, text):
        text = text.replace("\0", "0")
        text.encode("utf-8", "ignore")
        self.append(text.encode("utf-8", "ignore").decode())

    @rule()
    def snapshot(self):
        self.append(self.state["record"])

    @rule()
    def begin_snapshot(self):
        """Made now and appended later, with records in between."""
        self.begun = self.state["record"]

    @rule()
    def late_snapshot(self):
        if self.begun:
            self.append(self.begun)

    @rule(cut=st.integers(0, 30), late=st.integers(0, 3))
    def fold_from_snapshot(self, cut, late):
        """Whoever starts from any snapshot ends at the same state."""
        usable = [i for i, text in enumerate(self.log)
                  if text.startswith('{"kind":"snapshot","covers"')]
        if not usable:
            return
        at = usable[cut % len(usable)] + 1
        covers = json.loads(self.log[at - 1])["covers"]
        first = max(1, at - late)  # what the log still has
        other = Driver("config")
        got = other.line({"jump": self.log[at - 1], "offset": at,
                          "first": first})
        if covers + 1 < first and covers + 1 != at:
            assert got["ret"] == -1  # there is a hole: not taken
        else:
            assert got["ret"] == 0
            start = json.loads(got["snapshot"])["revision"]
            for offset in range(start + 1, len(self.log) + 1):
                got = other.line({"apply": self.log[offset - 1],
                                  "offset": offset})
                assert got["ret"] == 0
            assert got["snapshot"] == self.state["snapshot"]
        other.close()

    @rule(skip=st.integers(-3, 3))
    def out_of_turn(self, skip):
        """A record that is not the next one is never applied."""
        offset = len(self.log) + 1 + skip
        if skip == 0 or offset < 0:
            return
        got = self.whole.line({"apply": '{"kind":"retire"}',
                               "offset": offset})
        assert got["ret"] == -1
        assert got["snapshot"] == self.state["snapshot"]

    @invariant()
    def same_as_oracle(self):
        if not hasattr(self, "state"):
            return
        state = json.loads(self.state["snapshot"])
        assert state["revision"] == len(self.log)
        got = {i["name"]: (i["revision"], sorted(i["hosts"]),
                           i["teams"][0]["capacity"])
               for i in state["intents"]}
        want = {n: (o, sorted(i["hosts"]), i["teams"][0]["capacity"])
                for n, (o, i) in self.intents.items()}
        assert got == want
        seen = {a["id"]: (a["offset"], a["accepted"])
                for a in state["applied"]}
        assert seen == self.outcomes
        rows = {m["incarnation"]: [m["host"], m["registered"], m["retired"]]
                for m in state["members"]}
        assert rows == self.members

    def teardown(self):
        if hasattr(self, "whole"):
            self.whole.close()


TestConfig = ConfigMachine.TestCase
TestConfig.settings = fuzz_settings(60, 40)
