"""Shows that the proofs can fail: switches one mechanism off at a time, in
a scratch copy, and runs the test that is to notice.

    mutants.py [NAME...]

Prints a line for each; exits 0 only if every test went red.
"""
import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")

# name, point of the brief, file, what stands there, what stands instead, test
MUTANTS = [
    ("unverified-chunks-are-kept", 1, "core/qr_fetch.c",
     "if (strcmp(c->hash, digest) != 0) {", "if (false) {", "fuzz_agent"),
    ("switches-while-calls-run", 1, "core/qr_agent_switch.c",
     "if (s->runs.count > 0) {", "if (false) {", "fuzz_agent"),
    ("switches-before-verify", 1, "core/qr_agent_switch.c",
     "if (f->loaded == f->n)\n        switch_order(s, QR_EFFECT_VERIFY, out)"
     "->data = g_bytes_ref(f->text);",
     "if (f->loaded == f->n)\n        s->stage = QR_STAGE_READY;",
     "fuzz_agent"),
    ("takes-calls-while-it-switches", 1, "core/qr_agent_calls.c",
     "(s->stage == QR_STAGE_DRAINING || s->stage == QR_STAGE_SWITCHING))",
     "false)", "fuzz_agent"),
    ("mixed-answer-passes-for-whole", 1, "core/qr_agent_calls.c",
     "g_strcmp0(ev->text, r->manifest) != 0) {", "false) {", "fuzz_agent"),
    ("orders-without-a-lease", 1, "core/qr_agent_switch.c",
     "if (s->set->checks_fence)\n        return true;", "return true;",
     "fuzz_agent"),
    ("old-registration-in-the-fence", 1, "core/qr_agent_switch.c",
     "m->registered, s->target_revision);",
     "(uint64_t)0, s->target_revision % 2);", "fuzz_agent"),
    ("any-attempt-is-the-open-one", 2, "core/qr_entry_calls.c",
     "if (c && c->backend == b && c->attempt == attempt)", "if (c)",
     "fuzz_entry"),
    ("cut-answer-passes-for-whole", 2, "core/qr_entry_calls.c",
     "if (!m->whole || m->length != c->received) {", "if (false) {",
     "fuzz_entry"),
    ("piece-out-of-place-is-taken", 2, "core/qr_entry_calls.c",
     "if (m->at != c->received) {", "if (false) {", "fuzz_entry"),
    ("cut-by-the-backend-is-whole", 2, "core/qr_agent_calls.c",
     "whole = ev->ok;", "whole = true;", "fuzz_agent"),
    ("not-run-though-in-doubt", 3, "core/qr_entry_calls.c",
     "if (c->in_doubt)\n        return false;", "", "fuzz_entry"),
    ("not-run-though-sent-before", 3, "core/qr_entry_calls.c",
     "return c->r->attempt == 1 || (c->r->repeatable && c->r->attempt == 0);",
     "return true;", "fuzz_entry"),
    ("doubt-is-forgotten", 3, "core/qr_entry_calls.c",
     "c->in_doubt = c->doubt_before;", "c->in_doubt = false;", "fuzz_entry"),
    ("retries-what-may-not-be", 4, "core/qr_entry_calls.c",
     "bool may = (c->r->repeatable || !c->in_doubt) && !c->streaming;",
     "bool may = !c->streaming;", "fuzz_entry"),
    ("no-ticket-needed", 4, "core/qr_entry_calls.c",
     "if (reason != QR_REASON_NONE)\n            return reason;\n    }\n"
     "    reason = qr_admit_look",
     "}\n    reason = qr_admit_look", "fuzz_entry"),
    ("any-home-will-do", 4, "core/qr_agent_calls.c",
     "if (!m->repeatable && !agent_is_home(s, m->home))", "if (false)",
     "fuzz_agent"),
    ("nothing-is-remembered", 4, "core/qr_agent_calls.c",
     "if (!m->repeatable)\n        e = g_hash_table_lookup(s->seen, "
     "m->call_id);", "", "fuzz_agent"),
    ("forgets-before-the-ticket-ends", 4, "core/qr_agent_calls.c",
     "e->expires_s < s->wall_s)", "true)", "fuzz_agent"),
    ("leaving-by-its-word-is-ignored", 5, "core/qr_entry.c",
     "!b->leaving && !b->listed_leaving &&", "!b->listed_leaving &&",
     "fuzz_entry"),
    ("leaving-by-the-list-is-ignored", 5, "core/qr_entry.c",
     "!b->leaving && !b->listed_leaving &&", "!b->leaving &&", "fuzz_entry"),
    ("the-list-is-forgotten-at-hello", 5, "core/qr_entry_peers.c",
     "b->listed_leaving = g_hash_table_contains(s->listed_leaving, b->host);",
     "b->listed_leaving = false;", "fuzz_entry"),
    ("unheard-agents-get-work", 5, "core/qr_entry.c",
     "s->now_ms - b->heard_ms < (uint64_t)s->set->lease_ms;", "true;",
     "fuzz_entry"),
    ("a-leaving-agent-takes-calls", 5, "core/qr_agent_calls.c",
     "if (qr_agent_leaving(s))\n        return QR_REASON_LEAVING;", "",
     "fuzz_agent"),
    ("entry-stops-at-once", 6, "core/qr_entry.c",
     "else if (s->calls.count > 0 ||", "else if (false &&", "fuzz_entry"),
    ("entry-stops-before-addresses-end", 6, "core/qr_entry.c",
     "since < (uint64_t)s->set->address_valid_ms * 5 / 4 ||", "false ||",
     "fuzz_entry"),
    ("agent-stops-at-once", 6, "core/qr_agent.c",
     "(s->runs.count > 0 ||", "(false &&", "fuzz_agent"),
    ("older-state-is-taken", 7,
     ("core/qr_entry_spread.c", "core/qr_entry_peers.c"),
     ("if (c->revision <= s->config->revision) {",
      "if (m->revision <= s->config->revision)"),
     ("if (false) {", "if (false)"), "fuzz_entry"),
    ("last-writer-wins", 7, "core/qr_config.c",
     "if (at > ch->base)", "if (false)", "fuzz_config"),
    ("a-retry-applies-twice", 7, "core/qr_config.c",
     "if (qr_config_applied(c, ch.id))\n        goto done;", "",
     "fuzz_config"),
    ("a-host-in-two-intents", 7, "core/qr_config.c",
     "if (sets)\n            change_check_hosts(c, ch, in, a);", "",
     "fuzz_config"),
    ("jumps-over-a-hole", 7, "core/qr_config.c",
     "if (c->revision + 1 < first && c->revision + 1 != offset)",
     "if (false)", "fuzz_config"),
    ("snapshot-forgets-removals", 7, "core/qr_config.c",
     "state_read_list(c, x.removed, \"removed\", state_read_removed, f);", "",
     "fuzz_config"),
    # gateways and sidecars
    ("reset-is-an-end", 2, "net/qr_client.c",
     "call && call->answered && qr_socket_closed_by_peer(&l->tcp) &&",
     "call && call->answered &&", "gateway::connection_reset_does_not_end_an_answer"),
    ("any-answer-is-ours", 2, "net/qr_client.c",
     "l->skipping = strcmp(id, call->id) != 0;", "l->skipping = false;",
     "gateway::surplus_answer_is_not_taken_for_the_next_call"),
    ("early-answer-keeps-connection", 2, "net/qr_client.c",
     "if (uv_stream_get_write_queue_size((uv_stream_t *)&l->tcp) > 0)",
     "if (false)", "gateway::connection_is_not_reused_after_an_early_answer"),
    ("partial-events-passed", 2, "gateway/qr_sse.c",
     "g_string_erase(s->partial, 0, (gssize)at);",
     "g_string_append(out, s->partial->str + at);"
     " g_string_truncate(s->partial, 0);", "unit"),
    ("soak-partial-events-passed", 2, "gateway/qr_sse.c",
     "g_string_erase(s->partial, 0, (gssize)at);",
     "g_string_append(out, s->partial->str + at);"
     " g_string_truncate(s->partial, 0);",
     "soak::whatever_happens"),
    ("broken-stream-ends-in-order", 2, "gateway/qr_relay_end.c",
     "    qr_exchange_abort(x);", "    qr_exchange_end(x);",
     "gateway::stream_that_cannot_resume_ends_with_an_error"),
    ("refused-though-it-may-have-run", 3, "gateway/qr_attempt.c",
     "return may_have_run ? QR_STEP_FAIL : QR_STEP_REFUSE;",
     "return QR_STEP_REFUSE;", "unit"),
    ("soak-refused-though-it-ran", 3, "gateway/qr_attempt.c",
     "return may_have_run ? QR_STEP_FAIL : QR_STEP_REFUSE;",
     "return QR_STEP_REFUSE;",
     "soak::whatever_happens"),
    ("an-engines-503-is-passed-on", 3, "gateway/qr_relay_answer.c",
     "r->failure_hidden = status == 503 || status == 429 || "
     "status == 408;",
     "r->failure_hidden = false;", "gateway::503_without_not_executed_header_is_not_passed_on"),
    ("unsafe-sent-again", 4, "gateway/qr_attempt.c",
     "if (facts->runs > 0 && !facts->repeatable)", "if (false)", "unit"),
    ("soak-unsafe-sent-again", 4, "gateway/qr_attempt.c",
     "if (facts->runs > 0 && !facts->repeatable)",
     "if (false)",
     "soak::whatever_happens"),
    ("draining-engine-chosen", 5, "gateway/qr_balance.c",
     "return !e->gone && !e->superseded && !e->unreadable &&\n"
     "           !qr_engine_is_leaving(e);", "return !e->gone;",
     "unit"),
    ("soak-draining-engine-chosen", 5, "gateway/qr_balance.c",
     "return !e->gone && !e->superseded && !e->unreadable &&\n"
     "           !qr_engine_is_leaving(e);", "return !e->gone;",
     "soak::whatever_happens"),
    ("stop-forgets-calls", 6, "gateway/qr_gateway.c",
     "if (g->relays->len == 0 && qr_server_close_idle(g->callers) == 0)",
     "if (true)", "gateway::sigterm_does_not_abort_calls_in_progress"),
    ("soak-stop-forgets-calls", 6, "gateway/qr_gateway.c",
     "if (g->relays->len == 0 && qr_server_close_idle(g->callers) == 0)",
     "if (true)",
     "soak::whatever_happens"),
    ("stop-closes-at-once", 6, "gateway/qr_gateway.c",
     "g->stopping_ms = MAX(qr_gateway_now(g), 1);", "gateway_stop_now(g);",
     "gateway::sigterm_does_not_abort_calls_in_progress"),
    ("older-configuration-taken", 7, "fleet/qr_operator.c",
     "if (o->policy && p->version <= o->policy->version) {", "if (false) {",
     "gateway::older_configuration_is_not_applied"),
    ("soak-first-configuration-stays", 7, "fleet/qr_operator.c",
     "if (o->policy && p->version <= o->policy->version) {",
     "if (o->policy) {",
     "soak::whatever_happens"),
    ("news-of-peers-is-no-news", 7, "fleet/qr_operator.c",
     "applied += qr_operator_apply(o, &r, received->age_ms, now_ms);", "applied += 0;",
     "unit"),
    ("newest-version-moves-the-bound", 7, "fleet/qr_operator.c",
     "for (unsigned i = 0; list && i < list->len; i++) {\n"
     "        const QRNamedVersion *v",
     "for (unsigned i = list ? list->len - 1 : 0; list && i < list->len; i++)"
     " {\n        const QRNamedVersion *v", "unit"),
    ("all-that-is-read-is-new", 7, "fleet/qr_follower.c",
     "f->now_ms <= f->caught_up_ms + SUSPENDED_MIN_MS;", "true;",
     "versions_age::records_found_after_paused_reads_are_not_new"),
    ("standing-still-is-not-noticed", 7, "fleet/qr_follower.c",
     "return f->suspended_ms > 0 ? f->suspended_ms : f->now_ms;", "return f->now_ms;",
     "versions_age::suspension"),
    ("told-while-we-stood-still", 7, "gateway/qr_gateway_catchup.c",
     "uint64_t transit_ms = now - qr_gateway_earliest_send_ms(g);",
     "uint64_t transit_ms = 0;",
     "versions_age::record_received_after_suspension_includes_waiting_time"),
    ("own-outage-though-others-read", 7, "gateway/qr_gateway_share.c",
     "g->others_answered_ms <= out.last_ms;", "false;",
     "versions_age::outage_of_one_gateway_is_not_a_store_outage"),
    ("own-outage-though-alone", 7, "gateway/qr_gateway_share.c",
     "!answered_others && g->isolated_ms <= out.first_ms;",
     "!answered_others;", "versions_age::outage_of_one_gateway_is_not_a_store_outage"),
    ("bounds-run-in-an-outage", 7, "gateway/qr_gateway_store.c",
     "if (out.first_ms > current && qr_gateway_store_was_away(g))",
     "if (false)", "versions_age::outage_of_all_gateways_is_a_store_outage"),
    ("word-of-a-reader-is-lost", 7, "gateway/qr_gateway_share.c",
     "load->operator_age_ms > 0 && sent", "false && sent",
     "versions_age::records_found_after_paused_reads_are_not_new"),
    ("bad-piece-kept", 1, "sidecar/qr_pieces.c",
     "return strcmp(digest, t->manifest->digests->pdata[index]) == 0;",
     "return true;", "sidecar::corrupt_pieces_are_fetched_again"),
    ("staged-pieces-not-read-again", 1, "sidecar/qr_stage.c",
     "if (now_ms <= p->verified_ms + VERIFY_VALID_MS)", "if (true)",
     "sidecar::staged_piece_that_becomes_corrupt_is_staged_again"),
    ("dead-sidecars-own-pieces", 1, "sidecar/qr_sources.c",
     "if (!root || role == QR_PIECE_ROLE_ROOT || "
     "is_exhausted(plan, tried))",
     "if (!root || role == QR_PIECE_ROLE_ROOT)", "unit"),
    ("all-draw-from-the-origin", 1, "sidecar/qr_sources.c",
     "plan->roots = MIN(MAX(roots, 1), staying ? staying : members->len);",
     "plan->roots = staying ? staying : members->len;", "unit"),
    ("first-holder-sends-to-all", 1, "sidecar/qr_sources.c",
     "plan->local_holders->len * HOLDERS_FRACTION >= "
     "plan->local->len)",
     "plan->local_holders->len > 0)", "unit"),
    ("resting-connections-stay", 1, "sidecar/qr_pieces.c",
     "s->origin_used_ms == 0 || now_ms", "true || now_ms",
     "sidecar::few_connections"),
    ("any-number-of-pieces-on-their-way", 1, "sidecar/qr_uploads.c",
     "if (s->unconfirmed_uploads->len >= UPLOADS_IN_FLIGHT_MAX)", "if (false)",
     "sidecar::unconfirmed_pieces_are_limited"),
    ("slow-link-goes-on-sending", 1, "sidecar/qr_uploads.c",
     "if (p && p->data && s->reported_slow_link) {", "if (false) {",
     "sidecar::slow_link"),
    ("not-heard-is-well", 7, "gateway/qr_balance.c",
     "if (version < in->min_version_soon && is_sidecar_silent(e, "
     "in->now_ms))",
     "if (false)", "unit"),
    ("soak-versions-do-not-count", 7, ("gateway/qr_balance.c",) * 2,
     ("if (e->unconfirmed || version == 0 || version < "
     "in->min_version)",
      "if (version < in->min_version_soon && is_sidecar_silent(e, "
     "in->now_ms))"),
     ("if (e->unconfirmed || version == 0)", "if (false)"),
     "soak::whatever_happens"),
    ("sidecars-are-told-all", 7, "gateway/qr_gateway_peers.c",
     "if (!concerns_sidecars(g, r))", "if (false)",
     "members::sidecars_get_only_records_they_use"),
    ("old-connection-is-kept", 6, "gateway/qr_gateway_peers.c",
     "if (is_restarted && !qr_peer_dialled(peer) &&", "if (false &&",
     "members::gateway_is_redialled_after_power_loss"),
    ("left-out-goes-on-resting", 5, "gateway/qr_gateway_share.c",
     "(lacks_engine_changes(g, now_ms) ||\n"
     "                                  "
     "qr_gateway_catch_up_is_overdue(g, now_ms))",
     "false",
     "members::change_that_no_peer_sends_is_read_from_store"),
    ("all-read-engines", 5, "gateway/qr_gateway_share.c",
     "if (others_read_for_us(g, now_ms)) {", "if (false) {",
     "members::two_gateways"),
    ("who-knows-less-is-asked", 5, "gateway/qr_gateway_changes.c",
     "qr_position_cmp(m->engines_since, qr_position_after(known)) <= 0;",
     "true;",
     "members::two_gateways"),
    ("the-next-is-asked-at-once", 7, "gateway/qr_gateway_catchup.c",
     "now_ms < g->operator_fetch_ms + FETCH_RETRY_MS)", "false)",
     "members::missing_records_are_requested_from_one_peer"),
    ("all-ask-other-regions", 7, "gateway/qr_gateway_catchup.c",
     "now_ms >= due + remote_fetch_delay_ms(g, now_ms))", "now_ms >= due)",
     "members::one_gateway_of_a_region_asks_other_regions"),
    ("all-read-the-operators-records", 7, "gateway/qr_gateway_share.c",
     "qr_follower_pause(g->follow_operator, !reads);", "",
     "region_links::about_once"),
    ("read-that-progresses-is-given-up", 7, "fleet/qr_follower.c",
     "r.pause_ms = BODY_GAP_MAX_MS;", "r.pause_ms = 0;",
     "region_links::about_once"),
    ("waiting-read-goes-on", 7, "fleet/qr_follower.c",
     "if (paused && f->request && f->wait_ms > 0 &&", "if (false &&",
     "region_links::about_once"),
    ("what-peers-told-is-read-again", 7, "gateway/qr_gateway_catchup.c",
     "qr_follower_skip_to(g->follow_operator, end);", "(void)0;",
     "region_links::is_not_read_again"),
    ("overtaken-listing-counts", 7, "fleet/qr_follower.c",
     "if (f->request && f->listing)\n"
     "        cancel_request(f);", "",
     "members::outdated_listing_is_discarded"),
    ("half-a-listing-counts", 7, "fleet/qr_follower.c",
     "    if (page->more && f->listed_records->len > 0) {",
     "    if (page->more && f->listed_records->len > 0) {\n"
     "        deliver_records(f, f->listed_records);", "members::partial_listing_is_not_announced"),
    ("sidecars-are-told-routes", 7, "fleet/qr_operator.c",
     "value = o->policy->for_sidecars;", "value = known_record->record->value;",
     "region_links::a_joining_sidecar_is_not_sent_routes"),
    ("sidecars-read-the-store", 7, "sidecar/qr_sidecar.c",
     "reads = now >= s->followed_until_ms + GATEWAY_ABSENT_MS;",
     "reads = !s->followed_gateway || !s->operator.policy;",
     "region_links::a_joining_sidecar_is_not_sent_routes"),
    ("sidecars-read-for-ignorant-gateways", 7, "sidecar/qr_sidecar.c",
     "    if (s->followed_gateway)\n"
     "        s->followed_until_ms",
     "    if (s->followed_gateway && s->operator.policy)\n"
     "        s->followed_until_ms",
     "region_links::sidecars_do_not_read_the_store_when_their_gateway_has_no_records"),
    ("a-failing-reader-asks-nobody", 5,
     ("gateway/qr_gateway_share.c", "gateway/qr_gateway_share.c"),
     ("if (qr_share_own_reads_are_fresh(g, now_ms))\n"
      "        return;",
      "if (!qr_share_own_reads_are_fresh(g, now))"),
     ("if (!g->store_reads_paused)\n"
      "        return;", "if (g->store_reads_paused)"),
     "members::gateway_without_store_requests_changes_from_readers"),
    ("older-records-replace-newer-ones", 5, "gateway/qr_gateway_store.c",
     "qr_gateway_engine_record_is_outdated(g, r->key, r->position,\n"
     "                                             "
     "record->draining) ||",
     "false ||",
     "members::gateway_without_store_requests_changes_from_readers"),
    ("gateways-are-told-of-sidecars", 6, "gateway/qr_gateway_discover.c",
     "qr_members_of(&g->members, QR_ROLE_GATEWAY, NULL);\n    g_autofree",
     "qr_members_of(&g->members, QR_ROLE_SIDECAR, NULL);\n    g_autofree",
     "members::gateways_only"),
    ("gateways-are-told-unasked", 6, "gateway/qr_gateway_peers.c",
     "        if (is_sidecar(qr_peer_data(peer)))\n"
     "            send_initial_state",
     "        send_initial_state", "members::gateways_only"),
    ("one-is-asked-again-for-the-same", 6, "gateway/qr_gateway_discover.c",
     "member->gateways_asked = member->gateways;", "",
     "members::gateway_list_is_requested_from_peers_that_know_more"),
    ("lapsed-is-gone", 5, "gateway/qr_gateway_store.c",
     "if (!may_have_lapsed(g)) {", "if (true) {", "gateway::lapsed"),
    ("back-at-once-whatever-the-cause", 4, "gateway/qr_relay_end.c",
     "return none_serves\n", "return false\n", "gateway::retry_after_depends_on_the_cause"),
    ("old-records-are-trusted", 5, "gateway/qr_balance.c",
     "if (e->unconfirmed || version == 0", "if (version == 0", "unit"),
    ("not-the-one-is-tried-as-soon", 4, "fleet/qr_engines.c",
     "(MISDIRECTED_PAUSE_MS << e->misdirected)", "MISDIRECTED_PAUSE_MS", "unit"),
    ("who-leaves-is-a-relay", 1, "sidecar/qr_sources.c",
     "plan->relays = staying_local;", "plan->relays = 0;", "unit"),
    ("gone-source-is-waited-for", 1, "sidecar/qr_pieces.c",
     "if (p->asked && !p->pending)", "if (p->asked)",
     "sidecar::wait_for_departed_source_ends"),
    ("holder-waits-for-what-it-lacks", 1, "sidecar/qr_uploads.c",
     "if (is_missing(w.target, w.index)) {", "if (false) {",
     "sidecar::empty_engine_among"),
    ("one-unread-upload-holds-all", 1, "sidecar/qr_uploads.c",
     "        if (has_in_flight(s, w->peer))\n"
     "            continue;",
     "        if (has_in_flight(s, w->peer))\n"
     "            return NULL;",
     "sidecar::does_not_read"),
    ("hearsay-replaces-members", 6, "gateway/qr_gateway_peers.c",
     "strcmp(hello->name, g->set->host) == 0 ||\n"
     "            qr_members_get(&g->members, hello->name))",
     "strcmp(hello->name, g->set->host) == 0)", "members::restarted_gateway_is_announced_once"),
    ("older-version-is-dropped", 1, "sidecar/qr_weights.c",
     "older->version >= due)\n            return;",
     "older->version >= due)\n            (void)0;",
     "sidecar::version_continues_when_next_is_named"),
    ("unheard-versions-are-absent", 1, "sidecar/qr_uploads.c",
     "if (is_unknown_version(s, want)) {", "if (false) {", "sidecar::request_for_unknown_version_is_pending"),
    ("retry-budget-does-not-slide", 4, "gateway/qr_budget.c",
     "if (b->slices[i].slice + QR_BUDGET_SLICES < newest)", "if (false)",
     "unit"),
    ("budget-looks-back-on-less-than-a-window", 4, "gateway/qr_budget.c",
     "if (b->slices[i].slice + QR_BUDGET_SLICES < newest)",
     "if (b->slices[i].slice + QR_BUDGET_SLICES <= newest)", "unit"),
    ("all-of-the-allowance-in-each-window", 4, "gateway/qr_budget.c",
     "#define ALLOWANCE_FRACTION 0.4", "#define ALLOWANCE_FRACTION 0.9", "unit"),
    ("all-of-the-ratio-in-each-window", 4, "gateway/qr_budget.c",
     "#define RATIO_FRACTION 0.5", "#define RATIO_FRACTION 1.0", "unit"),
    ("a-new-run-has-spent-nothing", 4, "gateway/qr_budget.c",
     "fleet->age_ms < b->window_ms\n"
     "                          ?", "false ?", "unit"),
    ("who-knows-nobody-is-alone", 4, "gateway/qr_gateway_heartbeat.c",
     "if (has_other_seeds(g) &&", "if (false &&",
     "gateway::gateway_without_peers_does_not_spend_the_retry_budget"),
    ("soak-retry-budget-is-not-kept", 4, "gateway/qr_budget.c",
     "if (retries > b->ratio * RATIO_FRACTION * calls + "
     "allowance_share)",
     "if (false)",
     "soak::whatever_happens"),
    ("bounds-run-while-the-store-is-away", 7,
     "gateway/qr_gateway_store.c",
     "return (RecordAge){0, \"outage of the store\"};",
     "return (RecordAge){gap, \"store was away\"};", "gateway::version_deadline_is_paused_while_the_store_is_away"),
    ("ages-are-asked-of-nobody", 7, "gateway/qr_gateway_catchup.c",
     "if (g->ages_due_ms == 0 || now_ms < g->ages_due_ms)", "if (true)",
     "members::new_gateway_requests_age_of_versions"),
    ("first-age-counts", 7, "fleet/qr_operator.c",
     "(cmp == 0 && other->since_ms > known_since_ms)", "cmp == 0", "unit"),
    ("versions-not-begun-are-drawn", 1, "sidecar/qr_weights.c",
     "if (t->held_pieces == 0 && !qr_sidecar_serves(s, t->version))", "if (false)",
     "sidecar::unstarted_version_is_skipped"),
    ("a-rest-is-saved-up", 1, "sidecar/qr_upload_limiter.c",
     "MIN(l->bytes + rate * elapsed, rate * saved_ms)",
     "l->bytes + rate * elapsed * (saved_ms + 1)", "unit"),
    ("roots-are-given-up-with-the-origin", 1, "sidecar/qr_progress.c",
     "return !is_stalled(p, now_ms) &&", "return", "unit"),
    ("calls-wait-inside-engines", 5, "gateway/qr_balance.c",
     "if (f->open >= f->slots)", "if (f->open > f->slots)", "unit"),
    ("late-calls-go-anywhere", 5, "gateway/qr_balance.c",
     "if (in->spare_only && !has_spare_capacity(f, in))", "if (false)", "unit"),
    ("late-calls-go-first", 5, ("gateway/qr_relay_send.c",) * 2,
     ("    dispatch_queue(&s->waiting);\n"
     "    dispatch_queue(&s->late_waiting);",
      "    if (r->late &&\n"),
     ("    dispatch_queue(&s->late_waiting);\n"
     "    dispatch_queue(&s->waiting);",
      "    if (false &&\n"), "gateway::retries_are_served_after_new_callers"),
    ("few-say-what-is-usual", 5, "gateway/qr_deadlines.c",
     "if (d->counts[i] >= largest * FIRST_TRY_SHARE &&",
     "if (d->counts[i] > 0 &&", "unit"),
    ("all-choose-the-one-that-seems-best", 5, "gateway/qr_balance.c",
     "#define ZONE_SAMPLES 2", "#define ZONE_SAMPLES 64", "unit"),
    ("a-mute-peer-is-not-doubted", 7, "net/qr_peer_dial.c",
     "} else if (!t->standby && now_ms >= t->next_standby_ms) {",
     "} else if (false) {", "silence::load_is_received_again_on_a_new_connection"),
    ("the-second-connection-counts-at-once", 7, "net/qr_peer_dial.c",
     "if (qr_peer_silent_ms(silent) <\n"
     "        silence_limits[liveness_of(silent)].suspect_ms) {", "if (false) {",
     "silence::a_peer_that_was_stopped_keeps_its_connection"),
    ("what-was-told-counts-for-good", 7,
     "gateway/qr_gateway_heartbeat.c",
     "if (m->load_reported_ms == 0 ||\n"
     "            sent_ms <= m->load_reported_ms + LOAD_VALID_MS)",
     "if (true)", "silence::load_that_is_no_longer_sent_expires"),
    ("who-has-nobody-to-ask-rests-on", 7, "gateway/qr_gateway_share.c",
     "qr_gateway_catch_up_is_overdue(g, now_ms)", "false", "silence::a_gateway_behind_with_no_peer_to_ask_reads_the_store"),
    ("kept-connections-are-trusted", 4, "net/qr_client_silence.c",
     "        qr_link_close(l);\n        closed++;", "        closed++;",
     "silence::kept_connections"),
    ("a-dead-call-keeps-its-place", 4, "gateway/qr_relay.c",
     "        qr_attempt_uncount_open(r, a);\n"
     "}", "        ;\n}",
     "silence::all_stop"),
    ("a-verdict-is-final", 4, "net/qr_client_silence.c",
     "    if (l->call)\n"
     "        l->call->unresponsive = false;", "",
     "silence::streams_that_pause_and_continue_are_not_cut"),
    ("a-place-is-given-away-for-good", 4, "gateway/qr_relay_attempt.c",
     "    if (e && !a->counted_open) {\n"
     "        e->own++;",
     "    if (e && a->mode == ANSWER_NONE && !r->answer_started) {\n"
     "        e->own++;", "silence::streams_that_pause_and_continue_are_not_cut"),
    ("a-mute-call-is-not-cut-before-a-bound", 7, "gateway/qr_relay_attempt.c",
     "    if (e && e->own > 0 && a->counted_open) {\n"
     "        e->own--;",
     "    qr_attempt_mark_read(r, a);\n"
     "    if (e && e->own > 0 && a->counted_open) {\n"
     "        e->own--;", "silence::cut_before"),
    ("engines-are-blamed-for-silence", 4, "gateway/qr_relay_end.c",
     "if (outcome == QR_OUTCOME_FAILURE && r->current.call &&\n"
     "        qr_client_is_unresponsive(r->current.call))", "if (false)",
     "silence::all_stop"),
    ("an-engine-is-given-up-first", 4, "gateway/qr_relay.c",
     "    qr_relay_keep_stalled(r);\n"
     "    relay_retry(r, &c, \"stalled\");",
     "    qr_client_cancel(r->now.call);\n"
     "    qr_relay_end_attempt(r);\n"
     "    relay_retry(r, &c, \"stalled\");", "lost::stalled_engine_resumes_if_no_other_takes_the_remainder"),
    ("both-are-kept-at-work", 4, "gateway/qr_relay_answer.c",
     "    if (out->len > 0) {\n"
     "        qr_relay_drop_stalled(r);",
     "    if (out->len > 0) {", "lost::once_the_other"),
    ("what-came-of-an-event-is-dropped", 2, "gateway/qr_sse.c",
     "    g_string_free(s->partial, TRUE);\n    s->partial = partial;",
     "    g_string_free(partial, TRUE);", "lost::partial_event_of_a_stalled_engine_is_kept"),
    ("a-rest-is-not-waited-for", 4, "gateway/qr_attempt.c",
     "? QR_STEP_WAIT", "? QR_STEP_CUT", "lost::remainder_of_a_stream_waits_for_room"),
    ("a-rest-is-waited-for-to-the-end", 4, "gateway/qr_relay.c",
     "#define REMAINDER_WAIT_DIVISOR 2", "#define REMAINDER_WAIT_DIVISOR 1",
     "lost::stream_without_an_engine_is_cut_while_its_caller_can_retry"),
    ("judges-before-it-reads", 4, "gateway/qr_gateway.c",
     "    if (gateway_was_suspended(g, now))\n"
     "        return;",
     "    (void)gateway_was_suspended(g, now);", "lost::suspended_gateway_reads_before_it_detects_stalls"),
    ("who-reads-slowly-is-cut", 2, "net/qr_server.c",
     "    return unsent > 0;\n}", "    return false;\n}",
     "lost::slow_reader"),
    ("a-lowered-limit-cuts-who-rests", 2, "net/qr_server.c",
     "MAX(c->idle_limit_ms, l->idle_timeout_ms)", "l->idle_timeout_ms",
     "lost::idle_connection_stays_open_as_long_as_its_caller_was_told"),
    ("an-event-out-of-order-moves-on", 2, "gateway/qr_sse.c",
     "due is still last_number + 1 */\n        return;",
     "due is still last_number + 1 */", "unit"),
    ("a-replaced-connection-stays", 7, "gateway/qr_gateway_peers.c",
     "    if (qr_peer_data(peer))\n        qr_peer_close_older(peer);", "",
     "silence::a_connection_replaced_by_its_dialler_is_closed_by_both_sides"),
    ("the-change-behind-a-listing-is-seen", 6,
     "gateway/qr_gateway_store.c", "qr_position_before(next)", "next",
     "members::unseen"),
    ("requests-are-not-known-again", 4, "gateway/qr_relay_suspect.c",
     "return qr_requests_check(r->g, &r->fingerprint);",
     "return QR_SUSPICION_NONE;", "crashing_request::hold_survives_kill_of_all_gateways"),
    ("ends-are-not-told", 7, "gateway/qr_requests.c",
     "    qr_requests_broadcast(g, messages);\n"
     "    drop_run", "    drop_run",
     "crashing_request::three_gateways"),
    ("what-is-held-is-not-stored", 7, "gateway/qr_requests_store.c",
     "if (due && !q->write", "if (false && due && !q->write",
     "crashing_request::held_request_is_listed_and_stored"),
    ("tries-are-not-stored", 7, "gateway/qr_requests_store.c",
     "s->write_due_ms == 0 &&\n"
     "            record_level(s) == MIN_STORED_TRIES)",
     "s->write_due_ms == 0 && false)", "crashing_request::tries_count_across_kill_of_all_gateways"),
    ("any-break-is-an-end", 4, "gateway/qr_requests.c",
     "if (reached == QR_CLIENT_PROBE_REFUSED) {", "if (true) {",
     "crashing_request::broken_connection"),
    ("tries-do-not-wait", 4, "gateway/qr_relay_suspect.c",
     "    return qr_requests_check(r->g, &r->fingerprint);",
     "    return qr_requests_check(r->g, &r->fingerprint) == "
     "QR_SUSPICION_HELD\n"
     "               ? QR_SUSPICION_HELD : QR_SUSPICION_TRIAL;",
     "crashing_request::one_trial_at_a_time_until_answered"),
    ("ends-together-count-apart", 4, "gateway/qr_run_ends.c",
     "next->ended_ms >= last->ended_ms + QR_MIN_TRY_GAP_MS &&", "",
     "unit"),
    ("an-answer-clears-nothing", 4, "gateway/qr_suspects.c",
     "    s->answered_ms = at_ms;", "    return false;", "unit"),
    ("a-late-answer-frees", 4, "gateway/qr_suspects.c",
     "    if (s->ends.count > 0)\n        return was_suspect;\n",
     "    if (false)\n        return was_suspect;\n", "unit"),
    ("either-is-held", 4, "gateway/qr_suspects.c",
     "tries < TRIES_TO_HOLD_TIED &&\n"
     "         is_tied(t, s, tries_in_row, n)", "false", "unit"),
    ("an-end-is-not-explained", 4, "gateway/qr_suspects.c",
     "    s->hold_unreported = true;\n"
     "    remove_explained_ends(t, s);",
     "    s->hold_unreported = true;", "unit"),
    ("a-later-run-is-the-same", 4, "gateway/qr_run_ends.c",
     "a->born_ms == b->born_ms &&", "true &&", "unit"),
    ("any-state-is-ready", 6, "../platform/entries.c",
     'if (!state || strcmp(state, "ready") == 0)',
     'if (!state || strcmp(state, "draining") != 0)',
     "odd_entries::no_call"),
    ("an-odd-record-is-passed-over", 6, "gateway/qr_balance.c",
     "!e->unreadable &&\n           ", "", "odd_entries::not_used"),
    ("limits-may-not-be-fractions", 6, "fleet/qr_fleet_settings.c",
     "WHOLE(name, QR_FIELD_LIMIT,", "WHOLE(name, QR_FIELD_INT,",
     "settings::fractions"),
    ("the-directory-names-the-same", 5, "gateway/qr_gateway_front.c",
     "k = i + (unsigned)(g->random % (list->len - i));", "k = i;",
     "start::directory_answers_vary"),
    ("nobody-dials-beside", 6, "net/qr_peer_dial.c",
     "if (!is_disconnected(p, now_ms) ||", "if (true ||",
     "start::seed_that_starts_last_is_connected_soon"),
    ("a-few-send-twice", 1, "sidecar/qr_sources.c",
     "if (left == 0 || index == QR_MANIFEST_INDEX ||", "if (true ||", "unit"),
    ("asked-by-own-order-only", 1, "sidecar/qr_sources.c",
     "(role == QR_PIECE_ROLE_RELAY && !is_group_relay(plan, index))", "false", "unit"),
    ("all-list-at-a-start", 5, "gateway/qr_gateway.c",
     "g->store_reads_paused = true;\n", "g->store_reads_paused = false;\n",
     "start::new_gateway_gets_records_from_peers"),
    ("nobody-tells-all-engines", 5, "gateway/qr_gateway_changes.c",
     "return !qr_position_is_none(m->engines_since) &&", "return false &&",
     "start::new_gateway_without_store_gets_records_from_peers"),
    ("a-failing-reader-goes-on", 5, "gateway/qr_gateway_share.c",
     "bool all = !qr_share_own_reads_are_fresh(g, now_ms);", "bool all = false;",
     "start::reader_without_store_stops_once_others_read"),
    ("earlier-records-count", 5, "fleet/qr_engines.c",
     "earlier->superseded = true;", "", "start::later_of_two_records_at_an_address_is_used"),
    ("early-calls-are-refused", 4, "gateway/qr_startup_calls.c",
     "if (!qr_gateway_is_starting(g) ||", "if (true ||",
     "start::early_call_waits_for_first_configuration"),
    ("bounds-run-on-where-nobody-reads", 7, "gateway/qr_gateway_share.c",
     "if (is_store_away(g, now_ms)) {", "if (false) {",
     "versions_age::bound_restarts_after_store_outage"),
    ("suspensions-do-not-count", 7, "net/qr_clock.c",
     "return now + suspended;", "return now;", "unit"),
    ("slots-are-granted-beyond-all", 5, "fleet/qr_slots.c",
     "(load.open >= call->max_open ||", "(false ||", "unit"),
    ("returned-callers-do-not-yield", 5, "fleet/qr_slots.c",
     "return call->is_caller_retry && s->shortage_ms > 0 &&",
     "return false && s->shortage_ms > 0 &&", "unit"),
    ("slots-of-the-dead-are-held", 5, "fleet/qr_slots.c",
     "if (now_ms > h->reported_ms + LOAD_LEASE_MS ||\n"
     "            g_str_equal(key, gateway))",
     "if (g_str_equal(key, gateway))", "unit"),
    ("what-waits-to-be-read-is-no-matter", 5, "fleet/qr_slots.c",
     "load.reading > call->max_reading)) {", "false)) {", "unit"),
    ("nobody-keeps-plain-slots", 5, "gateway/qr_gateway_slots.c",
     "if (changed || e->slots.coordinator_kind == "
     "QR_COORDINATOR_NONE)", "if (false)",
     "slots::calls_find_free_slots"),
    ("keeper-deals-out-no-rate", 6, "fleet/qr_slots.c",
     "if (s->limit.is_set && !qr_rate_take(&s->rate, now_ms)) {",
     "if (false) {", "unit"),
    ("bucket-begins-full", 6, "fleet/qr_rate.c",
     "double level = r->level_ms ? level_at(r, now_ms) : 0;",
     "double level = r->level_ms ? level_at(r, now_ms) : 6;", "unit"),
    ("limit-of-nought-is-never-asked", 6, "fleet/qr_rate.c",
     "r->per_s = MAX(per_s, MIN_RATE_PER_S);", "r->per_s = MAX(per_s, 1e-9);",
     "unit"),
    ("older-answers-end-limits", 6, "fleet/qr_notices.c",
     "answer->has_limit ? now_ms : sent_ms};",
     "answer->has_limit || sent_ms ? now_ms : 0};", "unit"),
    ("any-answer-ends-limits", 6, "../platform/answers.c",
     "!qr_headers_get(headers, FIELD_LIMIT) &&\n"
     "                           is_engine_success(status, headers);",
     "!qr_headers_get(headers, FIELD_LIMIT);", "unit"),
    ("limits-need-no-keeper", 6, "gateway/qr_balance.c",
     "return !qr_engine_limit(e)->is_set ||", "return true ||", "unit"),
    ("leaving-ends-with-the-record", 6, "fleet/qr_engines.c",
     "(e->notices.leaving &&\n"
     "                          now_ms < e->record_changed_ms + "
     "LEAVING_RETENTION_MS);", "false;",
     "unit"),
    ("leaving-in-answers-is-not-heeded", 6, "fleet/qr_engines.c",
     "return e->record->draining || e->notices.leaving;",
     "return e->record->draining;",
     "engine_notices::nothing_is_sent_to_an_engine"),
    ("rests-are-not-heeded", 6, "gateway/qr_balance.c",
     "return can_serve(e, in) &&\n"
     "           qr_notices_backoff_ms(&e->notices, in->now_ms) "
     "== 0;", "return can_serve(e, in);", "unit"),
    ("turned-away-as-any-other", 6, "fleet/qr_engines.c",
     "return qr_engine_deprioritized_ms(e, now_ms) > 0 ||\n"
     "           now_ms < e->slots.others_backoff_until_ms;", "return false;",
     "engine_notices::turns_all_away"),
    ("told-what-went-before-our-listing", 6, "gateway/qr_gateway_changes.c",
     "if (!e && qr_position_cmp(r.position, g->own_listing_end) < 0)",
     "if (false)",
     "members::engine_removed_before_listing_is_not_added_by_peer"),
    ("epochs-are-not-compared", 7, "fleet/qr_position.h",
     "if (a.epoch != b.epoch)", "if (false)", "unit"),
    ("a-later-epoch-is-not-noticed", 7, "fleet/qr_follower.c",
     "bool is_restored = is_known && epoch > f->next.epoch;",
     "bool is_restored = false;",
     "store_goes_back::leaving_after_rollback and as_many"),
    ("an-earlier-epoch-is-taken", 7, "fleet/qr_follower.c",
     "if (epoch < f->next.epoch) {", "if (false) {",
     "store_goes_back::earlier_epoch"),
    ("records-go-by-their-place-only", 7, "fleet/qr_operator.c",
     "return a->policy > b->policy || a->weights > b->weights;",
     "return a->offset > b->offset;", "unit"),
    ("the-copy-brings-back-who-left", 5, "gateway/qr_gateway_changes.c",
     "        return c->leaves;\n", "        return false;\n",
     "store_goes_back::left_before"),
    ("nobody-asks-once-it-has-settled", 5, "gateway/qr_gateway_changes.c",
     "    fetch_settled_epoch(g, now_ms);\n", "",
     "store_goes_back::engine_in_restored_store_is_used_after_settling"),
    ("held-requests-are-not-stored-again", 4, "gateway/qr_gateway_epoch.c",
     "qr_requests_rewrite_lost(g, epoch);", "",
     "store_goes_back::stored_again"),
    ("listed-again-without-a-pause", 7,
     ("fleet/qr_follower.c", "fleet/qr_follower.c"),
     ("f->next = f->listing_end;", "    if (f->last_read_expired)"),
     ("f->next = qr_position_max(f->next, f->listing_end);", "    if (false)"),
     "store_goes_back::without_epochs"),
    ("the-one-before-ends-the-next", 5, "gateway/qr_gateway_store.c",
     "        is_replaced(g, record, r->position)) {", "        false) {",
     "store_goes_back::restored_record_does_not_end_later_engine"),
    ("no-rest-for-the-store", 7, "fleet/qr_follower.c",
     "MAX(f->backoff_ms, min_delay_ms)", "f->backoff_ms", "rests::store_is_not_asked_before_its_retry_after_ends"),
    ("no-rest-for-the-origin", 1, "sidecar/qr_pieces.c",
     "MAX(ORIGIN_RETRY_MS, retry_after_ms)", "ORIGIN_RETRY_MS", "rests::origin_is_not_asked_before_its_retry_after_ends"),
    ("changes-are-told-as-they-are", 6, "gateway/qr_gateway_changes.c",
     "if (told->size_unpacked >= PACK_MIN_BYTES)", "if (false)",
     "members::engine_changes_are_sent_compressed"),
]


