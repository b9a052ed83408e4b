// How nodes learn of each other without reading the whole list from the store.
#include "spokesail/peer-table.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace spokesail {
namespace {

constexpr int halls = 7;
constexpr int seed_count = 3;
constexpr absl::Duration hello_period = absl::Seconds(1);

peer_info describe(int i) {
  return {absl::StrCat("n", i), absl::StrCat("10.0.", i / 250, ".", i, ":7"),
          absl::StrCat("h", i % halls), 0.125F};
}

/// A fleet in virtual time. Nodes of a hall send messages to each other as they
/// do to report their load; all other knowledge comes from queries.
class fleet {
 public:
  explicit fleet(int size)
      : dead(static_cast<size_t>(size)),
        pacers(static_cast<size_t>(size)),
        next_exchange(static_cast<size_t>(size), absl::InfinitePast()) {
    for (int i = 0; i < size; ++i) {
      this->tables.push_back(std::make_unique<peer_table>(describe(i)));
    }
  }

  int size() const { return static_cast<int>(this->tables.size()); }
  peer_table& table(int i) { return *this->tables[static_cast<size_t>(i)]; }

  /// All nodes start at once and ask the seeds, then each other.
  void start() {
    constexpr int rounds = 6;
    for (int round = 0; round < rounds; ++round) {
      for (int i = 0; i < this->size(); ++i) this->ask_for_sample(i, round);
      this->now += absl::Milliseconds(100);
    }
    this->say_hello();
  }

  /// Runs for `time`, with the messages of a running fleet.
  void run_for(absl::Duration time) {
    const absl::Time until = this->now + time;
    while (this->now < until) {
      this->now += hello_period;
      this->say_hello();
      for (int i = 0; i < this->size(); ++i) this->exchange_if_due(i);
    }
  }

  void kill(int i) { this->dead[static_cast<size_t>(i)] = true; }

  /// Number of nodes of its own hall that a node counts as alive.
  size_t live_local(int i) {
    return this->table(i).live_local_peers(this->now).size();
  }
  /// Number of nodes that a node can reach in other halls.
  int remote(int i) { return this->table(i).count_reachable(true, this->now); }

  /// Entries and messages sent in response to queries so far.
  size_t nodes_sent = 0;
  size_t largest_report = 0;
  std::vector<size_t> sample_requests = std::vector<size_t>(seed_count);

 private:
  bool is_dead(int i) const { return this->dead[static_cast<size_t>(i)]; }

  void deliver(int from, int to, bool sample) {
    if (this->is_dead(from) || this->is_dead(to) || from == to) return;
    this->table(to).on_message(describe(from), this->now);
    const peer_query query = this->table(from).query(1, sample, this->now);
    for (const auto& report : this->table(to).answer(query, describe(from).name,
                                                     this->random, this->now)) {
      size_t nodes = 0;
      for (const auto& hall : report.halls) nodes += hall.nodes.size();
      this->nodes_sent += nodes;
      this->largest_report = std::max(this->largest_report, nodes);
      this->table(from).on_message(describe(to), this->now);
      const bool learned = this->table(from).apply(report, this->now);
      if (learned) this->pacers[static_cast<size_t>(from)].on_learned();
    }
  }

  void ask_for_sample(int i, int round) {
    const std::string known =
        this->table(i).random_local_peer(this->random, this->now);
    if (round % 2 == 1 && !known.empty()) {
      this->deliver(i, std::stoi(known.substr(1)), true);
      return;
    }
    for (int seed = 0; seed < seed_count; ++seed) {
      ++this->sample_requests[static_cast<size_t>(seed)];
      this->deliver(i, seed, true);
    }
  }

  void exchange_if_due(int i) {
    const auto at = static_cast<size_t>(i);
    if (this->now < this->next_exchange[at]) return;
    this->next_exchange[at] = this->now + this->pacers[at].next_delay();
    const std::string peer =
        this->table(i).next_partner(this->random, this->now);
    if (!peer.empty()) this->deliver(i, std::stoi(peer.substr(1)), false);
  }

  void say_hello() {
    for (int i = 0; i < this->size(); ++i) {
      if (this->is_dead(i)) continue;
      for (const auto& name : this->table(i).reachable_in(false, this->now)) {
        const int to = std::stoi(name.substr(1));
        if (!this->is_dead(to)) {
          this->table(to).on_message(describe(i), this->now);
        }
      }
    }
  }

