// Slow and failing endpoints among normal ones, in virtual time. Each test
// names its load.
#include "spokesail/speed-table.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <functional>
#include <map>
#include <optional>

#include "node-message.h"
#include "spokesail/hash.h"

namespace spokesail {
namespace {

const absl::Time begin = absl::FromUnixSeconds(1000);

std::string endpoint_name(int endpoint) {
  // As long as the names of real groups and servers.
  return "dele69a-large-" + std::to_string(100000 + endpoint);
}

endpoint_id id_of(int endpoint, int64_t epoch = 1) {
  return {"lm/large", endpoint_name(endpoint), epoch};
}

/// The time that a request takes at an endpoint, relative to what was expected;
/// nothing if it fails.
using endpoint_latency = std::function<std::optional<double>(
    int node, int endpoint, absl::Time now)>;

/// Nodes of one data hall that choose endpoints by slowness and report measured
/// speeds to each other.
struct simulated_hall {
  int nodes = 1;
  int endpoints = 10;
  /// Requests that one node sends in a step of 50 ms.
  int requests = 3;
  endpoint_latency answer = nullptr;
  absl::Time now = begin;
  std::vector<speed_table> tables = std::vector<speed_table>(nodes);
  random_stream random{std::mt19937_64(7)};
  /// Requests that each endpoint received since the last reset.
  std::map<int, int> received = {};

  void run(absl::Duration time) {
    const absl::Time until = this->now + time;
    for (int step = 0; this->now < until; ++step) {
      for (int node = 0; node < this->nodes; ++node) this->send(node);
      if (step % 10 == 0) this->gossip();
      this->now += absl::Milliseconds(50);
    }
  }

  void send(int node) {
    speed_table& table = this->tables[node];
    for (int i = 0; i < this->requests; ++i) {
      const int endpoint = this->choose(node);
      this->received[endpoint]++;
      const auto ratio = this->answer(node, endpoint, this->now);
      if (ratio) table.add_sample(id_of(endpoint), *ratio, this->now);
      if (!ratio) table.record_failure(id_of(endpoint), this->now);
    }
  }

  /// The cheapest of three endpoints drawn at random.
  int choose(int node) {
    const std::vector<double> cost = this->slowness(node);
    int best = static_cast<int>(this->random.below(this->endpoints));
    for (int i = 0; i < 2; ++i) {
      const int other = static_cast<int>(this->random.below(this->endpoints));
      if (cost[other] < cost[best]) best = other;
    }
    return best;
  }

  std::vector<double> slowness(int node) {
    std::vector<double> out;
    for (int endpoint = 0; endpoint < this->endpoints; ++endpoint) {
      out.push_back(
          this->tables[node].slowness(endpoint_name(endpoint), this->now));
    }
    return bound_slowness(std::move(out));
  }

  void gossip() {
    for (int from = 0; from < this->nodes; ++from) {
      const auto report = this->tables[from].reported(this->now);
      for (int to = 0; to < this->nodes; ++to) {
        if (to == from) continue;
        this->tables[to].update_peer(std::to_string(from), report, this->now);
      }
    }
  }

