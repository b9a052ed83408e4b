// Simulates, in virtual time, the combined load of all nodes on servers that
// advertise rate limits, with message loss, network partitions, changing or
// missing lease holders, node restarts and changing limits.
#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "spokesail/grant-client.h"
#include "spokesail/grant-issuer.h"
#include "spokesail/hash.h"
#include "spokesail/limit-share.h"
#include "spokesail/limit-spread.h"
#include "spokesail/server-limits.h"

namespace spokesail {
namespace {

const absl::Time start = absl::UnixEpoch();
constexpr absl::Duration step = absl::Milliseconds(10);
/// Time from sending a request until its answer arrives.
constexpr absl::Duration answer_time = absl::Milliseconds(100);
/// Period of the gossip rounds.
constexpr absl::Duration gossip_period = absl::Milliseconds(50);
/// Time after its start from which a node knows the number of nodes.
constexpr absl::Duration count_time = absl::Seconds(4);

/// The bound applies to every window that begins at least `notice_period` after
/// the limit is first advertised. A node counts as informed `informed_after`
/// after a server's answer first carried the limit.
constexpr absl::Duration window = absl::Seconds(4);
constexpr absl::Duration notice_period = absl::Seconds(3);
constexpr absl::Duration informed_after = absl::Milliseconds(500);

double allowed(double per_s) {
  return 1.5 * per_s * absl::ToDoubleSeconds(window) + 5;
}

/// Mutations that disable one mechanism, to show that the tests detect it.
enum class mutation {
  none,
  /// Nodes ignore limits.
  ignore_limits,
  /// Each node uses the share of all nodes.
  undivided_share,
  /// The first slots of all nodes have the same offset.
  aligned_slots,
  /// Nodes do not gossip limits.
  no_gossip
};

/// Time by which some node has received an answer at the demand of the test.
constexpr absl::Duration first_answers = absl::Milliseconds(700);

/// Faults that are injected in a run.
struct fault_rates {
  /// Fraction of messages lost.
  double lost = 0;
  /// Probability that a lease term has no holder.
  double no_holder = 0;
  /// Fraction of nodes that restart per second.
  double restarts = 0;
  /// Whether the network partitions into halves at random times.
  bool splits = false;
};

class limit_fleet {
 public:
  /// Each node attempts `demand` requests per second to each server.
  limit_fleet(int count, double per_s, double demand, fault_rates rates,
              mutation m, uint64_t seed)
      : per_s(per_s),
        demand(demand),
        faults(rates),
        mutated(m),
        random{std::mt19937_64(seed)},
        nodes(static_cast<size_t>(count)) {
    for (auto& n : this->nodes) {
      n.started_at = start - absl::Hours(1);
      this->names.push_back(absl::StrCat(this->names.size()));
    }
  }

  void run(absl::Duration length) {
    const absl::Time until = this->now + length;
    while (this->now < until) this->advance();
  }

  /// Sets the limit that all servers advertise; nothing ends it.
  void set_limit(std::optional<double> limit) { this->per_s = limit; }

  /// Maximum number of requests that a server received within a window from
  /// nodes that it had informed of the limit itself.
  int max_in_a_window() const { return max_of(this->sent_when_informed); }
  /// The same from all nodes.
  int max_of_all_in_a_window() const { return max_of(this->sent); }

  /// Mean rate per server after the notice period, in requests per second.
  double used_per_s() const {
    size_t out = 0;
    for (const auto& times : this->sent) out += times.size();
    const double seconds =
        absl::ToDoubleSeconds(this->now - start - notice_period);
    return static_cast<double>(out) / servers / seconds;
  }
  /// Number of nodes that know a server's limit.
  int count_knowing(int server) const {
    return static_cast<int>(std::count_if(
        this->nodes.begin(), this->nodes.end(), [&](const node& n) {
          return n.limits.find(instance_of(server)).has_value();
        }));
  }
  int64_t skipped = 0;

 private:
  static constexpr int servers = 3;
  using send_times = std::vector<std::vector<absl::Time>>;

