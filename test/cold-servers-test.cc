// A whole hall returns cold: what all nodes together send to each of its
// servers, in virtual time, with messages lost and late, halves cut off from
// each other, holders that follow each other and nodes that start again.
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

/// Longest time between two holders' terms.
constexpr absl::Duration longest_gap = absl::Seconds(1);

/// A part that is left out, to show that the bound hangs on it.
enum class mutant {
  none,
  /// A grant's time counts from its receipt.
  from_receipt,
  /// A new holder grants at once, as if it had held the lease for long.
  no_wait
};

/// What goes wrong in a run.
struct trouble {
  double lost = 0;
  /// Part of the messages that queues hold back; all that they hold go on at
  /// once, every `late`.
  double slow = 0;
  absl::Duration late = absl::ZeroDuration();
  /// The longest term of a holder.
  absl::Duration term = absl::Seconds(60);
  /// Part of the nodes that start again in a second.
  double restarts = 0;
  /// Whether halves are cut off from each other now and then.
  bool splits = false;
};

/// Nodes under pressure: each would send ten requests a second to each cold
/// server, many times what these bear.
class cold_fleet {
 public:
  cold_fleet(int nodes, double rate, trouble t, mutant m, uint64_t seed)
      : rate(rate), faults(t), left_out(m), random{std::mt19937_64(seed)} {
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

  /// Most requests that one server got in one second.
  int most_in_a_second() const {
    int most = 0;
    for (const auto& times : this->sent) {
      size_t first = 0;
      for (size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= absl::Seconds(1)) ++first;
        most = std::max(most, static_cast<int>(last - first + 1));
      }
    }
    return most;
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
    grant_client allowance;
    grant_issuer ledger;
    size_t believed_holder = 0;
    bool in_first_half = false;
  };
  struct message {
    size_t from = 0;
    size_t to = 0;
    grant_request asked;
    grant_response given;
    bool is_grant = false;
  };

  void next_holder() {
    node& old = this->nodes[this->holder];
    old.ledger.end_term();
    this->holder = this->random.below(this->nodes.size());
    this->term_begin = this->now + this->random.unit() *
                                       std::min(longest_gap, this->faults.term);
    this->term_end =
        this->term_begin + this->random.unit() * this->faults.term + step;
    this->began = false;
  }

  void keep_lease() {
    if (this->now >= this->term_end) this->next_holder();
    if (this->began || this->now < this->term_begin) return;
    this->began = true;
    const bool waits = this->left_out != mutant::no_wait;
    this->nodes[this->holder].ledger.begin_term(
        waits ? this->now : this->now - absl::Seconds(10));
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
    if (this->random.unit() < this->faults.slow) delay += this->held_back();
    this->under_way.emplace(this->now + delay, std::move(m));
  }

  /// Time until the queues let go.
  absl::Duration held_back() const {
    if (this->faults.late == absl::ZeroDuration()) return this->faults.late;
    return this->faults.late - (this->now - start) % this->faults.late;
  }

  grant_response grant(size_t at, const grant_request& asked) {
    return this->nodes[at].ledger.grant(
        asked,
        [this](const server_request_count&) {
          return bucket_for_cold_rate(this->rate,
                                      grant_timing().grant_lifetime);
        },
        this->now);
  }

  void take(size_t at, const grant_response& given, absl::Time when) {
    this->nodes[at].allowance.accept_response(given, when);
  }

  void deliver(const message& m) {
    if (m.is_grant) {
      if (this->left_out == mutant::from_receipt) {
        this->nodes[m.to].allowance.make_request(m.given.nonce, this->now);
      }
      this->take(m.to, m.given, this->now);
      return;
    }
    message answer{m.to, m.from, {}, this->grant(m.to, m.asked), true};
    if (!answer.given.granted.empty()) this->send(std::move(answer));
  }