  /// Fraction of all requests that went to the first endpoints.
  double share_of_first(int first) const {
    double at_first = 0;
    double all = 0;
    for (const auto& [endpoint, count] : this->received) {
      all += count;
      if (endpoint < first) at_first += count;
    }
    return at_first / all;
  }
};

/// Response times that vary by a factor of two both ways.
double varied_latency(simulated_hall& hall) {
  return std::exp2(2 * hall.random.unit() - 1);
}

TEST(speed_table, two_of_ten_groups_at_a_quarter_of_their_speed_get_less) {
  simulated_hall hall{.nodes = 4};
  hall.answer = [&](int, int endpoint, absl::Time) {
    return std::optional<double>((endpoint < 2 ? 4 : 1) * varied_latency(hall));
  };
  hall.run(absl::Seconds(3));
  hall.received.clear();
  hall.run(absl::Seconds(5));
  EXPECT_LT(hall.share_of_first(2), 0.05);
  for (int node = 0; node < hall.nodes; ++node) {
    const auto slowness = hall.slowness(node);
    for (int endpoint = 2; endpoint < hall.endpoints; ++endpoint) {
      EXPECT_EQ(slowness[endpoint], 1) << node << " " << endpoint;
    }
  }
}

TEST(speed_table, forty_of_a_hundred_servers_at_a_twelfth_get_less) {
  simulated_hall hall{.nodes = 20, .endpoints = 100};
  hall.answer = [&](int, int endpoint, absl::Time) {
    return std::optional<double>((endpoint < 40 ? 12 : 1) *
                                 varied_latency(hall));
  };
  hall.run(absl::Seconds(4));
  hall.received.clear();
  hall.run(absl::Seconds(4));
  // Equal shares would give 0.4.
  EXPECT_LT(hall.share_of_first(40), 0.2);
}

TEST(speed_table, an_endpoint_slow_for_one_node_is_slow_for_that_node_only) {
  simulated_hall hall{.nodes = 10};
  hall.answer = [&](int node, int endpoint, absl::Time) {
    const bool slow = node == 0 && endpoint == 0;
    return std::optional<double>((slow ? 6 : 1) * varied_latency(hall));
  };
  hall.run(absl::Seconds(2));
  int seen_slow = 0;
  for (int i = 0; i < 40; ++i) {
    hall.run(absl::Milliseconds(100));
    seen_slow += hall.slowness(0)[0] > 1;
    for (int node = 1; node < hall.nodes; ++node) {
      EXPECT_EQ(hall.slowness(node)[0], 1) << node;
    }
  }
  // It is slow only part of the time, since it is tried again.
  EXPECT_GT(seen_slow, 5);
}

TEST(speed_table, a_server_that_fails_four_in_ten_gets_less) {
  simulated_hall hall{.nodes = 4};
  hall.answer = [&](int, int endpoint, absl::Time) -> std::optional<double> {
    if (endpoint == 0 && hall.random.unit() < 0.4) return std::nullopt;
    return varied_latency(hall);
  };
  hall.run(absl::Seconds(2));
  hall.received.clear();
  hall.run(absl::Seconds(5));
  // An equal share would be 0.1.
  EXPECT_LT(hall.share_of_first(1), 0.04);
}

TEST(speed_table, if_all_fail_a_few_requests_none_is_slow) {
  simulated_hall hall{.nodes = 4};
  hall.answer = [&](int, int, absl::Time) -> std::optional<double> {
    if (hall.random.unit() < 0.05) return std::nullopt;
    return 1;
  };
  hall.run(absl::Seconds(6));
  int slow = 0;
  for (int node = 0; node < hall.nodes; ++node) {
    for (const double s : hall.slowness(node)) slow += s > 1;
  }
  EXPECT_EQ(slow, 0);
}

TEST(speed_table, if_all_are_equally_slow_none_is_slow) {
  simulated_hall hall{.nodes = 4};
  hall.answer = [&](int, int, absl::Time) {
    return std::optional<double>(8 * varied_latency(hall));
  };
  hall.run(absl::Seconds(4));
  for (int node = 0; node < hall.nodes; ++node) {
    EXPECT_EQ(hall.slowness(node), std::vector<double>(hall.endpoints, 1.0));
    EXPECT_TRUE(hall.tables[node].reported(hall.now).empty());
  }
}

TEST(speed_table, a_group_whose_requests_end_unanswered_is_slow) {
  speed_table table;
  for (int endpoint = 0; endpoint < 4; ++endpoint) {
    for (int i = 0; i < 12; ++i) {
      if (endpoint == 0) table.add_unanswered(id_of(endpoint), 5, begin);
      if (endpoint != 0) table.add_sample(id_of(endpoint), 1, begin);
    }
  }
  EXPECT_GT(table.slowness(endpoint_name(0), begin), 3);
}

TEST(speed_table, callers_that_disconnect_early_have_no_effect) {
  speed_table table;
  for (int i = 0; i < 12; ++i) table.add_unanswered(id_of(0), 0.5, begin);
  EXPECT_TRUE(table.empty());
}

TEST(speed_table, one_slow_first_event_has_no_effect) {
  speed_table table;
  for (int endpoint = 0; endpoint < 4; ++endpoint) {
    for (int i = 0; i < 5; ++i) table.add_sample(id_of(endpoint), 1, begin);
  }
  table.add_sample(id_of(0), 50, begin);
  table.add_sample(id_of(9), 50, begin);
  EXPECT_EQ(table.slowness(endpoint_name(0), begin), 1);
  EXPECT_EQ(table.slowness(endpoint_name(9), begin), 1);
  EXPECT_TRUE(table.reported(begin).empty());
}

/// A table in which the first of four endpoints is slow.
speed_table with_one_slow() {
  speed_table out;
  for (int endpoint = 0; endpoint < 4; ++endpoint) {
    for (int i = 0; i < 12; ++i) {
      out.add_sample(id_of(endpoint), endpoint == 0 ? 4 : 1, begin);
    }
  }
  return out;
}

TEST(speed_table, a_group_formed_anew_is_not_slow) {
  speed_table table = with_one_slow();
  ASSERT_GT(table.slowness(endpoint_name(0), begin), 3);
  table.set_epoch(id_of(0, 2), begin);
  // A peer that has not learned of the new epoch still reports the former
  // group.
  table.update_peer("peer", {{endpoint_name(0), 4, 12}}, begin);
  const absl::Time later = begin + absl::Milliseconds(400);
  EXPECT_EQ(table.slowness(endpoint_name(0), later), 1);
}

TEST(speed_table, a_formerly_slow_endpoint_is_tried_again_gradually) {
  speed_table table = with_one_slow();
  const double first = table.slowness(endpoint_name(0), begin);
  const double later =
      table.slowness(endpoint_name(0), begin + absl::Seconds(5));
  EXPECT_LT(later, first);
  EXPECT_GT(later, 1);
  EXPECT_EQ(table.slowness(endpoint_name(0), begin + speed_table::sample_ttl),
            1);
}

TEST(speed_table, a_silent_peers_report_expires) {
  speed_table table;
  table.update_peer("peer", {{endpoint_name(0), 4, 12}}, begin);
  EXPECT_GT(table.slowness(endpoint_name(0), begin), 3);
  EXPECT_EQ(
      table.slowness(endpoint_name(0), begin + 2 * speed_table::peer_timeout),
      1);
}

TEST(speed_table, reports_each_change_once) {
  speed_table table = with_one_slow();
  table.slowness(endpoint_name(0), begin);
  table.slowness(endpoint_name(0), begin + absl::Seconds(1));
  const auto slow = table.take_changes();
  ASSERT_EQ(slow.size(), 1U);
  EXPECT_EQ(slow[0].speed.endpoint, endpoint_name(0));
  EXPECT_EQ(slow[0].age, absl::ZeroDuration());
  table.slowness(endpoint_name(0), begin + absl::Seconds(13));
  const auto fast = table.take_changes();
  ASSERT_EQ(fast.size(), 1U);
  EXPECT_EQ(fast[0].speed.slowness, 1);
}

using bound = std::function<std::vector<double>(std::vector<double>)>;

/// Whether at most the stated share is slow, no slowness was increased, and no
/// endpoint is slow when most are.
bool respects_bound(const bound& policy, const std::vector<double>& slowness) {
  const std::vector<double> out = policy(slowness);
  size_t slow_before = 0;
  size_t slow_after = 0;
  for (size_t i = 0; i < out.size(); ++i) {
    if (out[i] > slowness[i]) return false;
    slow_before += slowness[i] > 1;
    slow_after += out[i] > 1;
  }
  if (2 * slow_before > slowness.size() && slow_after > 0) return false;
  return slow_after <= max_slow_endpoints(slowness.size()) &&
         2 * slow_after <= slowness.size();
}

std::vector<double> draw_slowness() {
  const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
  std::vector<double> out;
  for (const int step : steps) out.push_back(1 + std::max(0, step - 6) / 2.0);
  return out;
}

TEST(bound_slowness, never_penalizes_more_than_the_stated_share) {
  EXPECT_TRUE(rc::check(
      [] { RC_ASSERT(respects_bound(bound_slowness, draw_slowness())); }));
}

TEST(bound_slowness, the_check_detects_a_policy_without_the_bound) {
  const bound mutant = [](std::vector<double> all) { return all; };
  EXPECT_FALSE(respects_bound(mutant, {4, 4, 4, 4, 4, 1, 1, 1, 1, 1}));
  EXPECT_FALSE(respects_bound(mutant, {4, 4, 4, 1}));
}

TEST(bound_slowness, only_the_slowest_are_penalized) {
  EXPECT_EQ(bound_slowness({2, 3, 1, 1}), (std::vector<double>{1, 3, 1, 1}));
  EXPECT_EQ(bound_slowness({3, 1}), (std::vector<double>{3, 1}));
  EXPECT_EQ(bound_slowness({3}), (std::vector<double>{1}));
}

/// Bytes that the reports add to one datagram.
size_t report_bytes(const std::vector<endpoint_speed>& speeds) {
  node_message with;
  with.node = "front-ist-a-12";
  with.hall = "ist-a";
  gossip report;
  with.content = report;
  const size_t without = encode(with).size();
  report.speeds = speeds;
  with.content = report;
  return encode(with).size() - without;
}

TEST(speed_bytes, reports_are_few_and_bounded) {
  EXPECT_EQ(report_bytes({}), 0U);
  speed_table table;
  for (int endpoint = 0; endpoint < 100; ++endpoint) {
    for (int i = 0; i < 5; ++i) {
      table.add_sample(id_of(endpoint), endpoint < 45 ? 4 : 1, begin);
    }
  }
  const auto reported = table.reported(begin);
  EXPECT_EQ(reported.size(), speed_table::max_reported);
  EXPECT_LE(report_bytes(reported), 800U);
  RecordProperty("bytes", static_cast<int>(report_bytes(reported)));
  RecordProperty("bytes_of_one",
                 static_cast<int>(report_bytes({reported.front()})));
}

/// Measures the bytes that the reports add to one node's datagrams in a data
/// hall. A node sends a datagram to each of the others, twice a second if there
/// is nothing else to send.
void measure_bytes(int nodes, int endpoints, int slow) {
  simulated_hall hall{.nodes = nodes, .endpoints = endpoints};
  hall.answer = [&](int, int endpoint, absl::Time) {
    return std::optional<double>((endpoint < slow ? 4 : 1) *
                                 varied_latency(hall));
  };
  hall.run(absl::Seconds(3));
  size_t most = 0;
  size_t sum = 0;
  for (int node = 0; node < nodes; ++node) {
    const size_t bytes = report_bytes(hall.tables[node].reported(hall.now));
    most = std::max(most, bytes);
    sum += bytes;
  }
  EXPECT_LE(most, 800U);
  testing::Test::RecordProperty("most", static_cast<int>(most));
  testing::Test::RecordProperty("mean",
                                static_cast<int>(sum / hall.tables.size()));
  printf("speed_bytes nodes=%d most=%zu mean=%zu\n", nodes, most,
         sum / hall.tables.size());
}

TEST(speed_bytes, a_hall_of_28_of_83_nodes) { measure_bytes(28, 10, 2); }
TEST(speed_bytes, a_hall_of_98_of_295_nodes) { measure_bytes(98, 30, 6); }

}  // namespace
}  // namespace spokesail