  static int max_of(const send_times& sent) {
    int max_count = 0;
    for (const auto& times : sent) {
      size_t first = 0;
      for (size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= window) ++first;
        max_count = std::max(max_count, static_cast<int>(last - first + 1));
      }
    }
    return max_count;
  }

  struct node {
    server_limits limits;
    grant_client client;
    grant_issuer issuer;
    limit_share shares;
    absl::Time started_at;
    limit_spread spread;
    /// When an answer of each server first carried a limit.
    std::map<server_instance, absl::Time> informed_at;
    bool in_first_half = false;
  };
  struct event {
    size_t node = 0;
    /// Answers only: the server, its limit, and when the request was sent.
    std::optional<server_instance> server;
    std::optional<double> advertised;
    absl::Time sent;
    /// Messages only.
    size_t from = 0;
    grant_request request;
    std::optional<grant_response> response;
    std::vector<limit_report> reports;
  };

  static server_instance instance_of(int server) {
    return {absl::StrCat("s", server), 1};
  }

  std::optional<int> known_nodes(const node& n) const {
    if (this->now - n.started_at < count_time) return std::nullopt;
    return static_cast<int>(this->nodes.size());
  }

  void schedule(absl::Duration delay, event e) {
    this->pending_events.emplace(this->now + delay, std::move(e));
  }

  void send_message(event e) {
    const node& from = this->nodes[e.from];
    const node& to = this->nodes[e.node];
    if (this->split && from.in_first_half != to.in_first_half) return;
    if (this->random.unit() < this->faults.lost) return;
    this->schedule(this->random.unit() * absl::Milliseconds(20), std::move(e));
  }

  grant_response grant(node& holder, const grant_request& request) {
    for (const auto& report : request.limits)
      holder.limits.merge_report(report, this->now);
    return holder.issuer.grant(
        request,
        [&](const server_request_count& wanted) {
          const auto limit =
              holder.limits.find({wanted.server, wanted.incarnation});
          return limit ? bucket_for_limit(*limit) : token_bucket_params();
        },
        this->now);
  }

  void send_request(size_t i) {
    node& n = this->nodes[i];
    n.client.expire(this->now);
    if (!n.client.request_due(this->now)) return;
    grant_request request = n.client.make_request(++this->nonce, this->now);
    for (const auto& wanted : request.wanted) {
      const auto stored =
          n.limits.report({wanted.server, wanted.incarnation}, this->now);
      if (stored) request.limits.push_back(*stored);
    }
    if (!this->holder) return;
    if (*this->holder == i) {
      n.client.accept_response(this->grant(n, request), this->now);
      return;
    }
    event e;
    e.node = *this->holder;
    e.from = i;
    e.request = std::move(request);
    this->send_message(std::move(e));
  }

  /// Consumes a slot or grant for a request. Returns whether it may be sent.
  bool try_send(size_t i, int server) {
    node& n = this->nodes[i];
    const server_instance to = instance_of(server);
    const auto limit = n.limits.find(to);
    if (!limit || this->mutated == mutation::ignore_limits) return true;
    const auto nodes = this->known_nodes(n);
    random_stream fixed_random{std::mt19937_64(1)};
    random_stream& slot_random =
        this->mutated == mutation::aligned_slots ? fixed_random : this->random;
    const int sharing =
        this->mutated == mutation::undivided_share ? 1 : nodes.value_or(0);
    const bool from_share =
        nodes && n.shares.has(to, *limit, sharing, this->now, slot_random) &&
        n.shares.use(to, this->now);
    const bool may_send = from_share || n.client.use(to.server, this->now);
    n.client.add_demand(to.server, to.incarnation,
                        grant_client::max_limited_requests);
    return may_send;
  }

  void gossip(size_t i) {
    if (this->mutated == mutation::no_gossip) return;
    node& n = this->nodes[i];
    for (auto& m :
         n.spread.next_round(n.limits, this->names, this->random, this->now)) {
      event e;
      e.from = i;
      e.node = std::stoul(m.peer);
      e.reports = std::move(m.reports);
      this->send_message(std::move(e));
    }
  }

