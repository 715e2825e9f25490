"""Engines that are cold after a start bear few requests a second, from all
gateways together."""
import threading
import time

from bench import wait_for
from fleet import Fleet, policy

PER_S = 4.0
COLD_S = 3.0
GATEWAYS = 4
CALLERS = 12
ALLOWED = PER_S * 1.5 + 5   # in any second


def most_in_a_second(times):
    return max((sum(t <= u < t + 1 for u in times) for t in times), default=0)


def test_cold_engine_gets_few_calls_from_all_gateways():
    """An engine that comes back cold is idle and would be every gateway's first
    choice. Together they must send no more than it bears, and more again once
    it is warm."""
    with Fleet(gateways=0, plain=0) as f:
        cold, warm = (f.add_engine(i, "ledger") for i in ("cold", "warm"))
        p = policy(2, f.origin.address)
        p["services"][0] |= {"cold-per-s": PER_S, "cold-start-s": COLD_S}
        f.store.put("keyed.op", "config", p)
        f.add_gateways(GATEWAYS)
        f.wait_ready()
        cold.slots = warm.slots = 8
        times, stop = [], threading.Event()

        def arrived(engine, conn, request):
            times.append(time.monotonic())
            time.sleep(0.02)
            return engine.work(conn, request)

        def calls(number):
            n = 0
            while not stop.is_set():
                n += 1
                f.call("/unsafe/x", f"c{number}-{n}", number % GATEWAYS)

        cold.behave = arrived
        f.store.put("keyed.servers", "cold", cold.record()
                    | {"cold-remaining-ms": COLD_S * 1000})
        start = time.monotonic()
        f.store.put("keyed.servers", "warm", warm.record())
        for i in range(GATEWAYS):
            wait_for("the cold engine to be known", lambda i=i:
                     "cold engine=cold for_ms=3000" in f.log(f"g{i}"), 2)
        threads = [threading.Thread(target=calls, args=(i,))
                   for i in range(CALLERS)]
        for t in threads:
            t.start()
        time.sleep(COLD_S + 2.5)
        stop.set()
        for t in threads:
            t.join()
        early = [t for t in times if t < start + COLD_S]
        assert early and most_in_a_second(early) <= ALLOWED
        late = [t for t in times if t > start + COLD_S + 1.5]
        assert most_in_a_second(late) > ALLOWED
