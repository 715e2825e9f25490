"""Malformed records of engines in the store, from another writer: fields that are
missing or of the wrong type, unknown values, bytes that are not JSON. Guards against
a gateway that sends calls to the address in a malformed record, or that stops using
the valid records."""
import json

import pytest

from bench import wait_for
from fleet import Fleet
from standin_platform import Engine

CALLS = 24  # over two gateways; far more than needed to try each engine


def good(engine):
    return engine.record()


def without(field):
    def entry(engine):
        record = good(engine)
        del record[field]
        return record
    return entry


def with_value(field, value):
    return lambda engine: dict(good(engine), **{field: value})


def twice(engine):
    """The key "address" occurs twice."""
    text = json.dumps(good(engine))
    return (text[:-1] + ', "address": "%s"}' % engine.address).encode()


def not_utf8(engine):
    return json.dumps(good(engine)).encode().replace(b'"z1"', b'"z\xff"')


ODD = {
    "state unknown": with_value("state", "resting"),
    "state missing": without("state"),
    "state a number": with_value("state", 1),
    "slots a word": with_value("slots", "four"),
    "slots negative": with_value("slots", -4),
    "slots a fraction": with_value("slots", 4.5),
    "slots missing": without("slots"),
    "models a word": with_value("models", "m1"),
    "a model without a version": with_value("models", [{"name": "m1"}]),
    "layers a word": with_value("models", [
        {"name": "m1", "version": 1, "layers": "all"}]),
    "sequence a word": with_value("sequence", "one"),
    "sequence missing": without("sequence"),
    "born a word": with_value("born", "today"),
    "born a fraction": with_value("born", 1796260040325.5),
    "service a list": with_value("service", ["ledger"]),
    "service missing": without("service"),
    "address of no port": with_value("address", "127.0.0.1"),
    "zone a number": with_value("zone", 1),
    "cold-remaining a word": with_value("cold-remaining-ms", "soon"),
    "version missing": without("version"),
    "no object": lambda engine: [good(engine)],
    "cut short": lambda engine: json.dumps(good(engine)).encode()[:-20],
    "deep": lambda engine: b'{"a":' * 2000 + b"1" + b"}" * 2000,
    "twice": twice,
    "not text": not_utf8,
    "no bytes of JSON": lambda engine: bytes(range(1, 200)),
}


def put(fleet, engine, value):
    """Appends a record; a value of type bytes is not encoded as JSON."""
    if not isinstance(value, bytes):
        value = json.dumps(value).encode()
    with fleet.store.changed:
        fleet.store.records("keyed.servers").append((engine.id, value))
        fleet.store.changed.notify_all()


@pytest.fixture
def fleet():
    with Fleet(gateways=2, plain=2) as f:
        f.wait_ready()
        yield f


def calls(fleet, name):
    return [fleet.call("/safe/x", "%s-%d" % (name, i), i % 2)[0]
            for i in range(CALLS)]


def seen_by(fleet, engine):
    """Waits until a gateway has logged the malformed record of the engine."""
    text = "unreadable record engine=" + engine.id
    wait_for("the entry to be read", lambda: text in fleet.log("g0") +
             fleet.log("g1"))


def test_no_call_reaches_an_odd_entry(fleet):
    engines = {}
    for i, (name, entry) in enumerate(ODD.items()):
        engines[name] = Engine("odd-%d" % i, "ledger")
        fleet.engines.append(engines[name])
        put(fleet, engines[name], entry(engines[name]))
    last = fleet.add_engine("last", "ledger")
    wait_for("the later record to be known", lambda: all(
        "engine=last" in fleet.log(g) for g in ("g0", "g1")))
    assert calls(fleet, "c") == [200] * CALLS
    assert {n for n, e in engines.items() if e.seen} == set()
    assert last.ran
    counted = sum(fleet.metrics(i)["quayring_unreadable_total"]
                  for i in range(2))
    assert counted >= len(ODD)
    # the log names the error and the field
    text = fleet.log("g0") + fleet.log("g1")
    assert "finding" in text and "slots" in text
    # a new gateway reads the malformed records in its first listing
    fleet.add_gateways(1)
    fleet.wait_ready()
    assert [fleet.call("/safe/x", "n%d" % i, 2)[0] for i in range(12)] == \
        [200] * 12
    assert {n for n, e in engines.items() if e.seen} == set()


def test_an_engine_is_not_used_while_its_entry_cannot_be_read(fleet):
    engine = fleet.plain[0]
    put(fleet, engine, with_value("state", "resting")(engine))
    seen_by(fleet, engine)
    wait_for("both to know", lambda: all(
        "engine=p0" in "".join(l for l in fleet.log(g).splitlines()
                               if "unreadable" in l) for g in ("g0", "g1")))
    engine.ran.clear()
    assert calls(fleet, "c") == [200] * CALLS
    assert engine.ran == []
    put(fleet, engine, good(engine))
    wait_for("it to be used again", lambda: fleet.call(
        "/safe/x", "again-%d" % len(engine.seen))[0] == 200 and engine.ran)
