// All nodes of a fleet stay within the retry budget together while servers fail
// most requests, in virtual time. Nodes restart, nodes and data halls are
// partitioned, and whole groups of requests wait for a slot.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "spokesail/fleet-size.h"
#include "spokesail/hash.h"
#include "spokesail/retry-budget.h"

namespace spokesail {
namespace {

const absl::Time old_start = absl::UnixEpoch();
const absl::Time start = old_start + absl::Hours(1);
constexpr absl::Duration step = absl::Milliseconds(100);
const std::string service = "lm";

/// Mutations that disable one rule, to show that the bound depends on it.
enum class mutant {
  none,
  /// A process that starts uses the budget like one that has run for long.
  no_first_window,
  /// The slack is divided by the number of nodes from which messages are
  /// currently received.
  live_nodes_only,
  /// A waiting retry counts only once it is sent.
  no_reservation
};

/// The faults of a run.
struct fault_plan {
  /// Fraction of the nodes that restart at once, and the interval in steps.
  double restarted_fraction = 0;
  int restart_interval = 30;
  /// Fraction of the nodes that are partitioned from all others for half of
  /// each ten seconds.
  double partitioned_fraction = 0;
  /// Fraction of the retries that wait for a slot, all for the same moment.
  double waiting_fraction = 0;
  /// Requests per node and step. In every other period of `wave_steps` steps
  /// there are few.
  double request_rate = 0.4;
  int wave_steps = 0;
};

/// Nodes that would retry each request several times.
class budget_fleet {
 public:
  budget_fleet(int nodes, retry_limits limits, fault_plan t, mutant m,
               uint64_t seed)
      : limits(limits),
        faults(t),
        removed_rule(m),
        random{std::mt19937_64(seed)} {
    for (int i = 0; i < nodes; ++i) this->nodes.emplace_back(limits, old_start);
    for (auto& n : this->nodes) n.fleet.record(nodes, start);
  }

  void run(absl::Duration time) {
    const auto steps = static_cast<int>(time / step);
    for (int i = 1; i <= steps; ++i) this->run_step(i);
  }

  /// The excess of retries over the allowance in the worst window. The
  /// allowance is computed from the requests of that window, of the one before
  /// it or of the one that begins half a window earlier, whichever has most.
  double excess() const {
    double worst = -this->limits.slack;
    for (const absl::Time from : this->retries) {
      double most = 0;
      for (const double shift : {0.0, 0.5, 1.0}) {
        const absl::Time at = from - shift * this->limits.window;
        most = std::max(most, this->count_in_window(this->requests, at));
      }
      const double allowed = this->limits.ratio * most + this->limits.slack;
      worst =
          std::max(worst, this->count_in_window(this->retries, from) - allowed);
    }
    return worst;
  }

  size_t sent() const { return this->retries.size(); }

 private:
  struct node {
    node(retry_limits limits, absl::Time started)
        : budget(limits, started), started(started) {}
    retry_budget budget;
    peak_fleet_size fleet;
    absl::Time started;
    bool partitioned = false;
    std::vector<retry_reservation> reserved;
    /// Retries that wait without a reservation.
    int unreserved = 0;
  };

  bool chance(double share) { return this->random.unit() < share; }

  double count_in_window(const std::vector<absl::Time>& times,
                         absl::Time from) const {
    const auto begin = std::lower_bound(times.begin(), times.end(), from);
    const auto end = std::lower_bound(times.begin(), times.end(),
                                      from + this->limits.window);
    return static_cast<double>(end - begin);
  }

  void run_step(int number) {
    this->now += step;
    if (number % this->faults.restart_interval == 0) this->restart_nodes();
    if (number % 50 == 0) this->partition_nodes(number % 100 != 0);
    const bool slots_open = number % 10 == 0;
    const int period = this->faults.wave_steps;
    const bool low_traffic = period > 0 && number / period % 2 != 0;
    const double rate = low_traffic ? 0.1 * this->faults.request_rate
                                    : this->faults.request_rate;
    for (auto& n : this->nodes) {
      const int live_nodes =
          n.partitioned ? 1 : static_cast<int>(this->nodes.size());
      // Like a real node: one that receives from no other may be partitioned.
      if (!n.partitioned && this->now - n.started >= absl::Seconds(4)) {
        n.fleet.record(live_nodes, this->now);
      }
      if (slots_open) this->send_waiting(n);
      if (this->chance(rate)) this->handle_request(n);
    }
  }

  void restart_nodes() {
    for (auto& n : this->nodes) {
      if (!this->chance(this->faults.restarted_fraction)) continue;
      const bool forgets_usage = this->removed_rule == mutant::no_first_window;
      const bool partitioned = n.partitioned;
      // Reservations must be destroyed before their budget.
      n.reserved.clear();
      n = node(this->limits, forgets_usage ? old_start : this->now);
      n.partitioned = partitioned;
      if (forgets_usage)
        n.fleet.record(static_cast<int>(this->nodes.size()), start);
    }
  }

