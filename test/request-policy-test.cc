// Routing table, choice of group, and load table.
#include <gtest/gtest.h>

#include "spokesail/engine-model.h"
#include "spokesail/load-table.h"
#include "spokesail/routing-config.h"

namespace spokesail {
namespace {

const absl::Time start = absl::FromUnixSeconds(100);

route_rule route(const std::string& name, const std::string& prefix) {
  route_rule out;
  out.name = name;
  out.host = "Callers.example";
  out.prefix = prefix;
  return out;
}

TEST(routing_table, the_longest_prefix_of_the_host_decides) {
  routing_config config;
  config.routes = {route("a", "/x/"), route("b", "/x/y/")};
  const routing_table table(config);
  EXPECT_EQ(table.find_route("callers.example", "/x/y/z")->name, "b");
  EXPECT_EQ(table.find_route("CALLERS.EXAMPLE:80", "/x/z")->name, "a");
  EXPECT_EQ(table.find_route("callers.example", "/x"), nullptr);
  EXPECT_EQ(table.find_route("other.example", "/x/y/"), nullptr);
}

TEST(routing_table, finds_workspaces_by_any_of_their_keys) {
  routing_config config;
  config.workspaces = {{"north", {"k1", "k2"}, 0}};
  const routing_table table(config);
  EXPECT_EQ(table.find_workspace("k2")->name, "north");
  EXPECT_EQ(table.find_workspace(""), nullptr);
}

engine_profile engine() {
  engine_profile out;
  out.slots = 4;
  out.decode_steps_per_pass = 5;
  out.step_ms = 6;
  out.step_ms_per_request = 0.25;
  out.prefill_tokens_per_ms = 46;
  out.models = {{"large", 4, 1, 1, absl::Seconds(16), absl::Seconds(1)}};
  return out;
}

std::optional<size_t> choose(const std::vector<group_option>& options) {
  random_stream random{std::mt19937_64(1)};
  const engine_profile e = engine();
  return choose_group(e, e.models.front(), options, {1000, 100}, random);
}

TEST(choose_group, avoids_a_group_with_pending_prefill) {
  EXPECT_EQ(choose({{"a", 2, 6000, 1, 0}, {"b", 2, 0, 1, 0}}), 1U);
}

TEST(choose_group, avoids_a_slow_group) {
  EXPECT_EQ(choose({{"a", 1, 0, 4, 0}, {"b", 2, 0, 1, 0}}), 1U);
}

TEST(choose_group, prefers_local_groups_unless_they_are_busy) {
  EXPECT_EQ(choose({{"far", 1, 0, 1, 40}, {"near", 1, 0, 1, 0}}), 1U);
  EXPECT_EQ(choose({{"far", 1, 0, 1, 40}, {"near", 3, 9000, 1, 0}}), 0U);
}

TEST(choose_group, returns_nothing_when_all_are_full) {
  EXPECT_EQ(choose({{"a", 4, 0, 1, 0}, {"b", 5, 0, 1, 0}}), std::nullopt);
}

TEST(choose_group, spreads_over_equal_groups) {
  random_stream random{std::mt19937_64(1)};
  const engine_profile e = engine();
  const std::vector<group_option> options = {{"a", 1, 0, 1, 0},
                                             {"b", 1, 0, 1, 0}};
  int first = 0;
  for (int i = 0; i < 200; ++i) {
    first +=
        *choose_group(e, e.models.front(), options, {1000, 100}, random) == 0;
  }
  EXPECT_GT(first, 60);
  EXPECT_LT(first, 140);
}

TEST(load_table, sums_own_and_peers_requests) {
  load_table loads;
  loads.begin("g", 100);
  loads.begin("g", 50);
  loads.finish_prefill("g", 100);
  loads.update_peer("n2", {{"g", 3, 10}}, start);
  EXPECT_EQ(loads.total("g", start).running, 5);
  EXPECT_EQ(loads.total("g", start).pending_prefill_tokens, 60);
  loads.end("g");
  loads.end("g");
  EXPECT_EQ(loads.own_running("g"), 0);
}

TEST(load_table, drops_a_peer_that_stops_reporting) {
  load_table loads;
  loads.update_peer("n2", {{"g", 3, 10}}, start);
  EXPECT_EQ(loads.total("g", start + load_table::peer_timeout).running, 3);
  EXPECT_EQ(
      loads.total("g", start + load_table::peer_timeout + absl::Seconds(1))
          .running,
      0);
}

TEST(load_table, a_later_report_of_a_peer_replaces_the_earlier) {
  load_table loads;
  loads.update_peer("n2", {{"g", 3, 10}, {"h", 1, 5}}, start);
  loads.update_peer("n2", {{"g", 1, 0}}, start);
  EXPECT_EQ(loads.total("g", start), (endpoint_load{"g", 1, 0}));
  EXPECT_EQ(loads.total("h", start), (endpoint_load{"h", 0, 0}));
  loads.remove_peer("n2");
  EXPECT_EQ(loads.total("g", start).running, 0);
}

TEST(load_table, sums_its_data_hall_and_the_others_separately) {
  load_table loads;
  loads.begin("g", 7);
  loads.update_peer("n2", {{"g", 3, 10}}, start);
  loads.update_peer("/east", {{"g", 4, 0}, {"h", 2, 1}}, start, true);
  const std::vector<endpoint_load> local = {{"g", 4, 17}};
  const std::vector<endpoint_load> remote = {{"g", 4, 0}, {"h", 2, 1}};
  EXPECT_EQ(loads.hall_sum(false, start), local);
  EXPECT_EQ(loads.hall_sum(true, start), remote);
  EXPECT_EQ(loads.total("g", start).running, 8);
}

}  // namespace
}  // namespace spokesail