  std::vector<std::unique_ptr<peer_table>> tables;
  std::vector<bool> dead;
  random_stream random{std::mt19937_64(20261203)};
  absl::Time now = absl::FromUnixSeconds(1000);
  std::vector<exchange_pacer> pacers;
  std::vector<absl::Time> next_exchange;
};

size_t hall_size(int fleet_size, int i) {
  size_t count = 0;
  for (int other = i % halls; other < fleet_size; other += halls) ++count;
  return count;
}

class peer_table_fleet : public testing::TestWithParam<int> {};

TEST_P(peer_table_fleet, that_starts_at_once_knows_itself_without_the_store) {
  fleet nodes(GetParam());
  nodes.start();
  nodes.run_for(absl::Seconds(5));
  for (int i = 0; i < nodes.size(); ++i) {
    ASSERT_EQ(nodes.live_local(i), hall_size(nodes.size(), i) - 1) << i;
  }
  nodes.run_for(absl::Seconds(6));
  for (int i = 0; i < nodes.size(); ++i) {
    const size_t others =
        static_cast<size_t>(nodes.size()) - hall_size(nodes.size(), i);
    ASSERT_EQ(static_cast<size_t>(nodes.remote(i)), others) << i;
  }
}

TEST_P(peer_table_fleet, that_does_not_change_sends_no_lists) {
  fleet nodes(GetParam());
  nodes.start();
  nodes.run_for(absl::Seconds(30));
  const size_t sent = nodes.nodes_sent;
  nodes.run_for(absl::Seconds(10));
  EXPECT_EQ(nodes.nodes_sent, sent);
  EXPECT_LE(nodes.largest_report, peer_table::max_nodes_per_report);
}

TEST_P(peer_table_fleet, that_lost_a_node_does_not_keep_it_alive) {
  fleet nodes(GetParam());
  nodes.start();
  nodes.run_for(absl::Seconds(10));
  nodes.kill(seed_count);
  nodes.run_for(gossip_pacer::min_silence_timeout + absl::Seconds(1));
  for (int i = seed_count + halls; i < nodes.size(); i += halls) {
    ASSERT_EQ(nodes.live_local(i), hall_size(nodes.size(), i) - 2) << i;
  }
}

INSTANTIATE_TEST_SUITE_P(sizes, peer_table_fleet, testing::Values(9, 295, 984));

/// Each node asks one other hall each ten seconds, and there are six of them.
TEST(peer_table, does_not_forget_nodes_of_other_halls) {
  constexpr int size = 150;
  fleet nodes(size);
  nodes.start();
  nodes.run_for(absl::Seconds(30));
  for (int round = 0; round < 15; ++round) {
    nodes.run_for(absl::Seconds(10));
    for (int i = 0; i < size; ++i) {
      const size_t others = static_cast<size_t>(size) - hall_size(size, i);
      ASSERT_EQ(static_cast<size_t>(nodes.remote(i)), others) << i;
    }
  }
}

/// The list of 2,000 nodes, as one node sends it to another that knows none.
TEST(peer_table, splits_a_list_of_2000_nodes_over_datagrams) {
  const absl::Time now = absl::FromUnixSeconds(1000);
  peer_table table(describe(0));
  for (int i = 1; i < 2000; ++i) table.on_message(describe(i), now);
  random_stream random;
  const auto reports = table.answer({1, false, {}}, "n5", random, now);
  size_t nodes = 0;
  for (const auto& report : reports) {
    size_t in_report = 0;
    for (const auto& hall : report.halls) in_report += hall.nodes.size();
    EXPECT_LE(in_report, peer_table::max_nodes_per_report);
    nodes += in_report;
  }
  // It answers for its own hall; it never heard what other halls know.
  EXPECT_EQ(nodes, hall_size(2000, 0));
}

/// An answer of a seed does not grow with the fleet.
TEST(peer_table, sends_a_starting_node_a_few_nodes_of_each_hall) {
  const absl::Time now = absl::FromUnixSeconds(1000);
  random_stream random;
  for (const int size : {295, 984, 2000}) {
    peer_table table(describe(0));
    for (int i = 1; i < size; ++i) table.on_message(describe(i), now);
    const auto reports = table.answer({1, true, {}}, "n7", random, now);
    ASSERT_EQ(reports.size(), 1U);
    size_t nodes = 0;
    for (const auto& hall : reports.front().halls) nodes += hall.nodes.size();
    EXPECT_EQ(nodes, peer_table::sample_of_hall +
                         (halls - 1) * peer_table::sample_of_other_halls);
  }
}

}  // namespace
}  // namespace spokesail
