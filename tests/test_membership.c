/* Tests membership. Failures guarded against: a report of an unauthenticated or
 * stale peer is accepted, an incarnation counts as gone without proof, and a
 * reply is matched to the wrong heartbeat. */
#include "lib/runner.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "bulrushwell/error.h"
#include "bulrushwell/membership.h"

/* The lowest incarnation of a process that started at the second @s. */
#define STARTED(s) ((uint64_t)(s)*1000 << 20)
#define OWN_INCARNATION STARTED(1000)

static peer_report_t
make_report(const char *vm, const char *address, uint64_t incarnation)
{
	peer_report_t report = {.node = "peer",
	    .data_centre = "dc-1",
	    .incarnation = incarnation,
	    .state = NODE_STATE_READY,
	    .platform_age_ms = -1};

	snprintf(report.vm, sizeof(report.vm), "%s", vm);
	snprintf(report.address, sizeof(report.address), "%s", address);
	return report;
}

static membership_t *
create_with_peer(void)
{
	membership_t *membership =
	    membership_create("self", "vm-self", OWN_INCARNATION, SECONDS(1));

	assert_int_equal(membership_add(membership, "peer", "", "",
			     "10.0.0.1:700", SECONDS(1)),
	    0);
	return membership;
}

static int
count_actions(membership_t *membership, int kind)
{
	membership_action_t action;
	int count = 0;

	while (membership_next_action(membership, &action))
		count += (int)action.kind == kind;
	return count;
}

static void
only_later_incarnations_are_heard(void **state)
{
	static const struct {
		const char *vm;
		const char *address;
		uint64_t incarnation;
		int error;
		bool first_gone; /* the incarnation STARTED(900) */
	} cases[] = {
	    {"vm-1", "10.0.0.1:700", STARTED(900), 0, false},
	    {"vm-1", "10.0.0.1:700", STARTED(899), BW_E_STALE, false},
	    {"vm-1", "10.0.0.1:700", STARTED(901), 0, true},
	    {"vm-1", "10.0.0.1:701", STARTED(901), 0, true},
	    {"vm-2", "10.0.0.1:700", STARTED(901), 0, true},
	    {"vm-2", "10.0.0.2:700", STARTED(901), BW_E_CONFLICT, false},
	    {"vm-1", "10.0.0.1", STARTED(901), BW_E_INVALID, false},
	    {"vm 1", "10.0.0.1:700", STARTED(901), BW_E_INVALID, false},
	    {"vm-1", "10.0.0.1:700", 0, BW_E_INVALID, false},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		membership_t *membership = create_with_peer();
		peer_report_t report =
		    make_report("vm-1", "10.0.0.1:700", STARTED(900));

		assert_int_equal(
		    membership_receive(membership, &report, false, SECONDS(2)),
		    0);
		report = make_report(
		    cases[i].vm, cases[i].address, cases[i].incarnation);
		assert_int_equal(
		    membership_receive(membership, &report, false, SECONDS(2)),
		    cases[i].error);
		assert_int_equal(
		    membership_is_gone(membership, "peer", STARTED(900)),
		    cases[i].first_gone);
		assert_int_equal(membership_check_sender(membership, "peer",
				     STARTED(900), SECONDS(2)),
		    cases[i].first_gone ? BW_E_STALE : 0);
		membership_destroy(membership);
	}
}

static void
unlisted_peers_need_authentication(void **state)
{
	membership_t *membership =
	    membership_create("self", "vm-self", OWN_INCARNATION, SECONDS(1));
	peer_report_t report = make_report("vm-1", "10.0.0.1:700", 5);

	assert_int_equal(membership_receive(membership, &report, false, 0),
	    BW_E_UNAUTHORISED);
	assert_int_equal(membership_check_sender(membership, "peer", 5, 0),
	    BW_E_UNAUTHORISED);
	assert_int_equal(membership_receive(membership, &report, true, 0), 0);
	assert_int_equal(membership_check_sender(membership, "peer", 6, 0),
	    BW_E_UNAUTHORISED);
	assert_int_equal(membership_count(membership), 1);
	for (int i = 1; i < MEMBERSHIP_MAX_PEERS + 1; i++) {
		snprintf(report.node, sizeof(report.node), "peer-%d", i);
		assert_int_equal(
		    membership_receive(membership, &report, true, 0),
		    i < MEMBERSHIP_MAX_PEERS ? 0 : BW_E_FULL);
	}
	membership_destroy(membership);
}