def mutate(target, there, instead):
    with open(target, encoding="utf-8") as f:
        text = f.read()
    if there not in text:
        return False
    with open(target, "w", encoding="utf-8") as f:
        f.write(text.replace(there, instead, 1))
    return True


def build_and_command(test):
    """What to build for a test, and the command that runs it. A test is a
    fuzzer's name, "unit", or "file::test" on real processes."""
    if test == "unit":
        return "build-san/unit", ["build-san/unit"]
    pytest = ["/usr/bin/python3", "-m", "pytest", "-q", "-x", "-p",
              "no:cacheprovider"]
    if "::" in test:
        name, one = test.split("::")
        return "build-san/quayring", pytest + [f"tests/test_{name}.py", "-k",
                                               one]
    return "build-san/drive", pytest + [f"tests/test_{test}.py"]


def run_mutant(mutant):
    name, point, path, old, new, test = mutant
    target, command = build_and_command(test)
    with tempfile.TemporaryDirectory(prefix="quayring-mutant-") as scratch:
        top = os.path.join(scratch, "t")
        shutil.copytree(ROOT, top, symlinks=True, copy_function=shutil.copy2,
                        ignore=shutil.ignore_patterns(
                            ".git", "build", "build-tsan", "quayring"))
        if isinstance(path, str):
            path, old, new = (path,), (old,), (new,)
        for one, there, instead in zip(path, old, new):
            if not mutate(os.path.join(top, "src", one), there, instead):
                return name, point, test, "STALE: what it changes is gone"
        built = subprocess.run(
            ["make", "-s", "B=build-san", "SAN=-fsanitize=address,undefined "
             "-fno-sanitize-recover=all", "CFLAGS=-O1 -g -Wno-error",
             target], cwd=top, capture_output=True, text=True,
            check=False)
        if built.returncode != 0:
            return name, point, test, "BROKEN: " + built.stderr[-200:]
        env = dict(os.environ, QUAYRING=os.path.join(top, "build-san",
                                                     "quayring"))
        env.pop("QUAYRING_DRIVE", None)
        ran = subprocess.run(command, cwd=top, env=env, capture_output=True,
                             text=True, check=False)
        if ran.returncode == 0:
            return name, point, test, "GREEN: nobody noticed"
        if ran.returncode == 5:  # pytest: nothing was collected
            return name, point, test, "STALE: there is no such test"
        why = [line[4:] for line in ran.stdout.splitlines()
               if line.startswith("E  ")][:1]
        why += [line for line in ran.stdout.splitlines() if ":F:" in line]
        return name, point, test, "red: " + (why[-1].strip() if why
                                             else "the reducer died")


def main():
    names = sys.argv[1:]
    todo = [m for m in MUTANTS if not names or m[0] in names]
    bad = 0
    with ThreadPoolExecutor(4) as pool:
        for name, point, test, verdict in pool.map(run_mutant, todo):
            bad += not verdict.startswith("red")
            print(f"{point}  {name:<34} {test[:24]:<24} {verdict[:90]}",
                  flush=True)
    print(f"{len(todo) - bad} of {len(todo)} went red with their mechanism "
          "switched off")
    raise SystemExit(1 if bad else 0)


if __name__ == "__main__":
    main()
