// What all nodes of a fleet repeat together while servers fail most requests,
// in virtual time: nodes that start again, nodes and halls that are cut off,
// and groups whose requests all wait for a place.
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

const absl::Time long_ago = absl::UnixEpoch();
const absl::Time start = long_ago + absl::Hours(1);
constexpr absl::Duration step = absl::Milliseconds(100);
const std::string service = "lm";

/// A part that is left out, to show that the bound hangs on it.
enum class mutant {
  none,
  /// A process that starts spends as one that has run for long.
  no_first_window,
  /// The slack is divided by the nodes that are heard now.
  heard_now,
  /// What waits for a place counts only once it is sent.
  no_reservation
};

/// What goes wrong in a run.
struct trouble {
  /// Part of the nodes that start again at once, every so many steps.
  double killed = 0;
  int kill_period = 30;
  /// Part of the nodes that hear nobody for half of each ten seconds.
  double cut = 0;
  /// Part of the repeats that wait for a place, all for the same moment.
  double waiting = 0;
  /// Requests at a node in a step; in every other period of this many steps
  /// there are few.
  double asked = 0.4;
  int wave = 0;
};

/// Nodes that would repeat each request several times.
class budget_fleet {
 public:
  budget_fleet(int nodes, retry_limits limits, trouble t, mutant m,
               uint64_t seed)
      : limits(limits), faults(t), left_out(m), random{std::mt19937_64(seed)} {
    for (int i = 0; i < nodes; ++i) this->nodes.emplace_back(limits, long_ago);
    for (auto& n : this->nodes) n.fleet.record(nodes, start);
  }

  void run(absl::Duration time) {
    const auto steps = static_cast<int>(time / step);
    for (int i = 1; i <= steps; ++i) this->pass(i);
  }