  void ask(size_t i) {
    node& n = this->nodes[i];
    if (this->random.unit() < 0.02) n.believed_holder = this->holder;
    if (!n.allowance.request_due(this->now)) return;
    const grant_request asked =
        n.allowance.make_request(++this->nonce, this->now);
    if (n.believed_holder == i) {
      this->take(i, this->grant(i, asked), this->now);
    } else {
      this->send({i, n.believed_holder, asked, {}, false});
    }
  }

  void act(size_t i) {
    node& n = this->nodes[i];
    if (this->random.unit() < this->faults.restarts * 0.01) {
      n.allowance = grant_client();
      n.ledger.end_term();
      if (i == this->holder) this->term_end = this->now;
    }
    // Grants are held back now and then: what is unused is used at its end.
    const bool uses = this->random.unit() < 0.3;
    for (int s = 0; s < servers; ++s) {
      const std::string& name = this->names[static_cast<size_t>(s)];
      if (this->random.unit() < 0.1) n.allowance.add_demand(name, 1);
      while (uses && n.allowance.use(name, this->now)) {
        this->sent[static_cast<size_t>(s)].push_back(this->now);
      }
    }
    this->ask(i);
  }

  void advance() {
    this->now += step;
    this->keep_lease();
    this->split_or_heal();
    while (!this->under_way.empty() &&
           this->under_way.begin()->first <= this->now) {
      const message m = this->under_way.begin()->second;
      this->under_way.erase(this->under_way.begin());
      this->deliver(m);
    }
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      this->nodes[i].allowance.expire(this->now);
      this->act(i);
    }
  }

  double rate;
  trouble faults;
  mutant left_out;
  random_stream random;
  std::vector<node> nodes;
  std::vector<std::string> names;
  std::vector<std::vector<absl::Time>> sent;
  std::multimap<absl::Time, message> under_way;
  uint64_t nonce = 0;
  size_t holder = 0;
  absl::Time term_begin = start;
  absl::Time term_end = start;
  bool began = false;
  bool split = false;
};

const trouble all_at_once{0.1,  0.5, absl::Seconds(2), absl::Seconds(3),
                          0.02, true};

RC_GTEST_PROP(cold_servers, no_server_gets_more_than_its_rate, ()) {
  trouble t;
  t.lost = *rc::gen::inRange(0, 50) * 0.01;
  t.slow = *rc::gen::inRange(0, 50) * 0.01;
  t.late = absl::Milliseconds(*rc::gen::inRange(0, 3000));
  t.term = absl::Milliseconds(*rc::gen::inRange(10, 8000));
  t.restarts = *rc::gen::inRange(0, 20) * 0.01;
  t.splits = *rc::gen::arbitrary<bool>();
  const int nodes = *rc::gen::element(83, 295);
  const int rate = *rc::gen::inRange(1, 60);
  cold_fleet fleet(nodes, rate, t, mutant::none,
                   *rc::gen::arbitrary<uint64_t>());
  fleet.run(absl::Seconds(6));
  RC_ASSERT(fleet.most_in_a_second() <= rate);
}

TEST(cold_servers, bound_holds_with_all_troubles_at_once) {
  for (const int nodes : {83, 295}) {
    for (uint64_t seed = 1; seed <= 5; ++seed) {
      cold_fleet fleet(nodes, 26, all_at_once, mutant::none, seed);
      fleet.run(absl::Seconds(20));
      EXPECT_LE(fleet.most_in_a_second(), 26) << nodes << " nodes, " << seed;
    }
  }
}

TEST(cold_servers, bound_breaks_if_time_counts_from_the_receipt) {
  trouble t;
  t.slow = 0.8;
  t.late = absl::Seconds(3);
  cold_fleet fleet(83, 26, t, mutant::from_receipt, 1);
  fleet.run(absl::Seconds(20));
  EXPECT_GT(fleet.most_in_a_second(), 26);
}

