// Backoffs and departures of servers in fleets of nodes, in virtual time.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <queue>

#include "spokesail/push-rounds.h"
#include "spokesail/server-backoffs.h"
#include "spokesail/server-directory.h"

namespace spokesail {
namespace {

absl::Time at(double seconds) {
  return absl::UnixEpoch() + absl::Seconds(seconds);
}

/// How a node decides whether a server may get a request.
class backoff_policy {
 public:
  virtual ~backoff_policy() = default;
  virtual void refused(const server_instance& server, absl::Duration backoff,
                       absl::Time now, random_stream& random) = 0;
  virtual bool may_send(const server_instance& server, absl::Time now) = 0;
};

class observed_backoffs : public backoff_policy {
 public:
  void refused(const server_instance& server, absl::Duration backoff,
               absl::Time now, random_stream& random) override {
    this->backoffs.note(server, backoff, now, random);
  }
  bool may_send(const server_instance& server, absl::Time now) override {
    return !this->backoffs.find(server, now);
  }

 private:
  server_backoffs backoffs;
};

/// Mutant: a fixed pause, whatever the server asks for.
class fixed_pause : public backoff_policy {
 public:
  void refused(const server_instance& server, absl::Duration, absl::Time now,
               random_stream&) override {
    this->until[server] = now + absl::Seconds(1);
  }
  bool may_send(const server_instance& server, absl::Time now) override {
    return now >= this->until[server];
  }

 private:
  std::map<server_instance, absl::Time> until;
};

/// Mutant: the last backoff counts, so that a shorter one ends a longer one.
class last_backoff : public backoff_policy {
 public:
  void refused(const server_instance& server, absl::Duration backoff,
               absl::Time now, random_stream&) override {
    this->until[server] = now + backoff;
  }
  bool may_send(const server_instance& server, absl::Time now) override {
    return now >= this->until[server];
  }

 private:
  std::map<server_instance, absl::Time> until;
};

struct fleet_options {
  int nodes = 9;
  int servers = 18;
  /// Servers that turn all requests away between two times.
  int servers_in_backoff = 6;
  double backoff_from_s = 2;
  double backoff_to_s = 8;
  /// Requests per second at each node.
  double rate = 15;
  uint64_t seed = 1;
};

/// Requests of a fleet of nodes to servers that turn some away and ask for
/// a backoff of 0.2 to 4 s. Nodes choose among the servers at random.
class backoff_fleet {
 public:
  explicit backoff_fleet(const fleet_options& options)
      : options(options), random{std::mt19937_64(options.seed)} {}

  template <typename Policy>
  void run() {
    for (int i = 0; i < this->options.nodes; ++i) {
      this->policies.push_back(std::make_unique<Policy>());
      this->push(this->next_gap(), i, -1, false);
    }
    while (!this->events.empty() && this->events.top().at < end_s) {
      const event e = this->events.top();
      this->events.pop();
      if (e.server < 0) {
        this->send(e.at, e.node);
        this->push(e.at + this->next_gap(), e.node, -1, false);
      } else if (e.is_answer) {
        this->on_refusal(e);
      } else {
        this->on_arrival(e);
      }
    }
  }

  /// Largest number of requests from one node at a server, from half a second
  /// after an answer that asked the node to back off until the end of the
  /// backoff.
  int most_in_a_backoff() const {
    int most = 0;
    for (const auto& asked : this->asked) {
      const auto& times = this->arrivals.at({asked.server, asked.node});
      most = std::max(most, static_cast<int>(std::count_if(
                                times.begin(), times.end(), [&](double t) {
                                  return t > asked.at + 0.5 &&
                                         t < asked.at + asked.backoff_s;
                                })));
    }
    return most;
  }

  int sent = 0;
  /// Requests for which all servers were in backoff.
  int refused = 0;
  int turned_away = 0;

 private:
  static constexpr double end_s = 16;
  /// One-way delay, of which a part varies.
  static constexpr double min_delay_s = 0.001;
  static constexpr double delay_range_s = 0.06;

  struct event {
    double at = 0;
    int node = 0;
    /// -1 for a new request of a caller.
    int server = -1;
    bool is_answer = false;
    double backoff_s = 0;
    bool operator<(const event& other) const { return this->at > other.at; }
  };
  struct backoff_request {
    int server;
    int node;
    double at;
    double backoff_s;
  };

  double next_gap() {
    return -std::log(1 - this->random.unit()) / this->options.rate;
  }
  double delay() { return min_delay_s + delay_range_s * this->random.unit(); }
  void push(double when, int node, int server, bool is_answer,
            double backoff_s = 0) {
    this->events.push({when, node, server, is_answer, backoff_s});
  }
  static server_instance instance(int server) {
    return {std::to_string(server), 1};
  }

  void send(double now, int node) {
    std::vector<int> usable;
    for (int s = 0; s < this->options.servers; ++s) {
      if (this->policies[node]->may_send(instance(s), at(now))) {
        usable.push_back(s);
      }
    }
    this->sent++;
    if (usable.empty()) {
      this->refused++;
      return;
    }
    this->push(now + this->delay(), node,
               usable[this->random.below(usable.size())], false);
  }