/* Each case reads two VM lists and then checks whether an incarnation is gone.
 * In the lists, "+vm" is live, "~vm" leaving and "-vm" gone. */
static void
vm_lists_prove_only_what_they_show(void **state)
{
	static const struct {
		const char *name;
		const char *lists[2];
		const char *listed_vm; /* by membership_add(), or NULL */
		uint64_t heard;	       /* the incarnation reported; 0: none */
		uint64_t checked;
		usec_t now; /* of the second list */
		bool gone;
	} cases[] = {
	    {"listed live", {"+vm-self +vm-1", "+vm-self +vm-1"}, NULL,
		STARTED(900), STARTED(900), SECONDS(2), false},
	    {"listed as gone", {"+vm-self", "+vm-self -vm-1"}, NULL,
		STARTED(990), STARTED(990), SECONDS(2), true},
	    {"listed before, missing now", {"+vm-self +vm-1", "+vm-self"}, NULL,
		STARTED(990), STARTED(990), SECONDS(2), true},
	    {"never listed and young", {"+vm-self", "+vm-self"}, NULL,
		STARTED(990), STARTED(990), SECONDS(2), false},
	    {"never listed and old", {"+vm-self", "+vm-self"}, NULL,
		STARTED(900), STARTED(900), SECONDS(2), true},
	    {"never listed and old at the second list",
		{"+vm-self", "+vm-self"}, NULL, STARTED(990), STARTED(990),
		SECONDS(80), true},
	    {"own VM is not listed either", {"+vm-2", "+vm-2"}, NULL,
		STARTED(900), STARTED(900), SECONDS(2), false},
	    {"empty list", {"+vm-self +vm-1", ""}, NULL, STARTED(900),
		STARTED(900), SECONDS(2), false},
	    {"leaving is not gone", {"+vm-1", "~vm-1"}, NULL, STARTED(900),
		STARTED(900), SECONDS(2), false},
	    {"never heard, VM unknown", {"+vm-self", "+vm-self"}, NULL, 0,
		STARTED(900), SECONDS(80), false},
	    {"never heard, VM listed a while ago", {"+vm-self", "+vm-self"},
		"vm-1", 0, STARTED(900), SECONDS(80), true},
	    {"never heard, VM listed just now", {"+vm-self", "+vm-self"},
		"vm-1", 0, STARTED(900), SECONDS(2), false},
	    {"never heard and young", {"+vm-self", "+vm-self"}, "vm-1", 0,
		STARTED(1070), SECONDS(80), false},
	    {"a later incarnation on another VM", {"+vm-self", "+vm-self"},
		NULL, STARTED(900), STARTED(950), SECONDS(80), false},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		membership_t *membership = create_with_peer();
		peer_report_t report =
		    make_report("vm-1", "10.0.0.1:700", cases[i].heard);
		const usec_t times[] = {SECONDS(1), cases[i].now};

		if (cases[i].listed_vm != NULL)
			membership_add(membership, "peer", cases[i].listed_vm,
			    "", "10.0.0.1:700", SECONDS(1));
		if (cases[i].heard != 0)
			membership_receive(
			    membership, &report, true, SECONDS(1));
		for (int j = 0; j < 2; j++) {
			vm_entry_t vms[4];
			size_t count = 0;
			char text[64];
			char *word, *rest = text;

			snprintf(text, sizeof(text), "%s", cases[i].lists[j]);
			while ((word = strtok_r(rest, " ", &rest)) != NULL) {
				vms[count].state = word[0] == '+' ? VM_LIVE
				    : word[0] == '~'		  ? VM_LEAVING
								  : VM_GONE;
				snprintf(vms[count++].vm, sizeof(name_t), "%s",
				    word + 1);
			}
			membership_set_vms(membership, vms, count, times[j]);
		}
		if (membership_is_gone(membership, "peer", cases[i].checked) !=
		    cases[i].gone)
			fail_msg("%s", cases[i].name);
		if (cases[i].heard != 0)
			assert_int_equal(membership_receive(membership, &report,
					     true, cases[i].now),
			    membership_is_gone(
				membership, "peer", cases[i].heard)
				? BW_E_STALE
				: 0);
		membership_destroy(membership);
	}
}

