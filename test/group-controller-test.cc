// Tests of the group controller against the fleet emulator, in virtual time.
#include "spokesail/group-controller.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fleet-run.h"

namespace spokesail {
namespace {

using test::fleet_run;
using test::step_time;

backend_service engine_service() {
  engine_profile engine;
  engine.slots = 26;
  engine.decode_steps_per_pass = 5;
  engine.step_ms = 6;
  engine.prefill_tokens_per_ms = 46;
  engine.prefill_chunk = 2048;
  engine.loads_per_s = 4;
  engine.loads_at_once = 6;
  engine.open_time = absl::Milliseconds(300);
  engine.models = {
      {"large", 4, 0.67, 1, absl::Seconds(16), absl::Milliseconds(1600)},
      {"small", 2, 0.33, 0.6, absl::Seconds(12), absl::Milliseconds(1100)}};
  return {"lm", 100, 0, engine};
}

fleet_run make_fleet(uint64_t seed,
                     const group_controller_options& options = {},
                     int domains = 6, int hosts = 8) {
  return {engine_service(), seed, options, domains, hosts};
}

/// Options under which spare hosts do not serve.
group_controller_options idle_spares() {
  group_controller_options options;
  options.spares_serve = false;
  return options;
}

/// A fleet whose groups serve, with requests.
fleet_run serving_fleet(uint64_t seed,
                        const group_controller_options& options = {}) {
  fleet_run run = make_fleet(seed, options);
  run.run_for(absl::Seconds(30));
  run.requests_seen = true;
  return run;
}

std::string member_of(const fleet_run& run, const std::string& model,
                      int rank) {
  for (const auto& [id, server] : run.fleet.directory().servers()) {
    const auto& membership = server.entry.membership;
    if (membership.phase == member_phase::none || membership.rank != rank)
      continue;
    if (group_model(membership.group) == model) return id;
  }
  return "";
}

TEST(group_controller, forms_groups_by_share_and_keeps_spares) {
  const fleet_run run = serving_fleet(1, idle_spares());
  EXPECT_EQ(run.fleet.serving("large"), 6);
  EXPECT_EQ(run.fleet.serving("small"), 6);
  EXPECT_TRUE(run.fleet.breaches().empty());
}

TEST(group_controller, lets_spares_serve_and_stages_them_for_repairs) {
  const fleet_run run = serving_fleet(1);
  EXPECT_EQ(run.fleet.serving("large"), 6);
  EXPECT_EQ(run.fleet.serving("small"), 12);
  // Two hosts of each domain serve one model and hold the other's weights.
  int ready_for_both = 0;
  for (const auto& [id, server] : run.fleet.directory().servers()) {
    const server_entry& entry = server.entry;
    if (group_model(entry.membership.group) != "small") continue;
    ready_for_both += entry.staged == std::vector<std::string>{"large"};
  }
  EXPECT_EQ(ready_for_both, 12);
  EXPECT_TRUE(run.fleet.breaches().empty());
}

TEST(group_controller, reclaims_a_serving_spare_for_a_repair) {
  fleet_run run = serving_fleet(2);
  const std::string lost = member_of(run, "large", 2);
  run.fleet.kill(lost, run.now);
  run.report_suspect(lost);
  run.run_for(absl::Milliseconds(4000));
  EXPECT_EQ(run.fleet.serving("large"), 6);
  EXPECT_EQ(run.fleet.serving("small"), 11);
  EXPECT_TRUE(run.fleet.breaches().empty());
}

TEST(group_controller, dissolves_no_larger_group_to_repair_a_smaller_one) {
  group_controller_options options;
  // With this share few groups are wanted, so that most count as spares.
  options.spare_share = 0.6;
  fleet_run run = serving_fleet(3, options);
  const int large = run.fleet.serving("large");
  for (int i = 0; i < 6; ++i) {
    const std::string lost = member_of(run, "small", 1);
    run.fleet.kill(lost, run.now);
    run.report_suspect(lost);
    run.run_for(absl::Seconds(2));
  }
  EXPECT_EQ(run.fleet.serving("large"), large);
  EXPECT_TRUE(run.fleet.breaches().empty());
}

/// Groups with a member in a data hall.
std::set<std::string> groups_in(const fleet_run& run, const std::string& hall) {
  std::set<std::string> out;
  for (const auto& [id, server] : run.fleet.directory().servers()) {
    const auto& membership = server.entry.membership;
    if (server.entry.hall != hall || membership.phase == member_phase::none)
      continue;
    out.insert(membership.group);
  }
  return out;
}

TEST(group_controller, forms_no_group_in_a_closed_hall) {
  fleet_run run = make_fleet(1);
  run.controller.set_closed_halls({"h0"});
  run.run_for(absl::Seconds(30));
  EXPECT_TRUE(groups_in(run, "h0").empty());
  EXPECT_FALSE(groups_in(run, "h1").empty());
  // The wanted groups follow from the hosts of the other halls.
  EXPECT_GE(run.fleet.serving("large"), 4);
  EXPECT_GE(run.fleet.serving("small"), 4);
  run.controller.set_closed_halls({});
  run.run_for(absl::Seconds(30));
  EXPECT_FALSE(groups_in(run, "h0").empty());
  EXPECT_TRUE(run.fleet.breaches().empty());
}

TEST(group_controller, keeps_the_groups_of_a_closed_hall) {
  fleet_run run = serving_fleet(1);
  const auto before = groups_in(run, "h0");
  const auto others = groups_in(run, "h1");
  run.controller.set_closed_halls({"h0"});
  run.run_for(absl::Seconds(10));
  EXPECT_EQ(groups_in(run, "h0"), before);
  EXPECT_EQ(groups_in(run, "h1"), others);
  run.controller.set_closed_halls({});
  run.run_for(absl::Seconds(10));
  EXPECT_EQ(groups_in(run, "h0"), before);
}

TEST(group_controller,
     dissolves_a_broken_group_of_a_closed_hall_and_forms_none) {
  fleet_run run = serving_fleet(1, idle_spares());
  const auto before = groups_in(run, "h0");
  std::string lost;
  for (const auto& [id, server] : run.fleet.directory().servers()) {
    const auto& membership = server.entry.membership;
    if (server.entry.hall != "h0" || membership.rank != 1) continue;
    if (membership.phase != member_phase::none) lost = id;
  }
  const std::string group = run.fleet.directory().find(lost)->membership.group;
  run.controller.set_closed_halls({"h0"});
  run.fleet.set_isolated(lost, true);
  run.report_suspect(lost);
  run.run_for(absl::Seconds(10));
  auto expected = before;
  expected.erase(group);
  auto actual = groups_in(run, "h0");
  // A server that does not answer cannot be ordered to leave.
  actual.erase(group);
  EXPECT_EQ(actual, expected);
  for (const auto& [id, server] : run.fleet.directory().servers()) {
    if (id == lost) continue;
    EXPECT_NE(server.entry.membership.group, group);
  }
}

TEST(group_controller, abandons_a_group_whose_hall_closes_while_it_forms) {
  fleet_run run = make_fleet(1);
  while (groups_in(run, "h0").empty()) run.step();
  run.controller.set_closed_halls({"h0"});
  const auto forming = groups_in(run, "h0");
  run.run_for(absl::Seconds(30));
  for (const auto& group : groups_in(run, "h0")) {
    EXPECT_TRUE(forming.count(group) != 0) << group;
  }
  EXPECT_TRUE(run.fleet.breaches().empty());
}

TEST(group_controller, spreads_groups_over_domains) {
  const fleet_run run = serving_fleet(1);
  std::map<std::string, int> large;
  for (const auto& [id, server] : run.fleet.directory().servers()) {
    const auto& membership = server.entry.membership;
    if (membership.rank == 0 && group_model(membership.group) == "large") {
      large[server.entry.domain]++;
    }
  }
  EXPECT_EQ(large.size(), 6U);
}

TEST(group_controller, repairs_with_a_staged_spare_once_a_member_is_lost) {
  fleet_run run = serving_fleet(2, idle_spares());
  const std::string lost = member_of(run, "large", 2);
  run.fleet.kill(lost, run.now);
  run.report_suspect(lost);
  run.run_for(absl::Milliseconds(2600));
  EXPECT_EQ(run.fleet.serving("large"), 6);
  EXPECT_TRUE(run.fleet.breaches().empty());
}

/// After a restart, a server's count of orders starts anew and it is in no
/// group. The controller may learn this first from its entry or its report.
TEST(group_controller, replaces_a_member_that_restarts_under_the_same_id) {
  for (const bool noticed : {false, true}) {
    fleet_run run = serving_fleet(2, idle_spares());
    const std::string id = member_of(run, "large", 2);
    const std::string group = run.fleet.directory().find(id)->membership.group;
    run.fleet.restart(id, run.now);
    if (noticed) run.report_suspect(id);
    run.run_for(absl::Seconds(6));
    EXPECT_EQ(run.fleet.serving("large"), 6);
    EXPECT_TRUE(run.fleet.breaches().empty());
    for (const auto& [name, server] : run.fleet.directory().servers()) {
      const group_membership& membership = server.entry.membership;
      EXPECT_FALSE(membership.group == group &&
                   membership.phase == member_phase::open);
    }
    // It accepts orders again, by its new count.
    const std::string other = member_of(run, "large", 1);
    run.fleet.kill(other, run.now);
    run.report_suspect(other);
    run.run_for(absl::Seconds(40));
    EXPECT_EQ(run.fleet.serving("large"), 6);
  }
}

/// A report that was sent before the server restarted arrives after it.
TEST(group_controller, ignores_a_report_of_an_earlier_incarnation) {
  constexpr int64_t earlier_orders = 77;
  fleet_run run = serving_fleet(3, idle_spares());
  const std::string id = member_of(run, "large", 2);
  server_report stale_report = *run.fleet.report(id);
  stale_report.orders_started = earlier_orders;
  run.fleet.restart(id, run.now);
  run.run_for(absl::Milliseconds(80));
  run.controller.on_report(id, stale_report, run.now);
  const absl::Time until = run.now + absl::Seconds(6);
  while (run.now < until) {
    run.step();
    for (const auto& a : run.answers) {
      EXPECT_FALSE(a.order.server == id &&
                   a.order.expected_orders == earlier_orders);
    }
  }
  EXPECT_EQ(run.fleet.serving("large"), 6);
  EXPECT_TRUE(run.fleet.breaches().empty());
}

/// The first holder of a large fleet, in which all hosts have to join groups at
/// once.
TEST(group_controller, limits_pending_orders_in_a_large_fleet) {
  constexpr int domains = 25;
  constexpr int hosts = 37;
  fleet_run run = make_fleet(11, {}, domains, hosts);
  run.step();
  run.run_for(absl::Seconds(25));
  EXPECT_LE(run.max_orders_per_step,
            static_cast<size_t>(window_limits{}.max_size));
  EXPECT_GE(4 * run.fleet.serving("large") + 2 * run.fleet.serving("small"),
            domains * (hosts - 6));
  EXPECT_TRUE(run.fleet.breaches().empty());
}

/// A hall that loses hosts: each loss is repaired by a spare.
TEST(group_controller, repairs_within_a_second_with_a_warm_spare) {
  fleet_run run = serving_fleet(2, idle_spares());
  run.run_for(absl::Seconds(6));
  const std::string lost = member_of(run, "large", 2);
  run.fleet.kill(lost, run.now);
  run.report_suspect(lost);
  run.run_for(absl::Milliseconds(1100));
  EXPECT_EQ(run.fleet.serving("large"), 6);
  EXPECT_TRUE(run.fleet.breaches().empty());
}

TEST(group_controller, hosts_leave_their_group_after_the_warm_up) {
  fleet_run run = serving_fleet(3, idle_spares());
  run.run_for(absl::Seconds(10));
  // Each host has left the group that it joined to warm up.
  for (const auto& [id, server] : run.fleet.directory().servers()) {
    const group_membership& membership = server.entry.membership;
    if (membership.phase == member_phase::none) continue;
    EXPECT_TRUE(run.fleet.group_complete(id)) << id;
  }
  EXPECT_TRUE(run.fleet.breaches().empty());
}

TEST(group_controller, frees_the_members_of_an_unreachable_head) {
  fleet_run run = serving_fleet(3, idle_spares());
  const std::string head = member_of(run, "large", 0);
  // The head is unreachable but alive: it may serve callers on the other side
  // of the partition.
  run.fleet.set_isolated(head, true);
  run.report_suspect(head);
  run.run_for(absl::Seconds(3));
  EXPECT_TRUE(run.fleet.breaches().empty());
  EXPECT_EQ(run.fleet.serving("large"), 6);
}

/// A sound server that is silent for some seconds: the order to leave its group
/// cut the streams that it would have gone on with.
TEST(group_controller, cuts_no_streams_of_a_server_that_pauses) {
  for (const int rank : {0, 1}) {
    fleet_run run = serving_fleet(3, idle_spares());
    const std::string id = member_of(run, "large", rank);
    run.fleet.set_silent(id, true);
    run.report_suspect(id);
    run.run_for(absl::Seconds(4));
    // It gets no new requests meanwhile.
    EXPECT_EQ(run.controller.unresponsive_servers(),
              std::vector<std::string>{id});
    run.fleet.set_silent(id, false);
    run.run_for(absl::Seconds(2));
    EXPECT_TRUE(run.controller.unresponsive_servers().empty());
    EXPECT_TRUE(run.fleet.cut_groups().empty()) << "rank " << rank;
    EXPECT_EQ(run.fleet.serving("large"), 6);
    EXPECT_TRUE(run.fleet.breaches().empty());
  }
}

/// A repair during the silence must not take the hosts of silent spare groups.
TEST(group_controller, cuts_no_streams_of_paused_spares_for_a_repair) {
  fleet_run run = serving_fleet(2);
  std::set<std::string> silent;
  for (const auto& id : run.fleet.live_servers()) {
    const server_entry* entry = run.fleet.directory().find(id);
    const bool small = group_model(entry->membership.group) == "small";
    if (!small || entry->domain != "d0") continue;
    if (entry->membership.rank != 1) continue;
    run.fleet.set_silent(id, true);
    run.report_suspect(id);
    silent.insert(id);
  }
  ASSERT_FALSE(silent.empty());
  run.run_for(absl::Milliseconds(2500));
  std::string lost;
  for (const auto& id : run.fleet.live_servers()) {
    const server_entry* entry = run.fleet.directory().find(id);
    const bool large = group_model(entry->membership.group) == "large";
    if (large && entry->domain == "d0" && entry->membership.rank == 1)
      lost = id;
  }
  run.fleet.kill(lost, run.now);
  run.report_suspect(lost);
  run.run_for(absl::Milliseconds(1500));
  for (const auto& id : silent) run.fleet.set_silent(id, false);
  run.run_for(absl::Milliseconds(200));
  EXPECT_TRUE(run.fleet.cut_groups().empty());
  EXPECT_TRUE(run.fleet.breaches().empty());
}

/// A server that hangs for good: the engines cut off what depends on it, and
/// its group is replaced after that.
TEST(group_controller, replaces_a_group_whose_member_hangs) {
  fleet_run run = serving_fleet(3, idle_spares());
  const std::string id = member_of(run, "large", 1);
  const std::string group = run.fleet.directory().find(id)->membership.group;
  run.fleet.set_silent(id, true);
  run.report_suspect(id);
  run.run_for(absl::Milliseconds(7600));
  for (const auto& other : run.fleet.live_servers()) {
    if (other == id) continue;
    EXPECT_NE(run.fleet.directory().find(other)->membership.group, group);
  }
  EXPECT_EQ(run.fleet.serving("large"), 6);
  EXPECT_TRUE(run.fleet.breaches().empty());
}

TEST(group_controller, a_new_holder_does_not_reuse_hosts_whose_head_may_serve) {
  fleet_run run = serving_fleet(4);
  const std::string head = member_of(run, "large", 0);
  run.fleet.set_isolated(head, true);
  run.report_suspect(head);
  // The holder orders the other members to leave, and then fails.
  run.run_for(absl::Milliseconds(300));
  const absl::Time dead = run.now;
  while (run.now - dead < absl::Milliseconds(1700)) {
    run.now += step_time;
    run.fleet.advance(run.now);
  }
  run.begin_term();
  run.run_for(absl::Seconds(15));
  EXPECT_TRUE(run.fleet.breaches().empty());
}

TEST(group_controller, replaces_a_group_with_a_leaving_host) {
  fleet_run run = serving_fleet(5, idle_spares());
  const std::string leaving = member_of(run, "small", 1);
  run.fleet.drain(leaving, run.now);
  run.run_for(absl::Seconds(6));
  const server_entry* entry = run.fleet.directory().find(leaving);
  ASSERT_NE(entry, nullptr);
  EXPECT_EQ(run.fleet.serving("small"), 6);
  EXPECT_TRUE(run.fleet.breaches().empty());
}

/// A member that stops stays until the running streams have ended: the order to
/// leave cut those that took longer than 1.5 s.
TEST(group_controller, lets_streams_end_when_a_member_stops) {
  for (const int rank : {0, 1}) {
    fleet_run run = serving_fleet(5, idle_spares());
    run.fleet.closing_time = absl::Seconds(4);
    run.fleet.drain(member_of(run, "small", rank), run.now);
    run.run_for(absl::Seconds(8));
    EXPECT_TRUE(run.fleet.cut_groups().empty()) << "rank " << rank;
    EXPECT_EQ(run.fleet.serving("small"), 6) << "rank " << rank;
    EXPECT_TRUE(run.fleet.breaches().empty());
  }
}

/// A server that stops refuses connections before its last answers end. A new
/// holder, which asks all servers for a report, took it for lost, and the order
/// to leave cut the streams.
TEST(group_controller, lets_streams_end_when_a_member_no_longer_listens) {
  for (const int rank : {0, 1}) {
    fleet_run run = serving_fleet(5, idle_spares());
    run.fleet.closing_time = absl::Seconds(4);
    const std::string leaving = member_of(run, "small", rank);
    run.fleet.drain(leaving, run.now);
    run.run_for(absl::Seconds(2));
    run.fleet.stop_listening(leaving);
    run.begin_term();
    run.run_for(absl::Seconds(6));
    EXPECT_TRUE(run.fleet.cut_groups().empty()) << "rank " << rank;
    EXPECT_EQ(run.fleet.serving("small"), 6) << "rank " << rank;
    EXPECT_TRUE(run.fleet.breaches().empty());
  }
}

/// A server that crashes while it stops: its group must not keep the others.
TEST(group_controller, replaces_a_group_whose_member_crashes_while_it_stops) {
  for (const int rank : {0, 1}) {
    fleet_run run = serving_fleet(5, idle_spares());
    const std::string leaving = member_of(run, "small", rank);
    run.fleet.drain(leaving, run.now);
    run.run_for(absl::Seconds(1));
    run.fleet.kill(leaving, run.now);
    run.report_suspect(leaving);
    run.run_for(absl::Milliseconds(7600));
    EXPECT_EQ(run.fleet.serving("small"), 6) << "rank " << rank;
    EXPECT_TRUE(run.fleet.breaches().empty());
  }
}

/// A release: members of several groups announce their stop at once, and keep
/// serving for a while.
TEST(group_controller, groups_keep_serving_while_a_member_is_about_to_leave) {
  group_controller_options options = idle_spares();
  options.leaving_member_grace = absl::Milliseconds(2000);
  fleet_run run = serving_fleet(5, options);
  std::set<std::string> groups;
  for (const auto& [id, server] : run.fleet.directory().servers()) {
    const group_membership& membership = server.entry.membership;
    const bool member =
        membership.rank == 1 && membership.phase != member_phase::none;
    if (!member || group_model(membership.group) != "small") continue;
    if (groups.size() == 4 || !groups.insert(membership.group).second) continue;
    run.fleet.drain(id, run.now);
  }
  ASSERT_EQ(groups.size(), 4U);
  const int before = run.fleet.serving("small");
  const absl::Time held_until = run.now + absl::Milliseconds(1900);
  while (run.now < held_until) {
    run.step();
    ASSERT_EQ(run.fleet.serving("small"), before);
  }
  // Four hosts fewer make one group fewer.
  run.run_for(absl::Seconds(20));
  EXPECT_EQ(run.fleet.serving("small"), before - 1);
  EXPECT_TRUE(run.fleet.breaches().empty());
}

/// Groups that the servers of a domain, or all others, are in.
std::set<std::string> groups_named(const fleet_run& run,
                                   const std::string& domain, bool in_domain) {
  std::set<std::string> out;
  for (const auto& [id, server] : run.fleet.directory().servers()) {
    const server_entry& entry = server.entry;
    if ((entry.domain == domain) != in_domain) continue;
    if (entry.membership.group.empty()) continue;
    out.insert(entry.membership.group);
  }
  return out;
}

TEST(group_controller, a_resumed_term_reuses_no_group_name) {
  fleet_run run = serving_fleet(1);
  // The lease had expired for a while, and no other node took it.
  run.controller.stop_term();
  run.controller.start_term(run.fence);
  run.requests_seen = false;
  const std::string added = "added";
  for (int i = 0; i < 8; ++i) run.fleet.add(added, run.now);
  const std::set<std::string> names_before = groups_named(run, added, false);
  std::set<std::string> new_names;
  const absl::Time until = run.now + absl::Seconds(10);
  while (run.now < until) {
    run.step();
    new_names.merge(groups_named(run, added, true));
  }
  EXPECT_FALSE(new_names.empty());
  for (const auto& name : new_names)
    EXPECT_EQ(names_before.count(name), 0U) << name;
}

TEST(group_controller, stages_hosts_for_the_model_that_lacks_groups) {
  fleet_run run = serving_fleet(6, idle_spares());
  const std::set<std::string> affected_domains = {"d0", "d1", "d2"};
  for (const auto& [id, server] : run.fleet.directory().servers()) {
    const server_entry& entry = server.entry;
    if (affected_domains.count(entry.domain) == 0) continue;
    if (entry.staged == std::vector<std::string>{"small"}) {
      run.fleet.kill(id, run.now);
    }
  }
  run.run_for(absl::Seconds(1));
  EXPECT_EQ(run.fleet.serving("small"), 3);
  run.run_for(absl::Seconds(40));
  EXPECT_EQ(run.fleet.serving("small"), 5);
  EXPECT_TRUE(run.fleet.breaches().empty());
}

/// A fleet whose holders change while many hosts have weights to load.
fleet_run fleet_without_weights(uint64_t seed) {
  fleet_run run = make_fleet(seed);
  run.requests_seen = true;
  run.run_for(absl::Milliseconds(400));
  return run;
}

TEST(group_controller, successive_holders_keep_the_load_rate_limit) {
  fleet_run run = fleet_without_weights(8);
  const engine_profile engine = *engine_service().engine;
  const group_controller_options options;
  const absl::Time since = run.now;
  for (int term = 0; term < 6; ++term) {
    const earlier_loads before{run.controller.loads_begun(run.now), run.now};
    run.controller.start_term(++run.fence, before);
    run.run_for(absl::Milliseconds(700));
  }
  const double allowed = engine.loads_per_s * options.load_excess *
                         absl::ToDoubleSeconds(options.load_window);
  EXPECT_LE(run.max_loads_in_window(options.load_window, since), allowed);
}

TEST(group_controller, a_holder_without_reports_waits_for_a_load_window) {
  fleet_run run = fleet_without_weights(9);
  const size_t loads = run.fleet.loads.size();
  run.begin_term();
  run.run_for(absl::Seconds(4));
  EXPECT_EQ(run.fleet.loads.size(), loads);
  run.run_for(absl::Seconds(3));
  EXPECT_GT(run.fleet.loads.size(), loads);
}

TEST(group_controller, steps_down_when_most_servers_are_silent) {
  fleet_run run = serving_fleet(7);
  int count = 0;
  for (const auto& id : run.fleet.live_servers()) {
    if (++count > 20) break;
    run.fleet.set_isolated(id, true);
    run.report_suspect(id);
  }
  for (int i = 0; i < 20; ++i) {
    run.now += step_time;
    const auto actions =
        run.controller.step(run.fleet.directory(), run.config, true, run.now);
    for (const auto& id : actions.report_requests) {
      run.controller.on_report(id, run.fleet.report(id), run.now);
    }
    if (!actions.step_down) continue;
    EXPECT_TRUE(actions.orders.empty());
    return;
  }
  FAIL() << "did not step down";
}

TEST(group_controller, does_not_step_down_when_one_of_three_halls_is_cut_off) {
  fleet_run run = serving_fleet(7);
  for (const auto& [id, server] : run.fleet.directory().servers()) {
    if (server.entry.hall != "h0") continue;
    run.fleet.set_isolated(id, true);
    run.report_suspect(id);
  }
  for (int i = 0; i < 20; ++i) {
    run.now += step_time;
    const auto actions =
        run.controller.step(run.fleet.directory(), run.config, true, run.now);
    for (const auto& id : actions.report_requests) {
      run.controller.on_report(id, run.fleet.report(id), run.now);
    }
    EXPECT_FALSE(actions.step_down);
  }
  EXPECT_EQ(run.controller.unresponsive_servers().size(), 16U);
}

TEST(group_controller, a_new_holder_does_not_interrupt_a_load) {
  fleet_run run = serving_fleet(9);
  const std::string added = run.fleet.add("d0", run.now);
  run.run_for(absl::Seconds(2));
  const size_t loads = run.fleet.loads.size();
  run.begin_term();
  run.run_for(absl::Seconds(20));
  EXPECT_EQ(run.fleet.loads.size(), loads);
  EXPECT_EQ(run.fleet.directory().find(added)->staged.size(), 1U);
}

TEST(group_controller, keeps_loads_within_the_rate_limit) {
  fleet_run run = serving_fleet(8);
  const absl::Time since = run.now;
  for (int i = 0; i < 30; ++i) run.fleet.add(absl::StrCat("d", i % 6), run.now);
  run.run_for(absl::Seconds(20));
  EXPECT_LE(run.max_loads_in_window(absl::Seconds(5), since), 25);
  EXPECT_GT(run.max_loads_in_window(absl::Seconds(5), since), 5);
}

TEST(group_controller, forms_groups_of_two_services) {
  const absl::Time start = absl::FromUnixSeconds(1000);
  routing_config config;
  config.services = {engine_service(), engine_service()};
  config.services[1].name = "other";
  server_directory directory;
  for (int i = 0; i < 14; ++i) {
    listed_server server;
    server.entry.id = absl::StrCat("s", i);
    server.entry.service = i < 8 ? "lm" : "other";
    server.entry.domain = server.entry.service;
    server.revision = i + 1;
    directory.update(server);
  }
  group_controller controller{group_controller_options{}};
  controller.start_term(1);
  std::set<std::string> ordered;
  for (absl::Time now = start; now < start + absl::Seconds(2);
       now += step_time) {
    const auto actions = controller.step(directory, config, false, now);
    for (const auto& id : actions.report_requests) {
      controller.on_report(id, server_report{}, now);
    }
    for (const auto& order : actions.orders) {
      if (order.kind == group_order_kind::join) {
        ordered.insert(directory.find(order.server)->service);
      }
    }
  }
  EXPECT_EQ(ordered, (std::set<std::string>{"lm", "other"}));
}

/// Hosts of one domain in a group of each model, and two free hosts that hold
/// the smaller model's weights, as the servers report it.
server_directory domain_with_spares() {
  server_directory out;
  const auto add = [&out](const std::string& id, const std::string& model,
                          int rank, const std::string& staged) {
    listed_server server;
    server.entry.id = id;
    server.entry.service = "lm";
    server.entry.domain = "d0";
    server.entry.staged = {staged};
    if (rank >= 0) {
      const auto phase = rank == 0 ? member_phase::open : member_phase::ready;
      server.entry.membership = {group_name(model, 7), 7, rank, phase};
    }
    server.revision = out.revision() + 1;
    out.update(server);
    out.advance_revision(server.revision);
  };
  for (int i = 0; i < 4; ++i) add(absl::StrCat("l", i), "large", i, "large");
  for (int i = 0; i < 2; ++i) add(absl::StrCat("s", i), "small", i, "small");
  for (int i = 0; i < 2; ++i) add(absl::StrCat("f", i), "", -1, "small");
  return out;
}

TEST(group_controller, restages_a_spare_when_the_other_model_has_none) {
  const server_directory directory = domain_with_spares();
  routing_config config;
  config.services = {engine_service()};
  group_controller_options options = idle_spares();
  options.warm_spares = false;
  group_controller controller{options};
  controller.start_term(1);
  std::vector<group_order> stages;
  absl::Time now = absl::FromUnixSeconds(1000);
  for (int i = 0; i < 20; ++i, now += step_time) {
    const auto actions = controller.step(directory, config, true, now);
    for (const auto& id : actions.report_requests) {
      controller.on_report(id, server_report{}, now);
    }
    for (const auto& order : actions.orders) {
      stages.push_back(order);
      controller.on_order_result(order, order_result::begun, now);
    }
  }
  ASSERT_EQ(stages.size(), 1U);
  EXPECT_EQ(stages[0].kind, group_order_kind::stage);
  EXPECT_EQ(stages[0].model, "large");
}

TEST(group_controller, stages_hosts_for_a_group_that_lacks_members) {
  fleet_run run = serving_fleet(10, idle_spares());
  // A second loss in one domain leaves the larger model without a spare there.
  const std::string domain = "d2";
  for (int lost = 0; lost < 2; ++lost) {
    for (const auto& [id, server] : run.fleet.directory().servers()) {
      const auto& membership = server.entry.membership;
      if (server.entry.domain != domain || membership.rank != 1) continue;
      if (group_model(membership.group) != "large") continue;
      run.fleet.kill(id, run.now);
      run.report_suspect(id);
      break;
    }
    run.run_for(absl::Seconds(5));
  }
  EXPECT_EQ(run.fleet.serving("large"), 5);
  const std::string added = run.fleet.add(domain, run.now);
  run.run_for(absl::Seconds(20));
  EXPECT_EQ(run.fleet.serving("large"), 6);
  EXPECT_EQ(run.fleet.directory().find(added)->staged,
            std::vector<std::string>{"large"});
}

/// Injects one random fault.
void inject_fault(fleet_run& run) {
  const std::string id = run.random_server();
  switch (run.random.below(7)) {
    case 0:
      run.fleet.kill(id, run.now);
      run.report_suspect(id);
      break;
    case 1:
      run.fleet.set_isolated(id, true);
      run.report_suspect(id);
      break;
    case 2:
      for (const auto& other : run.fleet.live_servers()) {
        run.fleet.set_isolated(other, false);
      }
      break;
    case 3:
      run.fleet.drain(id, run.now);
      break;
    case 4:
      run.fleet.add(absl::StrCat("d", run.random.below(6)), run.now);
      break;
    case 5: {
      // The holder fails; another one takes over once the lease has expired.
      const absl::Time since = run.now;
      while (run.now - since < absl::Milliseconds(1700)) {
        run.now += step_time;
        run.fleet.advance(run.now);
      }
      run.answers.clear();
      run.begin_term();
      break;
    }
    default:
      run.fleet.faults = {0.1 * run.random.unit(), 0.3 * run.random.unit(),
                          0.1 * run.random.unit()};
  }
}

RC_GTEST_PROP(group_controller, breaks_no_rule_under_random_faults, ()) {
  const auto seed = *rc::gen::arbitrary<uint64_t>();
  fleet_run run = serving_fleet(
      seed, seed % 2 == 0 ? idle_spares() : group_controller_options());
  for (int i = 0; i < 20; ++i) {
    inject_fault(run);
    run.run_for(absl::Milliseconds(100 + 40 * run.random.below(60)));
  }
  run.fleet.faults = {};
  for (const auto& id : run.fleet.live_servers()) {
    run.fleet.set_isolated(id, false);
  }
  run.run_for(absl::Seconds(60));
  for (const auto& breach : run.fleet.breaches()) RC_LOG() << breach << "\n";
  RC_ASSERT(run.fleet.breaches().empty());
  RC_ASSERT(run.fleet.serving("large") > 0);
  RC_ASSERT(run.fleet.serving("small") > 0);
}

}  // namespace
}  // namespace spokesail
