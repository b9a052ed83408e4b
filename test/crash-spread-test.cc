// What all nodes of a fleet know of a request that crashes servers, and when,
// with packets lost, in virtual time.
#include "spokesail/crash-spread.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <memory>

namespace spokesail {
namespace {

const absl::Time start = absl::UnixEpoch();
const request_identity guilty{1, 10};

/// Nodes that tell each other in rounds.
class spread_fleet {
 public:
  spread_fleet(int nodes, double lost, uint64_t seed)
      : lost(lost), random{std::mt19937_64(seed)} {
    for (int i = 0; i < nodes; ++i) {
      this->names.push_back(absl::StrCat("n", i));
      this->nodes.push_back({{}, crash_spread(this->names.back())});
    }
  }

  void next_round() {
    this->now += absl::Milliseconds(100);
    std::vector<crash_spread::message> all;
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      std::vector<std::string> peers = this->names;
      peers.erase(peers.begin() + static_cast<ptrdiff_t>(i));
      for (auto& m : this->nodes[i].spread.next_round(
               this->nodes[i].ledger, peers, this->random, this->now)) {
        all.push_back(std::move(m));
      }
    }
    this->sent += all.size();
    for (const auto& m : all) {
      if (this->random.unit() < this->lost) continue;
      const auto to = std::find(this->names.begin(), this->names.end(), m.peer);
      for (const auto& news : m.news) {
        this->nodes[to - this->names.begin()].ledger.merge_update(news,
                                                                  this->now);
      }
    }
  }

  void crash(size_t node, int server) {
    this->nodes[node].ledger.add_crash(guilty, static_cast<uint64_t>(server),
                                       {run_progress::start, true, true},
                                       this->now);
  }

  size_t knowing() const {
    size_t out = 0;
    for (const auto& n : this->nodes) out += n.ledger.quarantined(guilty);
    return out;
  }

  struct node {
    crash_tracker ledger;
    crash_spread spread;
  };
  std::vector<std::string> names;
  std::vector<node> nodes;
  double lost;
  random_stream random;
  absl::Time now = start;
  size_t sent = 0;
};

/// Rounds in 2 s, two thirds of the time that nodes have to know.
constexpr int rounds_allowed = 20;

TEST(crash_spread, all_nodes_know_in_time_with_one_packet_in_ten_lost) {
  for (const int nodes : {3, 9, 89, 295}) {
    for (uint64_t seed = 1; seed <= 20; ++seed) {
      spread_fleet fleet(nodes, 0.1, seed);
      // Two crashes at one node, the third at another.
      fleet.crash(0, 1);
      fleet.crash(0, 2);
      fleet.crash(1, 3);
      int rounds = 0;
      while (fleet.knowing() < fleet.nodes.size() && rounds < rounds_allowed) {
        fleet.next_round();
        ++rounds;
      }
      EXPECT_EQ(fleet.knowing(), fleet.nodes.size())
          << nodes << " nodes, seed " << seed;
    }
  }
}

TEST(crash_spread, single_crashes_at_different_nodes_are_put_together) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    spread_fleet fleet(89, 0.1, seed);
    for (int i = 0; i < 3; ++i) fleet.crash(static_cast<size_t>(10 * i), i);
    for (int i = 0; i < rounds_allowed; ++i) fleet.next_round();
    EXPECT_EQ(fleet.knowing(), fleet.nodes.size()) << "seed " << seed;
  }
}

TEST(crash_spread, all_nodes_hear_that_a_request_is_cleared) {
  spread_fleet fleet(89, 0.1, 1);
  for (int i = 0; i < 3; ++i) fleet.crash(0, i);
  for (int i = 0; i < rounds_allowed; ++i) fleet.next_round();
  ASSERT_EQ(fleet.knowing(), fleet.nodes.size());
  fleet.nodes[5].ledger.add_progress(guilty, run_progress::completed,
                                     fleet.now);
  for (int i = 0; i < rounds_allowed; ++i) fleet.next_round();
  EXPECT_EQ(fleet.knowing(), 0U);
}

TEST(crash_spread, falls_silent_once_all_know) {
  spread_fleet fleet(89, 0, 1);
  for (int i = 0; i < 3; ++i) fleet.crash(0, i);
  for (int i = 0; i < 40; ++i) fleet.next_round();
  const size_t sent = fleet.sent;
  for (int i = 0; i < 40; ++i) fleet.next_round();
  EXPECT_EQ(fleet.sent, sent);
}

TEST(crash_spread, a_single_crash_is_told_to_few) {
  spread_fleet fleet(295, 0, 1);
  fleet.crash(0, 1);
  for (int i = 0; i < 40; ++i) fleet.next_round();
  const size_t most = crash_spread::collectors *
                      (crash_spread::collectors + 1) *
                      crash_spread::collector_rounds;
  EXPECT_LE(fleet.sent, most);
}

TEST(crash_spread, a_burst_larger_than_one_message_is_told_whole) {
  spread_fleet fleet(9, 0, 1);
  const int requests = 3 * static_cast<int>(crash_spread::max_updates);
  for (int r = 0; r < requests; ++r) {
    for (uint64_t s = 0; s < 3; ++s) {
      fleet.nodes[0].ledger.add_crash({2, static_cast<uint64_t>(r)}, s,
                                      {run_progress::start, true, true},
                                      fleet.now);
    }
  }
  for (int i = 0; i < 100; ++i) fleet.next_round();
  for (const auto& n : fleet.nodes) {
    EXPECT_EQ(n.ledger.requests_over_threshold().size(),
              static_cast<size_t>(requests));
  }
}

}  // namespace
}  // namespace spokesail
