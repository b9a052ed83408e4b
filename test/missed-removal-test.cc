// Removals of servers reach each node, whatever fails on the way.
//
// Guards against nodes that send requests to a server long after its entry has
// gone. A relay that had just started sent "all changes" since a revision from
// before its first list, without the removals that it could not know; and a
// server whose entry went and returned while the lease holder stood still was
// forgotten by all nodes that followed it, so that the next holder did not pass
// on the server's real end.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "relay-fleet.h"

namespace spokesail {
namespace {

using test::relay_fleet;
using test::relay_mutant;

constexpr absl::Duration link_delay = absl::Milliseconds(1);
/// Covers a chain of 16 relays whose ages arrive with responses only.
constexpr absl::Duration settle_time = absl::Seconds(5);

absl::Duration sound_link(const relay_fleet::message&) { return link_delay; }

/// The holder, and then the relay below it, start again while a server's entry
/// goes. The last node of the chain comes to know of neither until later.
bool removal_passes_restarts(relay_mutant mutant) {
  relay_fleet fleet({0, 1, 2}, sound_link);
  fleet.mutated = mutant;
  for (int i = 0; i < 9; ++i) fleet.change(i);
  fleet.run_for(absl::Seconds(1));
  fleet.freeze(0, absl::Seconds(1));
  fleet.freeze(3, absl::Seconds(1));
  fleet.remove(4);
  fleet.run_for(absl::Milliseconds(200));
  fleet.restart(0);
  fleet.restart(1);
  fleet.run_for(absl::Seconds(1) + settle_time);
  return fleet.agree();
}

TEST(missed_removal, removal_before_a_restart_reaches_all_followers) {
  EXPECT_TRUE(removal_passes_restarts(relay_mutant::none));
  EXPECT_FALSE(removal_passes_restarts(relay_mutant::always_changes));
  EXPECT_FALSE(removal_passes_restarts(relay_mutant::keeps_missing));
}

/// A server whose entry goes and returns while the holder is frozen, and then
/// goes under the next holder.
bool returned_server_is_kept(relay_mutant mutant) {
  relay_fleet fleet({0, 0, 1}, sound_link);
  fleet.mutated = mutant;
  for (int i = 0; i < 9; ++i) fleet.change(i);
  fleet.run_for(absl::Seconds(1));
  fleet.freeze(0, absl::Milliseconds(500));
  fleet.remove(4);
  fleet.change(4);
  fleet.change(5);
  fleet.run_for(settle_time);
  return fleet.agree();
}

TEST(missed_removal, server_that_returned_in_the_same_answer_is_kept) {
  EXPECT_TRUE(returned_server_is_kept(relay_mutant::none));
  EXPECT_FALSE(returned_server_is_kept(relay_mutant::removals_at_answer));
}

/// Kills, freezes, changes of relays and of the holder, lost and delayed
/// messages, and servers that go and return, in an order drawn from a seed.
class random_faults {
 public:
  random_faults(int nodes, uint64_t seed, relay_mutant mutant)
      : nodes(nodes),
        random{std::mt19937_64(seed)},
        loss(0.3 * random.unit()),
        fleet(this->draw_parents(), [this](const relay_fleet::message&) {
          return this->draw_delay();
        }) {
    this->fleet.mutated = mutant;
    // Lists take several messages in half of the runs.
    if (this->random.below(2) == 0) this->fleet.limits.changes = 4;
    // Entries that go are kept for a while in half of the runs.
    if (this->random.below(2) == 0)
      this->fleet.removal_grace = absl::Milliseconds(300);
  }

  /// Whether no node was wrong about the revision that it had, and all agree
  /// with the store after the last fault.
  bool holds() {
    constexpr int steps = 40;
    for (int i = 0; i < 20; ++i) this->fleet.change();
    this->fleet.run_for(absl::Seconds(1));
    for (int i = 0; i < steps; ++i) {
      this->change_servers();
      this->fail();
      this->fleet.run_for(absl::Milliseconds(20 + this->random.below(150)));
    }
    this->loss = 0;
    this->fleet.run_for(settle_time);
    return this->fleet.agree() && this->fleet.breaches() == 0;
  }

 private:
  std::vector<int> draw_parents() {
    std::vector<int> out;
    for (int i = 1; i < this->nodes; ++i) {
      // Chains of up to about a dozen relays.
      const int nearest = std::max(0, i - 1 - this->nodes / 8);
      out.push_back(nearest + this->below(i - nearest));
    }
    return out;
  }

  absl::Duration draw_delay() {
    if (this->random.unit() < this->loss) return relay_fleet::lost;
    return link_delay * (1 + 20 * this->random.unit() * this->random.unit());
  }

  int below(int count) {
    return static_cast<int>(this->random.below(static_cast<uint64_t>(count)));
  }

  void change_servers() {
    const int changes = this->below(4);
    for (int i = 0; i < changes; ++i) {
      const int server = this->below(20);
      const int kind = this->below(3);
      if (kind != 0) this->fleet.remove(server);
      if (kind != 1) this->fleet.change(server);
    }
  }

  void fail() {
    const int node = this->below(this->nodes);
    // Relays close to the holder have most followers.
    const int near = this->below(std::min(this->nodes, 4));
    switch (this->below(6)) {
      case 0:
        return this->fleet.restart(near);
      case 1:
        return this->fleet.restart(node);
      case 2:
        return this->fleet.freeze(near, absl::Milliseconds(this->below(700)));
      case 3:
        return this->fleet.set_relay(node, this->below(this->nodes));
      case 4:
        return this->fleet.set_root(near);
      default:
        return;
    }
  }

  int nodes;
  random_stream random;
  double loss;
  relay_fleet fleet;
};

/// The number of seeds, up to a maximum, whose runs fail.
int failing_seeds(int nodes, int seeds, relay_mutant mutant) {
  int failing = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    random_faults run(nodes, static_cast<uint64_t>(seed), mutant);
    if (!run.holds()) ++failing;
  }
  return failing;
}

TEST(missed_removal, nodes_agree_after_any_faults_at_9_nodes) {
  EXPECT_EQ(failing_seeds(9, 400, relay_mutant::none), 0);
}

TEST(missed_removal, nodes_agree_after_any_faults_at_83_nodes) {
  EXPECT_EQ(failing_seeds(83, 40, relay_mutant::none), 0);
}

TEST(missed_removal, nodes_agree_after_any_faults_at_295_nodes) {
  EXPECT_EQ(failing_seeds(295, 12, relay_mutant::none), 0);
}

TEST(missed_removal, each_mechanism_is_needed) {
  for (const auto mutant :
       {relay_mutant::always_changes, relay_mutant::keeps_missing,
        relay_mutant::removals_at_answer,
        relay_mutant::unknown_removals_dropped}) {
    EXPECT_GT(failing_seeds(9, 60, mutant), 0) << static_cast<int>(mutant);
  }
}

}  // namespace
}  // namespace spokesail