  void partition_nodes(bool begins) {
    for (auto& n : this->nodes) {
      n.partitioned = begins && this->chance(this->faults.partitioned_fraction);
    }
  }

  void handle_request(node& n) {
    n.budget.count_request(service, this->now);
    this->requests.push_back(this->now);
    for (int attempt = 0; attempt < 3; ++attempt) this->retry(n);
  }

  std::optional<int> sharing_nodes(node& n) {
    if (this->removed_rule != mutant::live_nodes_only)
      return n.fleet.peak(this->now);
    return n.partitioned ? 1 : static_cast<int>(this->nodes.size());
  }

  void retry(node& n) {
    const bool must_wait = this->chance(this->faults.waiting_fraction);
    auto reserved =
        n.budget.reserve(service, this->sharing_nodes(n), this->now);
    if (!reserved) return;
    if (!must_wait) {
      this->send(*reserved);
    } else if (this->removed_rule == mutant::no_reservation) {
      n.unreserved++;
    } else {
      n.reserved.push_back(std::move(*reserved));
    }
  }

  void send(retry_reservation& reserved) {
    reserved.spend(this->now);
    this->retries.push_back(this->now);
  }

  void send_waiting(node& n) {
    for (auto& reserved : n.reserved) {
      // Some callers have disconnected.
      if (this->chance(0.8)) this->send(reserved);
    }
    n.reserved.clear();
    for (; n.unreserved > 0; --n.unreserved) {
      auto counted =
          n.budget.reserve(service, this->sharing_nodes(n), this->now);
      if (counted) counted->spend(this->now);
      this->retries.push_back(this->now);
    }
  }

  retry_limits limits;
  fault_plan faults;
  mutant removed_rule;
  random_stream random;
  absl::Time now = start;
  std::deque<node> nodes;
  std::vector<absl::Time> requests;
  std::vector<absl::Time> retries;
};

/// Slack in proportion to the number of nodes, as operators configure it.
retry_limits limits_of(int nodes) {
  return {0.2, absl::Seconds(10), 4.0 * nodes};
}

double excess_of(int nodes, fault_plan t, mutant m, uint64_t seed) {
  budget_fleet fleet(nodes, limits_of(nodes), t, m, seed);
  fleet.run(absl::Seconds(35));
  return fleet.excess();
}

/// Load: 1 to 9 requests per second at each node, steady or in waves; servers
/// fail all of them.
RC_GTEST_PROP(repeat_fleet, keeps_the_budget_under_any_faults, ()) {
  const int nodes = *rc::gen::element(9, 30, 89, 295);
  fault_plan t;
  t.restarted_fraction = *rc::gen::element(0.0, 0.05, 0.6, 1.0);
  t.restart_interval = *rc::gen::inRange(11, 120);
  t.partitioned_fraction = *rc::gen::element(0.0, 0.3, 1.0);
  t.waiting_fraction = *rc::gen::element(0.0, 0.5, 1.0);
  t.request_rate = *rc::gen::element(0.1, 0.4, 0.9);
  t.wave_steps = *rc::gen::element(0, 20, 50, 100);
  const auto seed = *rc::gen::arbitrary<uint64_t>();
  RC_ASSERT(excess_of(nodes, t, mutant::none, seed) <= 0);
}

TEST(repeat_fleet, uses_most_of_the_budget_without_faults) {
  budget_fleet fleet(89, limits_of(89), {}, mutant::none, 1);
  fleet.run(absl::Seconds(10));
  const double allowed = 0.2 * 89 * 40 + 4 * 89;
  EXPECT_GT(static_cast<double>(fleet.sent()), 0.7 * allowed);
}

TEST(repeat_fleet, would_exceed_it_if_a_restart_cleared_the_usage) {
  fault_plan t;
  t.restarted_fraction = 1;
  EXPECT_GT(excess_of(89, t, mutant::no_first_window, 1), 0);
  EXPECT_LE(excess_of(89, t, mutant::none, 1), 0);
}

TEST(repeat_fleet,
     would_exceed_it_if_partitioned_nodes_counted_only_themselves) {
  fault_plan t;
  t.partitioned_fraction = 0.3;
  EXPECT_GT(excess_of(89, t, mutant::live_nodes_only, 1), 0);
  EXPECT_LE(excess_of(89, t, mutant::none, 1), 0);
}

TEST(repeat_fleet, would_exceed_it_if_waiting_retries_did_not_count) {
  fault_plan t;
  t.waiting_fraction = 1;
  EXPECT_GT(excess_of(89, t, mutant::no_reservation, 1), 0);
  EXPECT_LE(excess_of(89, t, mutant::none, 1), 0);
}

}  // namespace
}  // namespace spokesail