static void
answers_match_recent_heartbeats(void **state)
{
	membership_t *membership = create_with_peer();
	peer_report_t report = make_report("vm-1", "10.0.0.1:700", 5);
	uint64_t first = 0;
	usec_t sent_at = 0;

	membership_receive(membership, &report, true, SECONDS(1));
	for (int i = 0; i < 9; i++) {
		membership_tick(membership, SECONDS(1) + MS(100 * i));
		if (i == 0)
			first = membership_find(membership, "peer")->sequence;
	}
	assert_true(first > OWN_INCARNATION);
	assert_int_equal(membership_receive_reply(membership, "peer", 5, first,
			     SECONDS(2), &sent_at),
	    BW_E_STALE);
	assert_int_equal(membership_receive_reply(membership, "peer", 5,
			     first + 1, SECONDS(2), &sent_at),
	    0);
	assert_int_equal(sent_at, SECONDS(1) + MS(100));
	assert_int_equal(membership_receive_reply(membership, "peer", 5,
			     first + 9, SECONDS(2), &sent_at),
	    BW_E_STALE);
	assert_int_equal(membership_receive_reply(membership, "peer", 4,
			     first + 1, SECONDS(2), &sent_at),
	    BW_E_STALE);
	membership_destroy(membership);
}

/* A refused connection proves an incarnation gone only if it is the peer's
 * current one and the peer is silent. */
static void
refused_connections_prove_a_silent_peer_gone(void **state)
{
	membership_t *membership = create_with_peer();
	peer_report_t report = make_report("vm-1", "10.0.0.1:700", 5);

	membership_receive(membership, &report, true, SECONDS(1));
	membership_connection_refused(
	    membership, report.node, 5, SECONDS(1) + MS(10));
	assert_false(membership_is_gone(membership, report.node, 5));
	membership_tick(membership, SECONDS(1) + MS(200));
	membership_tick(membership, SECONDS(1) + MS(400));
	membership_connection_refused(
	    membership, report.node, 4, SECONDS(1) + MS(410));
	assert_false(membership_is_gone(membership, report.node, 5));
	membership_connection_refused(
	    membership, report.node, 5, SECONDS(1) + MS(420));
	assert_true(membership_is_gone(membership, report.node, 5));
	assert_int_equal(
	    membership_receive(membership, &report, true, SECONDS(1) + MS(430)),
	    BW_E_STALE);
	membership_destroy(membership);
}

static void
silence_and_isolation_are_noticed(void **state)
{
	membership_t *membership = create_with_peer();
	peer_report_t report = make_report("vm-1", "10.0.0.1:700", 5);

	membership_tick(membership, SECONDS(1));
	assert_int_equal(count_actions(membership, MEMBERSHIP_CONNECT), 1);
	membership_receive(membership, &report, true, SECONDS(1));
	assert_int_equal(count_actions(membership, MEMBERSHIP_UP), 1);
	membership_tick(membership, SECONDS(1) + MS(200));
	membership_tick(membership, SECONDS(1) + MS(SILENT_MS) - 1);
	assert_int_equal(count_actions(membership, MEMBERSHIP_SILENT), 0);
	membership_tick(membership, SECONDS(1) + MS(SILENT_MS));
	assert_int_equal(count_actions(membership, MEMBERSHIP_SILENT), 1);
	assert_false(membership_find(membership, "peer")->live);
	/* After a pause of this node, the peer's messages are still unread. */
	membership_receive(membership, &report, true, SECONDS(2));
	membership_tick(membership, SECONDS(2));
	membership_tick(membership, SECONDS(9));
	assert_true(membership_find(membership, "peer")->live);
	membership_tick(membership, SECONDS(9) + MS(HEARTBEAT_MS));
	assert_false(membership_find(membership, "peer")->live);
	assert_false(membership_is_isolated(
	    membership, SECONDS(2) + MS(ISOLATED_MS) - 1));
	assert_true(
	    membership_is_isolated(membership, SECONDS(2) + MS(ISOLATED_MS)));
	membership_platform_heard(membership, SECONDS(4));
	assert_false(
	    membership_is_isolated(membership, SECONDS(2) + MS(ISOLATED_MS)));
	membership_destroy(membership);
}

int
main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(only_later_incarnations_are_heard),
	    cmocka_unit_test(unlisted_peers_need_authentication),
	    cmocka_unit_test(vm_lists_prove_only_what_they_show),
	    cmocka_unit_test(answers_match_recent_heartbeats),
	    cmocka_unit_test(refused_connections_prove_a_silent_peer_gone),
	    cmocka_unit_test(silence_and_isolation_are_noticed),
	};

	return RUN_TESTS(argc, argv, tests);
}