TEST(cold_servers, bound_breaks_if_a_new_holder_does_not_wait) {
  trouble t;
  t.term = absl::Milliseconds(100);
  t.lost = 0.1;
  cold_fleet fleet(83, 4, t, mutant::no_wait, 1);
  fleet.run(absl::Seconds(60));
  EXPECT_GT(fleet.most_in_a_second(), 4);
}

TEST(cold_servers, most_of_the_rate_is_used_while_all_is_well) {
  for (const int nodes : {83, 295, 400}) {
    cold_fleet fleet(nodes, 26, {}, mutant::none, 1);
    fleet.run(absl::Seconds(10));
    // A third of the rate goes to the time of grants, a part of the rest
    // lapses.
    EXPECT_GT(fleet.total(), 26U * cold_fleet::servers * 9 / 2);
    const double seconds = absl::ToDoubleSeconds(fleet.now - start);
    RecordProperty(absl::StrCat("messages_per_s_at_", nodes),
                   absl::StrCat(static_cast<double>(fleet.messages) / seconds));
    // A question each 0.8 s from each node, and some more from those that are
    // granted something, with an answer to each.
    EXPECT_LE(static_cast<double>(fleet.messages) / seconds,
              nodes / 0.8 + 10 * 26 * cold_fleet::servers);
  }
}

/// Returns a function that gives every server the bucket for `rate`.
auto bucket_at(double rate) {
  return [rate](const server_request_count&) {
    return bucket_for_cold_rate(rate, grant_timing().grant_lifetime);
  };
}

TEST(token_bucket_params,
     gives_the_rate_within_a_second_and_the_time_of_grants) {
  for (int rate = 1; rate <= 200; ++rate) {
    const absl::Duration hold = absl::Milliseconds(500);
    const token_bucket_params b = bucket_for_cold_rate(rate, hold);
    EXPECT_LE(static_cast<int>(b.burst + b.per_s * 1.5), rate);
    EXPECT_GE(b.burst, 1);
  }
  EXPECT_EQ(bucket_for_cold_rate(0.9, absl::Milliseconds(500)),
            token_bucket_params{});
}

TEST(grant_issuer, grants_nothing_without_a_term_and_until_it_is_old_enough) {
  grant_issuer ledger;
  const auto rate = bucket_at(26);
  const grant_request asked{1, {{"s", 1, 1}}};
  EXPECT_TRUE(ledger.grant(asked, rate, start).granted.empty());
  ledger.begin_term(start);
  const absl::Time soon = start + absl::Milliseconds(599);
  EXPECT_TRUE(ledger.grant(asked, rate, soon).granted.empty());
  const absl::Time later = start + absl::Milliseconds(600);
  EXPECT_EQ(ledger.grant(asked, rate, later).granted.size(), 1U);
  ledger.end_term();
  EXPECT_TRUE(ledger.grant(asked, rate, later).granted.empty());
}

TEST(grant_issuer, grants_nothing_for_servers_that_it_does_not_know) {
  grant_issuer ledger;
  ledger.begin_term(start);
  const auto rate = bucket_at(0);
  const absl::Time later = start + absl::Seconds(2);
  const grant_request asked{1, {{"s", 1, 1}}};
  EXPECT_TRUE(ledger.grant(asked, rate, later).granted.empty());
  EXPECT_EQ(ledger.size(), 0U);
}

TEST(grant_issuer, is_bounded_and_forgets_servers_with_full_buckets) {
  grant_issuer ledger;
  ledger.begin_term(start);
  const auto rate = bucket_at(26);
  const absl::Time later = start + absl::Seconds(2);
  grant_request asked;
  for (size_t i = 0; i <= grant_issuer::max_servers; ++i) {
    asked.wanted.push_back({absl::StrCat("s", i), 1, 1});
  }
  EXPECT_EQ(ledger.grant(asked, rate, later).granted.size(),
            grant_issuer::max_servers);
  ledger.remove_full(later + absl::Seconds(1));
  EXPECT_EQ(ledger.size(), 0U);
}

