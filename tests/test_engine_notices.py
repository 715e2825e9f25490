"""Gateways respect what engines announce in response headers: shutdown, backoff
and rate limit.

Guards against gateways that ignore these headers and know engines only from the
store, from sidecars and from the results of calls. Such gateways sent 24 requests
in 4 s to an engine with a limit of 2.2 per second, sent calls to an engine 2.9 s
after the engine announced its shutdown during a store outage, and sent 19 requests
from one gateway within the 3 s of backoff that an engine had asked for.
"""
from engine_notices import Run


def check_kept(run, served=0.99):
    assert run.kept(), str(run)
    assert run.served >= served, str(run)


def test_a_rate_limit_holds_for_all_gateways_together():
    check_kept(Run(says="limit"))


def test_nothing_is_sent_to_an_engine_that_has_said_that_it_leaves():
    check_kept(Run(says="leaving", seconds=5.0))


def test_an_engine_that_asks_for_rest_is_left_alone():
    check_kept(Run(says="rest"))


def test_an_engine_that_turns_all_away_does_not_spend_the_retries_of_its_service():
    check_kept(Run(says="shed"))


def test_numbers_that_make_no_sense_slow_nobody():
    run = Run(says="odd", seconds=5.0)
    check_kept(run)
    assert 0 < run.logs.count("says what makes no sense") <= 3 * 5, str(run)


def test_a_limit_of_a_whole_service_is_kept_and_callers_are_told_at_once():
    run = Run(says="zero", all=True, seconds=8.0)
    assert run.kept(), str(run)
    # a caller that waits for capacity would take a quarter of the routes' objective
    assert run.refused_s < 0.05 and run.back_s > 0, str(run)


def test_limits_hold_while_gateways_are_killed_together():
    check_kept(Run(says="limit", course="kill_all"), served=0.95)


def test_limits_hold_for_engines_with_a_process_beside_them():
    check_kept(Run(says="changes", beside=True, gateways=3, seconds=13.0))
