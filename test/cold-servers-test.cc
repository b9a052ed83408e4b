// Guards against overload of cold servers after a whole data hall has returned.
// Simulates, in virtual time, the combined load of all nodes on each server,
// with message loss and delay, network partitions, changes of the lease holder
// and node restarts.
#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "spokesail/grant-client.h"
#include "spokesail/grant-issuer.h"
#include "spokesail/hash.h"

namespace spokesail {
namespace {

const absl::Time start = absl::UnixEpoch();
constexpr absl::Duration step = absl::Milliseconds(10);

/// Longest time between the terms of two lease holders.
constexpr absl::Duration max_gap = absl::Seconds(1);

/// Mutations that disable one mechanism, to show that the bound depends on it.
enum class mutant {
  none,
  /// The lifetime of a grant counts from the receipt of the response.
  from_receipt,
  /// A new lease holder issues grants immediately.
  no_term_delay
};

/// Faults that are injected in a run.
struct fault_rates {
  /// Fraction of messages lost.
  double lost = 0;
  /// Fraction of messages that are queued until the next flush of the queues.
  double queued = 0;
  /// Interval between flushes; zero if messages are not queued.
  absl::Duration flush_period = absl::ZeroDuration();
  /// Maximum duration of a lease term.
  absl::Duration max_term = absl::Seconds(60);
  /// Fraction of nodes that restart per second.
  double restarts = 0;
  /// Whether the network partitions into halves at random times.
  bool splits = false;
};

/// Simulated nodes, each with a demand of ten requests per second to each cold
/// server. The total is many times the rate of the servers.
class cold_fleet {
 public:
  cold_fleet(int nodes, double rate, fault_rates rates, mutant m, uint64_t seed)
      : rate(rate), faults(rates), mutated(m), random{std::mt19937_64(seed)} {
    this->nodes.resize(static_cast<size_t>(nodes));
    for (int i = 0; i < servers; ++i) {
      this->names.push_back(absl::StrCat("s", i));
    }
    this->sent.resize(servers);
    this->next_holder();
  }

  void run(absl::Duration length) {
    const absl::Time until = this->now + length;
    while (this->now < until) this->advance();
  }

  /// Maximum number of requests that one server received within a second.
  int max_in_a_second() const {
    int max_count = 0;
    for (const auto& times : this->sent) {
      size_t first = 0;
      for (size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= absl::Seconds(1)) ++first;
        max_count = std::max(max_count, static_cast<int>(last - first + 1));
      }
    }
    return max_count;
  }

  size_t total() const {
    size_t out = 0;
    for (const auto& times : this->sent) out += times.size();
    return out;
  }

  static constexpr int servers = 3;
  int64_t messages = 0;
  absl::Time now = start;

 private:
  struct node {
    grant_client client;
    grant_issuer issuer;
    size_t believed_holder = 0;
    bool in_first_half = false;
  };
  struct message {
    size_t from = 0;
    size_t to = 0;
    grant_request request;
    grant_response response;
    bool is_response = false;
  };

  void next_holder() {
    node& old = this->nodes[this->holder];
    old.issuer.end_term();
    this->holder = this->random.below(this->nodes.size());
    this->term_begin = this->now + this->random.unit() *
                                       std::min(max_gap, this->faults.max_term);
    this->term_end =
        this->term_begin + this->random.unit() * this->faults.max_term + step;
    this->term_began = false;
  }

  void update_lease() {
    if (this->now >= this->term_end) this->next_holder();
    if (this->term_began || this->now < this->term_begin) return;
    this->term_began = true;
    const bool delayed = this->mutated != mutant::no_term_delay;
    this->nodes[this->holder].issuer.begin_term(
        delayed ? this->now : this->now - absl::Seconds(10));
  }

  void split_or_heal() {
    if (!this->faults.splits || this->random.unit() > 0.01) return;
    this->split = !this->split;
    for (node& n : this->nodes) n.in_first_half = this->random.unit() < 0.5;
  }

  void send(message m) {
    ++this->messages;
    const node& from = this->nodes[m.from];
    const node& to = this->nodes[m.to];
    if (this->split && from.in_first_half != to.in_first_half) return;
    if (this->random.unit() < this->faults.lost) return;
    absl::Duration delay = this->random.unit() * absl::Milliseconds(20);
    if (this->random.unit() < this->faults.queued) delay += this->queue_delay();
    this->in_flight.emplace(this->now + delay, std::move(m));
  }