  void on_arrival(const event& e) {
    this->arrivals[{e.server, e.node}].push_back(e.at);
    const bool turns_away = e.server < this->options.servers_in_backoff &&
                            e.at >= this->options.backoff_from_s &&
                            e.at < this->options.backoff_to_s;
    if (!turns_away) return;
    this->turned_away++;
    const double backoff_s = 0.2 + 3.8 * this->random.unit();
    this->asked.push_back({e.server, e.node, e.at, backoff_s});
    this->push(e.at + this->delay(), e.node, e.server, true, backoff_s);
  }

  void on_refusal(const event& e) {
    this->policies[e.node]->refused(
        instance(e.server), absl::Seconds(e.backoff_s), at(e.at), this->random);
    this->send(e.at, e.node);
  }

  const fleet_options options;
  random_stream random;
  std::vector<std::unique_ptr<backoff_policy>> policies;
  std::priority_queue<event> events;
  std::map<std::pair<int, int>, std::vector<double>> arrivals;
  std::vector<backoff_request> asked;
};

constexpr int allowed = 2;

// Guards against sends during backoffs at any size of the fleet.
TEST(backoff_fleet, observes_backoffs_at_9_83_and_295_nodes) {
  for (const int nodes : {9, 83, 295}) {
    fleet_options options;
    options.nodes = nodes;
    backoff_fleet fleet(options);
    fleet.run<observed_backoffs>();
    EXPECT_GT(fleet.turned_away, 0);
    EXPECT_LE(fleet.most_in_a_backoff(), allowed) << nodes;
    EXPECT_EQ(fleet.refused, 0) << nodes;
  }
}

// Guards against a bound that holds by chance.
RC_GTEST_PROP(backoff_fleet, observes_backoffs_in_any_fleet, (uint64_t seed)) {
  fleet_options options;
  options.seed = seed;
  options.nodes = *rc::gen::inRange(1, 40);
  options.servers = *rc::gen::inRange(1, 20);
  options.servers_in_backoff = *rc::gen::inRange(0, options.servers + 1);
  options.rate = *rc::gen::inRange(1, 100);
  backoff_fleet fleet(options);
  fleet.run<observed_backoffs>();
  RC_ASSERT(fleet.most_in_a_backoff() <= allowed);
}

TEST(backoff_fleet, a_fixed_pause_breaks_the_bound) {
  backoff_fleet fleet({.rate = 60});
  fleet.run<fixed_pause>();
  EXPECT_GT(fleet.most_in_a_backoff(), allowed);
}

TEST(backoff_fleet, a_shorter_backoff_that_counts_breaks_the_bound) {
  backoff_fleet fleet({.rate = 150});
  fleet.run<last_backoff>();
  EXPECT_GT(fleet.most_in_a_backoff(), allowed);
}

/// Nodes that tell each other of a departure.
class departure_fleet {
 public:
  departure_fleet(int nodes, bool pass_on, uint64_t seed)
      : pass_on(pass_on),
        random{std::mt19937_64(seed)},
        directories(static_cast<size_t>(nodes)),
        rounds(static_cast<size_t>(nodes)) {}

  /// Rounds until all nodes know, if one in ten messages is lost; nothing after
  /// `max_rounds`.
  std::optional<int> rounds_to_reach_all(int max_rounds) {
    this->directories[0].mark_leaving(server, at(0));
    for (int round = 1; round <= max_rounds; ++round) {
      for (size_t node = 0; node < this->rounds.size(); ++node) {
        this->send_round(node);
      }
      if (this->all_know()) return round;
    }
    return std::nullopt;
  }

 private:
  static inline const server_instance server{"s", 1};

  void send_round(size_t node) {
    const auto news = this->directories[node].take_departures();
    if (node == 0 || this->pass_on) {
      for (const auto& item : news) {
        this->rounds[node].add(item, this->rounds.size() - 1);
      }
    }
    const auto items = this->rounds[node].next_round(100);
    for (size_t i = 0; i < push_rounds<server_instance>::fanout; ++i) {
      const size_t peer = this->random.below(this->directories.size());
      if (this->random.below(10) == 0) continue;
      for (const auto& item : items) {
        this->directories[peer].mark_leaving(item, at(0));
      }
    }
  }

  bool all_know() const {
    return std::all_of(this->directories.begin(), this->directories.end(),
                       [](const auto& d) { return d.is_leaving(server); });
  }

  const bool pass_on;
  random_stream random;
  std::vector<server_directory> directories;
  std::vector<push_rounds<server_instance>> rounds;
};

/// Rounds of 50 ms within half of the 2 s for which a leaving server serves.
constexpr int rounds_in_time = 20;

// Guards against nodes that learn too late that a server leaves.
TEST(departure_fleet, all_nodes_learn_in_time_at_9_83_and_295_nodes) {
  for (const int nodes : {9, 83, 295}) {
    for (uint64_t seed = 1; seed <= 20; ++seed) {
      departure_fleet fleet(nodes, true, seed);
      EXPECT_TRUE(fleet.rounds_to_reach_all(rounds_in_time))
          << nodes << " nodes, seed " << seed;
    }
  }
}

TEST(departure_fleet, nodes_that_do_not_pass_on_break_it) {
  departure_fleet fleet(83, false, 1);
  EXPECT_FALSE(fleet.rounds_to_reach_all(rounds_in_time));
}

}  // namespace
}  // namespace spokesail