TEST(grant_issuer, shares_one_bucket_among_the_starts_of_a_server) {
  grant_issuer ledger;
  ledger.begin_term(start);
  const auto rate = bucket_at(26);
  const absl::Time later = start + absl::Seconds(2);
  const grant_response given =
      ledger.grant({1, {{"s", 1, 2}, {"s", 2, 2}}}, rate, later);
  ASSERT_EQ(given.granted.size(), 1U);
  EXPECT_EQ(given.granted.front().incarnation, 1);
}

TEST(grant_client, ends_a_fixed_time_after_the_question) {
  grant_client allowance;
  allowance.add_demand("s", 1);
  ASSERT_TRUE(allowance.request_due(start));
  const grant_request asked = allowance.make_request(7, start);
  const grant_response given{7, asked.wanted};
  const absl::Time heard = start + absl::Milliseconds(300);
  EXPECT_EQ(allowance.accept_response(given, heard), 1);
  EXPECT_EQ(allowance.accept_response(given, heard), 0)
      << "an answer counts once";
  EXPECT_TRUE(allowance.has("s", heard));
  EXPECT_FALSE(allowance.has("s", start + absl::Milliseconds(500)));
  EXPECT_EQ(allowance.use("s", heard), start + absl::Milliseconds(500));
  EXPECT_FALSE(allowance.use("s", heard));
}

TEST(grant_client, drops_answers_that_come_late_or_were_not_asked_for) {
  grant_client allowance;
  allowance.add_demand("s", 1);
  const grant_response given{7, allowance.make_request(7, start).wanted};
  EXPECT_EQ(allowance.accept_response({8, given.granted}, start), 0);
  EXPECT_EQ(allowance.accept_response(given, start + absl::Milliseconds(500)),
            0);
}

TEST(grant_client, asks_no_more_often_than_its_period_and_within_bounds) {
  grant_client allowance;
  for (int i = 0; i < 100; ++i) {
    for (int n = 0; n < 10; ++n) allowance.add_demand(absl::StrCat("s", i), 1);
  }
  const grant_request asked = allowance.make_request(1, start);
  EXPECT_EQ(asked.wanted.size(), grant_client::max_servers);
  for (const auto& w : asked.wanted) {
    EXPECT_EQ(w.count, grant_client::max_requests);
  }
  allowance.add_demand("s", 1);
  EXPECT_FALSE(allowance.request_due(start + absl::Milliseconds(99)));
  EXPECT_TRUE(allowance.request_due(start + absl::Milliseconds(100)));
}

TEST(grant_client, asks_less_often_while_nothing_is_granted) {
  grant_client allowance;
  absl::Time now = start;
  std::vector<int64_t> pauses;
  for (uint64_t nonce = 1; nonce <= 6; ++nonce) {
    const absl::Time before = now;
    allowance.add_demand("s", 1);
    while (!allowance.request_due(now)) now += absl::Milliseconds(1);
    allowance.make_request(nonce, now);
    pauses.push_back(absl::ToInt64Milliseconds(now - before));
  }
  EXPECT_EQ(pauses, (std::vector<int64_t>{0, 100, 200, 400, 800, 800}));
  allowance.accept_response({6, {{"s", 1, 1}}}, now);
  allowance.add_demand("s", 1);
  EXPECT_TRUE(allowance.request_due(now + absl::Milliseconds(100)));
}

TEST(grant_client, tells_what_was_granted_and_not_used) {
  grant_client allowance;
  allowance.add_demand("s", 1);
  const grant_response given{7, allowance.make_request(7, start).wanted};
  allowance.accept_response(given, start);
  EXPECT_EQ(allowance.expire(start + absl::Milliseconds(499)), 0);
  EXPECT_EQ(allowance.expire(start + absl::Milliseconds(500)), 1);
  EXPECT_EQ(allowance.held(start), 0);
}

}  // namespace
}  // namespace spokesail