  /// Time until the next flush of the queues.
  absl::Duration queue_delay() const {
    if (this->faults.flush_period == absl::ZeroDuration())
      return this->faults.flush_period;
    return this->faults.flush_period -
           (this->now - start) % this->faults.flush_period;
  }

  grant_response grant(size_t at, const grant_request& request) {
    return this->nodes[at].issuer.grant(
        request,
        [this](const server_request_count&) {
          return bucket_for_cold_rate(this->rate,
                                      grant_timing().grant_lifetime);
        },
        this->now);
  }

  void accept(size_t at, const grant_response& response, absl::Time when) {
    this->nodes[at].client.accept_response(response, when);
  }

  void deliver(const message& m) {
    if (m.is_response) {
      if (this->mutated == mutant::from_receipt) {
        this->nodes[m.to].client.make_request(m.response.nonce, this->now);
      }
      this->accept(m.to, m.response, this->now);
      return;
    }
    message reply{m.to, m.from, {}, this->grant(m.to, m.request), true};
    if (!reply.response.granted.empty()) this->send(std::move(reply));
  }

  void send_request(size_t i) {
    node& n = this->nodes[i];
    if (this->random.unit() < 0.02) n.believed_holder = this->holder;
    if (!n.client.request_due(this->now)) return;
    const grant_request request =
        n.client.make_request(++this->nonce, this->now);
    if (n.believed_holder == i) {
      this->accept(i, this->grant(i, request), this->now);
    } else {
      this->send({i, n.believed_holder, request, {}, false});
    }
  }

  void run_node(size_t i) {
    node& n = this->nodes[i];
    if (this->random.unit() < this->faults.restarts * 0.01) {
      n.client = grant_client();
      n.issuer.end_term();
      if (i == this->holder) this->term_end = this->now;
    }
    // Uses grants only in some steps, so that some are used just before they
    // expire.
    const bool use_grants = this->random.unit() < 0.3;
    for (int s = 0; s < servers; ++s) {
      const std::string& name = this->names[static_cast<size_t>(s)];
      if (this->random.unit() < 0.1) n.client.add_demand(name, 1);
      while (use_grants && n.client.use(name, this->now)) {
        this->sent[static_cast<size_t>(s)].push_back(this->now);
      }
    }
    this->send_request(i);
  }

  void advance() {
    this->now += step;
    this->update_lease();
    this->split_or_heal();
    while (!this->in_flight.empty() &&
           this->in_flight.begin()->first <= this->now) {
      const message m = this->in_flight.begin()->second;
      this->in_flight.erase(this->in_flight.begin());
      this->deliver(m);
    }
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      this->nodes[i].client.expire(this->now);
      this->run_node(i);
    }
  }

  double rate;
  fault_rates faults;
  mutant mutated;
  random_stream random;
  std::vector<node> nodes;
  std::vector<std::string> names;
  std::vector<std::vector<absl::Time>> sent;
  std::multimap<absl::Time, message> in_flight;
  uint64_t nonce = 0;
  size_t holder = 0;
  absl::Time term_begin = start;
  absl::Time term_end = start;
  bool term_began = false;
  bool split = false;
};

const fault_rates all_faults{0.1,  0.5, absl::Seconds(2), absl::Seconds(3),
                             0.02, true};

RC_GTEST_PROP(cold_servers, no_server_gets_more_than_its_rate, ()) {
  fault_rates rates;
  rates.lost = *rc::gen::inRange(0, 50) * 0.01;
  rates.queued = *rc::gen::inRange(0, 50) * 0.01;
  rates.flush_period = absl::Milliseconds(*rc::gen::inRange(0, 3000));
  rates.max_term = absl::Milliseconds(*rc::gen::inRange(10, 8000));
  rates.restarts = *rc::gen::inRange(0, 20) * 0.01;
  rates.splits = *rc::gen::arbitrary<bool>();
  const int nodes = *rc::gen::element(83, 295);
  const int rate = *rc::gen::inRange(1, 60);
  cold_fleet fleet(nodes, rate, rates, mutant::none,
                   *rc::gen::arbitrary<uint64_t>());
  fleet.run(absl::Seconds(6));
  RC_ASSERT(fleet.max_in_a_second() <= rate);
}

