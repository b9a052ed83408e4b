// How well a hall's nodes know each other's requests when they choose a group.
#include "spokesail/gossip-pacer.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <vector>

#include "spokesail/engine-model.h"
#include "spokesail/load-table.h"

namespace spokesail {
namespace {

/// The load: a hall of many small nodes, each of which sends a few requests a
/// second to the same few groups.
constexpr int nodes = 30;
constexpr int groups = 4;
constexpr double requests_per_s = 105;
constexpr double mean_prompt = 714;
constexpr absl::Duration mean_run = absl::Milliseconds(1300);
/// Interval at which a node checks whether a message is due.
constexpr absl::Duration check_period = absl::Milliseconds(25);
constexpr absl::Duration tick = absl::Milliseconds(1);
constexpr absl::Duration link_delay = absl::Milliseconds(1);
constexpr absl::Duration duration = absl::Seconds(60);

engine_profile engine_of_groups() {
  engine_profile engine;
  engine.slots = 48;
  engine.decode_steps_per_pass = 5;
  engine.step_ms = 6.45;
  engine.step_ms_per_request = 0.0967;
  engine.prefill_tokens_per_ms = 56.1;
  engine.mean_prompt_tokens = mean_prompt;
  engine.mean_answer_tokens = 150;
  return engine;
}

/// A request in a group, at its node.
struct running_request {
  int node = 0;
  std::string group;
  double prompt = 0;
  absl::Time prefilled_at;
  absl::Time ends_at;
  bool prefilled = false;
};

/// A message in transit.
struct message {
  absl::Time at;
  int from = 0;
  std::vector<endpoint_load> loads;
};

/// Simulates the hall. Returns the mean number of pending prefill tokens that a
/// request met in its group, with requests reported at once (`at_once`) or by
/// the period alone.
double mean_pending_tokens(bool at_once, uint64_t seed) {
  const engine_profile engine = engine_of_groups();
  model_profile model;
  model.pace = 0.6;
  random_stream random{std::mt19937_64(seed)};
  std::vector<load_table> tables(nodes);
  std::vector<gossip_pacer> pacers(nodes);
  std::vector<double> pending(groups, 0);
  std::vector<running_request> running;
  std::deque<message> sent;
  double pending_met = 0;
  int count = 0;
  const absl::Time began = absl::FromUnixSeconds(1000);
  for (absl::Time now = began; now < began + duration; now += tick) {
    for (double& tokens : pending) {
      const double prefilled = engine.prefill_tokens_per_ms / model.pace;
      tokens = std::max(0.0, tokens - prefilled);
    }
    for (auto& r : running) {
      if (!r.prefilled && now >= r.prefilled_at) {
        r.prefilled = true;
        tables[static_cast<size_t>(r.node)].finish_prefill(r.group, r.prompt);
      }
      if (now >= r.ends_at) tables[static_cast<size_t>(r.node)].end(r.group);
    }
    std::erase_if(running, [&](const auto& r) { return now >= r.ends_at; });
    while (!sent.empty() && sent.front().at <= now) {
      const message m = std::move(sent.front());
      sent.pop_front();
      for (int n = 0; n < nodes; ++n) {
        if (n == m.from) continue;
        tables[static_cast<size_t>(n)].update_peer(absl::StrCat("n", m.from),
                                                   m.loads, now);
      }
    }
    if (random.unit() < requests_per_s * absl::ToDoubleSeconds(tick)) {
      const int node = static_cast<int>(random.below(nodes));
      load_table& table = tables[static_cast<size_t>(node)];
      std::vector<group_option> options;
      for (int g = 0; g < groups; ++g) {
        const endpoint_load load = table.total(absl::StrCat("g", g), now);
        options.push_back({absl::StrCat("g", g), load.running,
                           load.pending_prefill_tokens, 1, 0});
      }
      const double prompt = 2 * mean_prompt * random.unit();
      const auto chosen =
          choose_group(engine, model, options, {prompt, 150}, random);
      if (chosen) {
        pending_met += pending[*chosen];
        ++count;
        pending[*chosen] += prompt;
        const absl::Time first =
            now + absl::Milliseconds(80 + pending[*chosen] * model.pace /
                                              engine.prefill_tokens_per_ms);
        const absl::Time end = now + 2 * mean_run * random.unit();
        running.push_back(
            {node, options[*chosen].name, prompt, first, std::max(end, first)});
        table.begin(options[*chosen].name, prompt);
      }
    }
    for (int n = 0; n < nodes; ++n) {
      // Nodes check at different moments.
      const absl::Duration since = now - began + n * tick;
      if (since % check_period != absl::ZeroDuration()) continue;
      const auto at = static_cast<size_t>(n);
      const uint64_t begun = at_once ? tables[at].requests_begun() : 0;
      if (!pacers[at].due(begun, nodes - 1, now)) continue;
      pacers[at].on_sent(begun, nodes - 1, now);
      sent.push_back({now + link_delay, n, tables[at].own_loads()});
    }
  }
  return pending_met / count;
}

TEST(gossip_pacer, immediate_reports_spread_requests_over_groups) {
  double at_once = 0;
  double by_period = 0;
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    at_once += mean_pending_tokens(true, seed);
    by_period += mean_pending_tokens(false, seed);
  }
  RecordProperty("at_once", absl::StrCat(at_once / 3));
  RecordProperty("by_period", absl::StrCat(by_period / 3));
  EXPECT_LT(at_once, 0.85 * by_period);
}

TEST(gossip_pacer, a_node_without_new_requests_waits_for_the_period) {
  constexpr int peers = 29;
  gossip_pacer pacer;
  absl::Time now = absl::FromUnixSeconds(1000);
  EXPECT_TRUE(pacer.due(0, peers, now));
  pacer.on_sent(0, peers, now);
  EXPECT_FALSE(pacer.due(0, peers, now + absl::Milliseconds(180)));
  EXPECT_TRUE(pacer.due(0, peers, now + absl::Milliseconds(182)));
}

/// Halls of a fleet of 45, 490, 1,085, 2,500 and 5,000 nodes.
TEST(gossip_pacer, reports_outlast_a_lost_datagram_in_a_hall_of_any_size) {
  constexpr absl::Duration node_check_period = absl::Milliseconds(25);
  for (const int peers : {8, 97, 216, 499, 999}) {
    const absl::Duration period = gossip_pacer::period(peers);
    const absl::Duration next_but_one = 2 * (period + node_check_period);
    EXPECT_GT(gossip_pacer::report_lifetime(peers), next_but_one) << peers;
    EXPECT_GT(gossip_pacer::silence_timeout(peers), period + next_but_one)
        << peers;
    EXPECT_LE(peers / absl::ToDoubleSeconds(period),
              gossip_pacer::messages_per_s + 1e-6)
        << peers;
  }
}

TEST(gossip_pacer, a_hall_of_500_counts_the_requests_of_a_silent_node) {
  constexpr int peers = 499;
  const absl::Time now = absl::FromUnixSeconds(1000);
  load_table table;
  table.set_local_lifetime(gossip_pacer::report_lifetime(peers));
  table.update_peer("n1", {{"g", 3, 0}}, now);
  table.update_peer("far", {{"g", 2, 0}}, now, true);
  const absl::Duration period = gossip_pacer::period(peers);
  EXPECT_EQ(table.total("g", now + 2 * period).running, 3);
  EXPECT_EQ(table.total("g", now + 3 * period).running, 0);
}

TEST(gossip_pacer, new_requests_are_reported_at_a_bounded_rate) {
  constexpr int peers = 300;
  gossip_pacer pacer;
  const absl::Time now = absl::FromUnixSeconds(1000);
  pacer.on_sent(0, peers, now);
  EXPECT_FALSE(pacer.due(1, peers, now + absl::Milliseconds(499)));
  EXPECT_TRUE(pacer.due(1, peers, now + absl::Milliseconds(500)));
}

}  // namespace
}  // namespace spokesail