  void run_node(size_t i) {
    node& n = this->nodes[i];
    const double seconds = absl::ToDoubleSeconds(step);
    if (this->random.unit() < this->faults.restarts * seconds) {
      n = node();
      n.started_at = this->now;
      if (this->holder == i) this->end_term();
    }
    for (int s = 0; s < servers; ++s) {
      if (this->random.unit() >= this->demand * seconds) continue;
      if (!this->try_send(i, s)) {
        ++this->skipped;
        continue;
      }
      const auto informed_at = n.informed_at.find(instance_of(s));
      const bool informed = informed_at != n.informed_at.end() &&
                            this->now - informed_at->second >= informed_after;
      if (this->now - start >= notice_period && this->per_s) {
        this->sent[static_cast<size_t>(s)].push_back(this->now);
        if (informed) {
          this->sent_when_informed[static_cast<size_t>(s)].push_back(this->now);
        }
      }
      event e;
      e.node = i;
      e.server = instance_of(s);
      e.advertised = this->per_s;
      e.sent = this->now;
      this->schedule(answer_time, std::move(e));
    }
    this->send_request(i);
    if (!n.limits.empty() && (this->now - start) % gossip_period < step) {
      this->gossip(i);
    }
  }

  void handle(const event& e) {
    node& n = this->nodes[e.node];
    if (e.server) {
      n.limits.note_answer(*e.server, e.advertised, e.sent, this->now);
      if (e.advertised) n.informed_at.emplace(*e.server, this->now);
    } else if (!e.reports.empty()) {
      for (const auto& report : e.reports)
        n.limits.merge_report(report, this->now);
    } else if (e.response) {
      n.client.accept_response(*e.response, this->now);
    } else if (this->holder == e.node) {
      event reply;
      reply.node = e.from;
      reply.from = e.node;
      reply.response = this->grant(n, e.request);
      this->send_message(std::move(reply));
    }
  }

  void end_term() {
    this->nodes[*this->holder].issuer.end_term();
    this->holder.reset();
  }

  void update_lease() {
    if (this->now < this->next_change) return;
    if (this->holder) this->end_term();
    this->next_change = this->now + absl::Seconds(1 + 4 * this->random.unit());
    if (this->random.unit() < this->faults.no_holder) return;
    this->holder = this->random.below(this->nodes.size());
    this->nodes[*this->holder].issuer.begin_term(this->now);
    if (this->faults.no_holder == 0) this->next_change = absl::InfiniteFuture();
  }

  void split_or_heal() {
    if (!this->faults.splits || this->random.unit() > 0.01) return;
    this->split = !this->split;
    for (node& n : this->nodes) n.in_first_half = this->random.unit() < 0.5;
  }

  void advance() {
    this->now += step;
    this->update_lease();
    this->split_or_heal();
    while (!this->pending_events.empty() &&
           this->pending_events.begin()->first <= this->now) {
      const event e = this->pending_events.begin()->second;
      this->pending_events.erase(this->pending_events.begin());
      this->handle(e);
    }
    for (size_t i = 0; i < this->nodes.size(); ++i) this->run_node(i);
  }