TEST(cold_servers, bound_holds_with_all_faults_combined) {
  for (const int nodes : {83, 295}) {
    for (uint64_t seed = 1; seed <= 5; ++seed) {
      cold_fleet fleet(nodes, 26, all_faults, mutant::none, seed);
      fleet.run(absl::Seconds(20));
      EXPECT_LE(fleet.max_in_a_second(), 26) << nodes << " nodes, " << seed;
    }
  }
}

TEST(cold_servers, bound_breaks_if_lifetime_counts_from_receipt) {
  fault_rates rates;
  rates.queued = 0.8;
  rates.flush_period = absl::Seconds(3);
  cold_fleet fleet(83, 26, rates, mutant::from_receipt, 1);
  fleet.run(absl::Seconds(20));
  EXPECT_GT(fleet.max_in_a_second(), 26);
}

TEST(cold_servers, bound_breaks_if_a_new_holder_does_not_wait) {
  fault_rates rates;
  rates.max_term = absl::Milliseconds(100);
  rates.lost = 0.1;
  cold_fleet fleet(83, 4, rates, mutant::no_term_delay, 1);
  fleet.run(absl::Seconds(60));
  EXPECT_GT(fleet.max_in_a_second(), 4);
}

TEST(cold_servers, most_of_the_rate_is_used_without_faults) {
  for (const int nodes : {83, 295, 400}) {
    cold_fleet fleet(nodes, 26, {}, mutant::none, 1);
    fleet.run(absl::Seconds(10));
    // The lifetime of grants takes up a third of the rate, and some of the rest
    // expires unused.
    EXPECT_GT(fleet.total(), 26U * cold_fleet::servers * 9 / 2);
    const double seconds = absl::ToDoubleSeconds(fleet.now - start);
    RecordProperty(absl::StrCat("messages_per_s_at_", nodes),
                   absl::StrCat(static_cast<double>(fleet.messages) / seconds));
    // Each node sends a grant request every 0.8 s. Those that get grants send
    // more, and each of these has a response.
    EXPECT_LE(static_cast<double>(fleet.messages) / seconds,
              nodes / 0.8 + 10 * 26 * cold_fleet::servers);
  }
}

/// Returns a function that returns the bucket for `rate` for every server.
auto bucket_at(double rate) {
  return [rate](const server_request_count&) {
    return bucket_for_cold_rate(rate, grant_timing().grant_lifetime);
  };
}

TEST(token_bucket_params, stays_within_the_rate_in_a_second) {
  for (int rate = 1; rate <= 200; ++rate) {
    const absl::Duration lifetime = absl::Milliseconds(500);
    const token_bucket_params b = bucket_for_cold_rate(rate, lifetime);
    EXPECT_LE(static_cast<int>(b.burst + b.per_s * 1.5), rate);
    EXPECT_GE(b.burst, 1);
  }
  EXPECT_EQ(bucket_for_cold_rate(0.9, absl::Milliseconds(500)),
            token_bucket_params{});
}

TEST(grant_issuer, grants_nothing_without_a_term_or_before_the_delay_ends) {
  grant_issuer issuer;
  const auto rate = bucket_at(26);
  const grant_request request{1, {{"s", 1, 1}}};
  EXPECT_TRUE(issuer.grant(request, rate, start).granted.empty());
  issuer.begin_term(start);
  const absl::Time soon = start + absl::Milliseconds(599);
  EXPECT_TRUE(issuer.grant(request, rate, soon).granted.empty());
  const absl::Time later = start + absl::Milliseconds(600);
  EXPECT_EQ(issuer.grant(request, rate, later).granted.size(), 1U);
  issuer.end_term();
  EXPECT_TRUE(issuer.grant(request, rate, later).granted.empty());
}

TEST(grant_issuer, grants_nothing_for_unknown_servers) {
  grant_issuer issuer;
  issuer.begin_term(start);
  const auto rate = bucket_at(0);
  const absl::Time later = start + absl::Seconds(2);
  const grant_request request{1, {{"s", 1, 1}}};
  EXPECT_TRUE(issuer.grant(request, rate, later).granted.empty());
  EXPECT_EQ(issuer.size(), 0U);
}

