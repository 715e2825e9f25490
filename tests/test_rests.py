"""The store and an origin that answer 503 with Retry-After."""
import time

import pytest

from bench import wait_for
from fleet import MODEL, Fleet, policy
from standin_platform import CHUNKS

OBSERVE_S = 4.0


# Guards against ignoring Retry-After: the store was then asked again after 0.2 s,
# and the origin after 0.15 s.
def test_store_is_not_asked_before_its_retry_after_ends():
    with Fleet(gateways=1, plain=1) as f:
        f.wait_ready()
        time.sleep(0.5)
        f.store.rest = "1.5"
        time.sleep(OBSERVE_S)
        # two followers: one call each when Retry-After begins, and one each 1.5 s
        assert 2 <= f.store.turned_away <= 8
        f.store.rest = None
        f.store.put("keyed.op", "config", policy(2, f.origin.address))
        wait_for("it to be read again",
                 lambda: "in force version=2 " in f.log("g0"), 2.5)


# Guards against waiting for a Retry-After that is unreadable, or longer than
# changes of the operator's records may be delayed.
@pytest.mark.parametrize("rest", ["3600", "soon"])
def test_long_or_unreadable_retry_after_does_not_delay_records(rest):
    with Fleet(gateways=1, plain=1) as f:
        f.wait_ready()
        time.sleep(0.5)
        f.store.rest = rest
        time.sleep(1.0)
        f.store.rest = None
        f.store.put("keyed.op", "config", policy(2, f.origin.address))
        wait_for("it to be read again",
                 lambda: "in force version=2 " in f.log("g0"), 2.5)


def test_origin_is_not_asked_before_its_retry_after_ends():
    with Fleet(plain=0) as f:
        f.wait_ready()
        engine = f.add_engine("m0", "engines", MODEL, 1)
        f.start_sidecar(0, engine)
        wait_for("the sidecar", lambda: "gateway reached" in f.log("s0"))
        f.origin.rest = "1.5"
        f.store.put("keyed.op", "version/" + MODEL,
                    {"model": MODEL, "version": 2})
        wait_for("it to ask", lambda: f.origin.turned_away > 0, 4)
        time.sleep(OBSERVE_S)
        assert f.origin.turned_away <= 4
        f.origin.rest = None
        wait_for("all pieces", lambda: len(f.origin.answered) >= CHUNKS, 4)