  std::optional<double> per_s;
  double demand;
  fault_rates faults;
  mutation mutated;
  random_stream random;
  std::vector<node> nodes;
  /// The name of each node is its index.
  std::vector<std::string> names;
  send_times sent{servers};
  send_times sent_when_informed{servers};
  std::multimap<absl::Time, event> pending_events;
  std::optional<size_t> holder;
  absl::Time next_change = start;
  absl::Time now = start;
  uint64_t nonce = 0;
  bool split = false;
};

/// Demand per node that makes the total many times the limit.
double overload_demand(int nodes, double per_s) {
  return std::max(4.0, 10 * per_s / nodes);
}

// Guards against a combined load above the advertised limit.
TEST(limit_fleet, servers_get_no_more_than_their_limit) {
  for (const int nodes : {9, 83, 295}) {
    for (const double per_s : {0.05, 0.3, 1.4, 5.0, 26.0}) {
      limit_fleet fleet(nodes, per_s, overload_demand(nodes, per_s), {},
                        mutation::none, 1);
      fleet.run(absl::Seconds(12));
      EXPECT_LE(fleet.max_of_all_in_a_window(), allowed(per_s))
          << nodes << " nodes, " << per_s;
    }
  }
}

const fault_rates all_faults{0.1, 0.3, 0.02, true};

TEST(limit_fleet, bound_holds_with_all_faults_combined) {
  for (const int nodes : {9, 83, 295}) {
    for (const double per_s : {0.05, 1.4, 26.0}) {
      for (uint64_t seed = 1; seed <= 2; ++seed) {
        limit_fleet fleet(nodes, per_s, overload_demand(nodes, per_s),
                          all_faults, mutation::none, seed);
        fleet.run(absl::Seconds(15));
        EXPECT_LE(fleet.max_in_a_window(), allowed(per_s))
            << nodes << " nodes, " << per_s << ", seed " << seed;
      }
    }
  }
}

RC_GTEST_PROP(limit_fleet, bound_holds_at_random, ()) {
  fault_rates rates;
  rates.lost = *rc::gen::inRange(0, 50) * 0.01;
  rates.no_holder = *rc::gen::inRange(0, 100) * 0.01;
  rates.restarts = *rc::gen::inRange(0, 5) * 0.01;
  rates.splits = *rc::gen::arbitrary<bool>();
  const int nodes = *rc::gen::element(9, 83, 295);
  const double per_s = *rc::gen::inRange(1, 300) * 0.1;
  limit_fleet fleet(nodes, per_s, overload_demand(nodes, per_s), rates,
                    mutation::none, *rc::gen::arbitrary<uint64_t>());
  fleet.run(absl::Seconds(8));
  RC_ASSERT(fleet.max_in_a_window() <= allowed(per_s));
}

TEST(limit_fleet, bound_breaks_if_limits_are_ignored) {
  for (const int nodes : {9, 83}) {
    limit_fleet fleet(nodes, 1.4, 4, {}, mutation::ignore_limits, 1);
    fleet.run(absl::Seconds(10));
    EXPECT_GT(fleet.max_in_a_window(), allowed(1.4));
  }
}

TEST(limit_fleet, bound_breaks_if_shares_are_not_divided) {
  limit_fleet fleet(83, 5, 5, {}, mutation::undivided_share, 1);
  fleet.run(absl::Seconds(10));
  EXPECT_GT(fleet.max_in_a_window(), allowed(5));
}

TEST(limit_fleet, bound_breaks_if_slots_are_aligned) {
  limit_fleet fleet(295, 5, 10, {0, 1, 0, false}, mutation::aligned_slots, 1);
  fleet.run(absl::Seconds(250));
  EXPECT_GT(fleet.max_in_a_window(), allowed(5));
}

// Guards against servers that receive far less than their limit.
TEST(limit_fleet, most_of_a_limit_is_used) {
  for (const int nodes : {9, 83, 295}) {
    for (const double per_s : {1.4, 26.0}) {
      limit_fleet fleet(nodes, per_s, overload_demand(nodes, per_s), {},
                        mutation::none, 1);
      fleet.run(absl::Seconds(20));
      const std::string name = absl::StrCat("used_of_", per_s, "_at_", nodes);
      RecordProperty(name, absl::StrCat(fleet.used_per_s()));
      EXPECT_GT(fleet.used_per_s(), 0.6 * per_s) << name;
    }
  }
}

// Guards against an outage of limited servers while no node holds the lease.
TEST(limit_fleet, a_part_of_a_limit_is_used_without_a_holder) {
  for (const int nodes : {9, 83, 295}) {
    limit_fleet fleet(nodes, 26, overload_demand(nodes, 26), {0, 1, 0, false},
                      mutation::none, 1);
    fleet.run(absl::Seconds(30));
    RecordProperty(absl::StrCat("used_without_holder_at_", nodes),
                   absl::StrCat(fleet.used_per_s()));
    EXPECT_GT(fleet.used_per_s(), 0.5 * limit_share::fraction * 26);
  }
}

// Guards against throttling when the demand is below the limit.
TEST(limit_fleet, a_limit_above_demand_hardly_throttles) {
  limit_fleet fleet(9, 200, 5, {}, mutation::none, 1);
  fleet.run(absl::Seconds(20));
  EXPECT_LT(fleet.skipped, 0.1 * 9 * 5 * 3 * 20);
}

// Guards against limits that stay in effect after the server ends them.
TEST(limit_fleet, throttling_stops_after_a_limit_ends) {
  for (const int nodes : {9, 83, 295}) {
    for (const double per_s : {0.0, 1.4}) {
      limit_fleet fleet(nodes, per_s, 4, {0.1, 0, 0, false}, mutation::none, 1);
      fleet.run(absl::Seconds(10));
      fleet.set_limit(std::nullopt);
      fleet.run(absl::Seconds(12));
      const int64_t before = fleet.skipped;
      fleet.run(absl::Seconds(5));
      EXPECT_EQ(fleet.skipped, before) << nodes << " nodes, " << per_s;
    }
  }
}

// Guards against nodes that learn of a limit only from their own requests.
TEST(limit_fleet, nodes_gossip_limits) {
  for (const int nodes : {9, 83, 295}) {
    for (uint64_t seed = 1; seed <= 5; ++seed) {
      const fault_rates lossy{0.1, 0, 0, false};
      limit_fleet fleet(nodes, 1.4, 0.3, lossy, mutation::none, seed);
      limit_fleet without_gossip(nodes, 1.4, 0.3, lossy, mutation::no_gossip,
                                 seed);
      fleet.run(first_answers + absl::Milliseconds(500));
      without_gossip.run(first_answers + absl::Milliseconds(500));
      EXPECT_EQ(fleet.count_knowing(0), nodes) << "seed " << seed;
      EXPECT_LT(without_gossip.count_knowing(0), nodes) << "seed " << seed;
    }
  }
}

TEST(limit_spread, keeps_changes_until_a_peer_is_reachable) {
  random_stream random{std::mt19937_64(1)};
  server_limits limits;
  limit_spread spread;
  limits.note_answer({"s", 1}, 1.4, start, start);
  for (int i = 0; i < 100; ++i) {
    EXPECT_TRUE(spread.next_round(limits, {}, random, start).empty());
  }
  EXPECT_EQ(spread.next_round(limits, {"node"}, random, start).size(),
            limit_spread::fanout);
}

TEST(limit_share, issues_even_slots_without_accumulation) {
  random_stream random{std::mt19937_64(1)};
  limit_share share;
  const server_instance server{"s", 1};
  absl::Time now = start;
  int used = 0;
  for (int i = 0; i < 10000; ++i, now += step) {
    if (share.has(server, 10, 3, now, random))
      used += share.use(server, now) ? 1 : 0;
  }
  EXPECT_NEAR(used, 100 * limit_share::fraction * 10 / 3, 1);
  now += absl::Hours(1);
  while (!share.has(server, 10, 3, now, random)) now += step;
  EXPECT_TRUE(share.use(server, now));
  EXPECT_FALSE(share.use(server, now)) << "slots have expired";
}

TEST(limit_share, handles_extreme_limits) {
  random_stream random{std::mt19937_64(1)};
  limit_share share;
  absl::Time now = start;
  for (const double per_s : {0.0, 1e-300, 1e300, 5.0, 1e9, 0.0}) {
    now += absl::Seconds(100);
    share.has({"s", 1}, per_s, 295, now, random);
    now += absl::Seconds(1);
    EXPECT_EQ(share.has({"s", 1}, per_s, 295, now, random), per_s >= 1e9);
  }
}

TEST(limit_bucket, keeps_every_window_below_the_bound) {
  const double seconds = absl::ToDoubleSeconds(
      window + grant_timing().grant_lifetime + limit_share::slot_lifetime);
  for (double per_s = 0.05; per_s < 500; per_s *= 1.1) {
    const token_bucket_params b = bucket_for_limit(per_s);
    EXPECT_LE(b.burst + b.per_s * seconds, allowed(per_s)) << per_s;
    EXPECT_GE(b.burst, 1);
  }
}

}  // namespace
}  // namespace spokesail