TEST(grant_issuer, is_bounded_and_removes_full_buckets) {
  grant_issuer issuer;
  issuer.begin_term(start);
  const auto rate = bucket_at(26);
  const absl::Time later = start + absl::Seconds(2);
  grant_request request;
  for (size_t i = 0; i <= grant_issuer::max_servers; ++i) {
    request.wanted.push_back({absl::StrCat("s", i), 1, 1});
  }
  EXPECT_EQ(issuer.grant(request, rate, later).granted.size(),
            grant_issuer::max_servers);
  issuer.remove_full(later + absl::Seconds(1));
  EXPECT_EQ(issuer.size(), 0U);
}

TEST(grant_issuer, shares_one_bucket_among_instances_of_a_server) {
  grant_issuer issuer;
  issuer.begin_term(start);
  const auto rate = bucket_at(26);
  const absl::Time later = start + absl::Seconds(2);
  const grant_response response =
      issuer.grant({1, {{"s", 1, 2}, {"s", 2, 2}}}, rate, later);
  ASSERT_EQ(response.granted.size(), 1U);
  EXPECT_EQ(response.granted.front().incarnation, 1);
}

TEST(grant_client, grants_expire_a_fixed_time_after_the_request) {
  grant_client client;
  client.add_demand("s", 1);
  ASSERT_TRUE(client.request_due(start));
  const grant_request request = client.make_request(7, start);
  const grant_response response{7, request.wanted};
  const absl::Time received_at = start + absl::Milliseconds(300);
  EXPECT_EQ(client.accept_response(response, received_at), 1);
  EXPECT_EQ(client.accept_response(response, received_at), 0)
      << "response was accepted twice";
  EXPECT_TRUE(client.has("s", received_at));
  EXPECT_FALSE(client.has("s", start + absl::Milliseconds(500)));
  EXPECT_EQ(client.use("s", received_at), start + absl::Milliseconds(500));
  EXPECT_FALSE(client.use("s", received_at));
}

TEST(grant_client, ignores_late_and_unknown_responses) {
  grant_client client;
  client.add_demand("s", 1);
  const grant_response response{7, client.make_request(7, start).wanted};
  EXPECT_EQ(client.accept_response({8, response.granted}, start), 0);
  EXPECT_EQ(client.accept_response(response, start + absl::Milliseconds(500)),
            0);
}

TEST(grant_client, limits_rate_and_size_of_requests) {
  grant_client client;
  for (int i = 0; i < 100; ++i) {
    for (int n = 0; n < 10; ++n) client.add_demand(absl::StrCat("s", i), 1);
  }
  const grant_request request = client.make_request(1, start);
  EXPECT_EQ(request.wanted.size(), grant_client::max_servers);
  for (const auto& w : request.wanted) {
    EXPECT_EQ(w.count, grant_client::max_requests);
  }
  client.add_demand("s", 1);
  EXPECT_FALSE(client.request_due(start + absl::Milliseconds(99)));
  EXPECT_TRUE(client.request_due(start + absl::Milliseconds(100)));
}

TEST(grant_client, backs_off_while_nothing_is_granted) {
  grant_client client;
  absl::Time now = start;
  std::vector<int64_t> intervals;
  for (uint64_t nonce = 1; nonce <= 6; ++nonce) {
    const absl::Time before = now;
    client.add_demand("s", 1);
    while (!client.request_due(now)) now += absl::Milliseconds(1);
    client.make_request(nonce, now);
    intervals.push_back(absl::ToInt64Milliseconds(now - before));
  }
  EXPECT_EQ(intervals, (std::vector<int64_t>{0, 100, 200, 400, 800, 800}));
  client.accept_response({6, {{"s", 1, 1}}}, now);
  client.add_demand("s", 1);
  EXPECT_TRUE(client.request_due(now + absl::Milliseconds(100)));
}

TEST(grant_client, counts_unused_grants) {
  grant_client client;
  client.add_demand("s", 1);
  const grant_response response{7, client.make_request(7, start).wanted};
  client.accept_response(response, start);
  EXPECT_EQ(client.expire(start + absl::Milliseconds(499)), 0);
  EXPECT_EQ(client.expire(start + absl::Milliseconds(500)), 1);
  EXPECT_EQ(client.held(start), 0);
}

}  // namespace
}  // namespace spokesail