  /// By how much repeats exceed what is allowed in the worst window. A window
  /// is allowed what its requests give, or those of the one before it or of the
  /// one that begins half a window before.
  double excess() const {
    double worst = -this->limits.slack;
    for (const absl::Time from : this->retries) {
      double most = 0;
      for (const double shift : {0.0, 0.5, 1.0}) {
        const absl::Time at = from - shift * this->limits.window;
        most = std::max(most, this->within(this->requests, at));
      }
      const double allowed = this->limits.ratio * most + this->limits.slack;
      worst = std::max(worst, this->within(this->retries, from) - allowed);
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
    bool alone = false;
    std::vector<retry_reservation> reserved;
    /// Repeats that wait without a reservation.
    int unreserved = 0;
  };

  bool drawn(double share) { return this->random.unit() < share; }

  double within(const std::vector<absl::Time>& times, absl::Time from) const {
    const auto begin = std::lower_bound(times.begin(), times.end(), from);
    const auto end = std::lower_bound(times.begin(), times.end(),
                                      from + this->limits.window);
    return static_cast<double>(end - begin);
  }

  void pass(int number) {
    this->now += step;
    if (number % this->faults.kill_period == 0) this->kill();
    if (number % 50 == 0) this->cut(number % 100 != 0);
    const bool places = number % 10 == 0;
    const int wave = this->faults.wave;
    const bool low = wave > 0 && number / wave % 2 != 0;
    const double asked = low ? 0.1 * this->faults.asked : this->faults.asked;
    for (auto& n : this->nodes) {
      const int heard = n.alone ? 1 : static_cast<int>(this->nodes.size());
      // As nodes do: a node alone may be cut off.
      if (!n.alone && this->now - n.started >= absl::Seconds(4)) {
        n.fleet.record(heard, this->now);
      }
      if (places) this->send_waiting(n);
      if (this->drawn(asked)) this->ask(n);
    }
  }

  void kill() {
    for (auto& n : this->nodes) {
      if (!this->drawn(this->faults.killed)) continue;
      const bool forgets = this->left_out == mutant::no_first_window;
      const bool alone = n.alone;
      // Reservations go before the budget that they are of.
      n.reserved.clear();
      n = node(this->limits, forgets ? long_ago : this->now);
      n.alone = alone;
      if (forgets) n.fleet.record(static_cast<int>(this->nodes.size()), start);
    }
  }

  void cut(bool begins) {
    for (auto& n : this->nodes) {
      n.alone = begins && this->drawn(this->faults.cut);
    }
  }

  void ask(node& n) {
    n.budget.count_request(service, this->now);
    this->requests.push_back(this->now);
    for (int repeat = 0; repeat < 3; ++repeat) this->repeat(n);
  }

  std::optional<int> sharing(node& n) {
    if (this->left_out != mutant::heard_now) return n.fleet.peak(this->now);
    return n.alone ? 1 : static_cast<int>(this->nodes.size());
  }

  void repeat(node& n) {
    const bool waits = this->drawn(this->faults.waiting);
    auto reserved = n.budget.reserve(service, this->sharing(n), this->now);
    if (!reserved) return;
    if (!waits) {
      this->send(*reserved);
    } else if (this->left_out == mutant::no_reservation) {
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
      // Some callers have left.
      if (this->drawn(0.8)) this->send(reserved);
    }
    n.reserved.clear();
    for (; n.unreserved > 0; --n.unreserved) {
      auto counted = n.budget.reserve(service, this->sharing(n), this->now);
      if (counted) counted->spend(this->now);
      this->retries.push_back(this->now);
    }
  }

  retry_limits limits;
  trouble faults;
  mutant left_out;
  random_stream random;
  absl::Time now = start;
  std::deque<node> nodes;
  std::vector<absl::Time> requests;
  std::vector<absl::Time> retries;
};

/// Slack in proportion to the nodes, as operators give it.
retry_limits limits_of(int nodes) {
  return {0.2, absl::Seconds(10), 4.0 * nodes};
}

double excess_of(int nodes, trouble t, mutant m, uint64_t seed) {
  budget_fleet fleet(nodes, limits_of(nodes), t, m, seed);
  fleet.run(absl::Seconds(35));
  return fleet.excess();
}

/// Load: at each node 1 to 9 requests a second, even or in waves, of which
/// servers fail all.
RC_GTEST_PROP(repeat_fleet, keeps_the_budget_whatever_strikes, ()) {
  const int nodes = *rc::gen::element(9, 30, 89, 295);
  trouble t;
  t.killed = *rc::gen::element(0.0, 0.05, 0.6, 1.0);
  t.kill_period = *rc::gen::inRange(11, 120);
  t.cut = *rc::gen::element(0.0, 0.3, 1.0);
  t.waiting = *rc::gen::element(0.0, 0.5, 1.0);
  t.asked = *rc::gen::element(0.1, 0.4, 0.9);
  t.wave = *rc::gen::element(0, 20, 50, 100);
  const auto seed = *rc::gen::arbitrary<uint64_t>();
  RC_ASSERT(excess_of(nodes, t, mutant::none, seed) <= 0);
}

TEST(repeat_fleet, uses_most_of_the_budget_while_nothing_strikes) {
  budget_fleet fleet(89, limits_of(89), {}, mutant::none, 1);
  fleet.run(absl::Seconds(10));
  const double allowed = 0.2 * 89 * 40 + 4 * 89;
  EXPECT_GT(static_cast<double>(fleet.sent()), 0.7 * allowed);
}

TEST(repeat_fleet, would_exceed_it_if_a_start_forgot_what_was_spent) {
  trouble t;
  t.killed = 1;
  EXPECT_GT(excess_of(89, t, mutant::no_first_window, 1), 0);
  EXPECT_LE(excess_of(89, t, mutant::none, 1), 0);
}

TEST(repeat_fleet, would_exceed_it_if_nodes_cut_off_counted_themselves_alone) {
  trouble t;
  t.cut = 0.3;
  EXPECT_GT(excess_of(89, t, mutant::heard_now, 1), 0);
  EXPECT_LE(excess_of(89, t, mutant::none, 1), 0);
}

TEST(repeat_fleet, would_exceed_it_if_what_waits_did_not_count) {
  trouble t;
  t.waiting = 1;
  EXPECT_GT(excess_of(89, t, mutant::no_reservation, 1), 0);
  EXPECT_LE(excess_of(89, t, mutant::none, 1), 0);
}

}  // namespace
}  // namespace spokesail
