"""The store and an origin that turn calls away and say for how long."""
import time

import pytest

from bench import wait_for
from fleet import MODEL, Fleet, policy
from standin_platform import CHUNKS

LOOK_S = 4.0


# The field was not read: a store that asked for rest was asked again after 0.2 s,
# and an origin after 0.15 s.
def test_a_store_gets_the_rest_that_it_asks_for():
    with Fleet(gateways=1, plain=1) as f:
        f.wait_ready()
        time.sleep(0.5)
        f.store.rest = "1.5"
        time.sleep(LOOK_S)
        # two followers: one call each when the rest begins, and one each 1.5 s
        assert 2 <= f.store.turned_away <= 8
        f.store.rest = None
        f.store.put("keyed.op", "config", policy(2, f.origin.address))
        wait_for("it to be read again",
                 lambda: "in force version=2 " in f.log("g0"), 2.5)


# What cannot be read, or is longer than news may wait, is no reason to stay away.
@pytest.mark.parametrize("rest", ["3600", "soon"])
def test_no_rest_is_kept_for_long(rest):
    with Fleet(gateways=1, plain=1) as f:
        f.wait_ready()
        time.sleep(0.5)
        f.store.rest = rest
        time.sleep(1.0)
        f.store.rest = None
        f.store.put("keyed.op", "config", policy(2, f.origin.address))
        wait_for("it to be read again",
                 lambda: "in force version=2 " in f.log("g0"), 2.5)


def test_an_origin_gets_the_rest_that_it_asks_for():
    with Fleet(plain=0) as f:
        f.wait_ready()
        engine = f.add_engine("m0", "engines", MODEL, 1)
        f.start_sidecar(0, engine)
        wait_for("the sidecar", lambda: "gateway reached" in f.log("s0"))
        f.origin.rest = "1.5"
        f.store.put("keyed.op", "version/" + MODEL,
                    {"model": MODEL, "version": 2})
        wait_for("it to ask", lambda: f.origin.turned_away > 0, 4)
        time.sleep(LOOK_S)
        assert f.origin.turned_away <= 4
        f.origin.rest = None
        wait_for("all pieces", lambda: len(f.origin.answered) >= CHUNKS, 4)
