// Days of a fleet in virtual time on which groups crash: with a request that
// crashes each group that runs it, and without one. What becomes of the
// innocent requests beside it, and what the guilty one costs.
#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <cmath>
#include <list>
#include <set>

#include "spokesail/crash-spread.h"

namespace spokesail {
namespace {

constexpr absl::Duration step = absl::Milliseconds(10);
constexpr absl::Duration round_period = absl::Milliseconds(100);
constexpr absl::Duration day = absl::Seconds(35);
constexpr absl::Duration outage = absl::Seconds(6);
constexpr absl::Duration event_period = absl::Milliseconds(70);
constexpr absl::Duration usual_first = absl::Milliseconds(200);
constexpr absl::Duration crash_delay = absl::Milliseconds(60);
/// Innocent requests: 200 a second.
constexpr int arrivals_per_step = 2;
constexpr int sends_per_attempt = 2;
constexpr int attempts = 2;

struct day_shape {
  int nodes = 9;
  int groups = 12;

  /// Attempts of the guilty requests, of which there are so many.
  double guilty_per_s = 0;
  int guilty = 1;
  /// Crashes of single groups, and a part of all groups at second 15.
  double crashes_per_s = 0.3;
  double crash_at_once = 0;
  /// Part of the innocent requests that are one and the same.
  double hot_share = 0;
};

struct day_result {
  int sent = 0;
  int innocent_refused = 0;
  /// Innocent requests that a plain count of ends would have refused.
  int refused_by_count = 0;
  int guilty_crashes = 0;
  int sends_after_time_to_know = 0;
};

class crash_day {
 public:
  crash_day(const day_shape& shape, uint64_t seed)
      : shape(shape), random{std::mt19937_64(seed)} {
    for (int i = 0; i < shape.nodes; ++i) {
      this->names.push_back(absl::StrCat("n", i));
      this->nodes.push_back({{}, crash_spread(this->names.back())});
    }
    this->groups.resize(static_cast<size_t>(shape.groups));
  }

  day_result play() {
    while (this->now < absl::UnixEpoch() + day) this->advance();
    return this->result;
  }

 private:
  struct run {
    request_identity identity;
    bool guilty = false;
    size_t node = 0;
    size_t group = 0;
    int events = 0;
    int done = -1;
    int sends = 0;
    int attempt = 0;
    bool passed_some = false;
    bool repeated = false;
    absl::Time next;
  };
  struct group {
    absl::Time back = absl::InfinitePast();
    int64_t start = 1;
  };
  struct node {
    crash_tracker ledger;
    crash_spread spread;
  };

  double exponential(double mean) {
    return -mean * std::log(1 - this->random.unit());
  }
  bool happens(double per_s) {
    return this->random.unit() < per_s * absl::ToDoubleSeconds(step);
  }

  void advance() {
    this->now += step;
    for (int i = 0; i < arrivals_per_step; ++i) this->arrive(false);
    if (this->happens(this->shape.guilty_per_s)) this->arrive(true);
    if (this->happens(this->shape.crashes_per_s)) {
      this->crash({this->random.below(this->groups.size())});
    }
    if (this->now == absl::UnixEpoch() + absl::Seconds(15)) {
      std::set<size_t> at_once;
      for (size_t g = 0; g < this->groups.size(); ++g) {
        if (this->random.unit() < this->shape.crash_at_once) at_once.insert(g);
      }
      this->crash(at_once);
    }
    this->move_runs();
    if ((this->now - absl::UnixEpoch()) % round_period == absl::ZeroDuration())
      this->tell();
  }

  void arrive(bool guilty) {
    run r;
    r.guilty = guilty;
    const bool hot = !guilty && this->random.unit() < this->shape.hot_share;
    if (guilty) {
      r.identity = {
          7, this->random.below(static_cast<uint64_t>(this->shape.guilty))};
    } else {
      r.identity = {1, hot ? 0 : ++this->count};
      ++this->result.sent;
    }
    r.events = 1 + static_cast<int>(this->exponential(27));
    this->attempt(r);
  }

  /// Has the request come to some node, as a new attempt.
  void attempt(run r) {
    r.node = this->random.below(this->nodes.size());
    r.sends = 0;
    ++r.attempt;
    this->send(r);
  }

  void send(run r) {
    if (this->nodes[r.node].ledger.quarantined(r.identity)) {
      if (!r.guilty) ++this->result.innocent_refused;
      return;
    }
    if (!r.guilty && this->counted[r.identity].size() >= 3) {
      ++this->result.refused_by_count;
      this->counted.erase(r.identity);
    }
    std::vector<size_t> up;
    for (size_t g = 0; g < this->groups.size(); ++g) {
      if (this->groups[g].back <= this->now) up.push_back(g);
    }
    if (up.empty()) return;
    const auto proved = this->proved_at.find(r.identity);
    if (proved != this->proved_at.end() &&
        this->now >= proved->second + absl::Seconds(3)) {
      ++this->result.sends_after_time_to_know;
    }
    r.group = up[this->random.below(up.size())];
    r.passed_some = false;
    r.repeated =
        r.sends > 0 || this->nodes[r.node].ledger.crash_count(r.identity) > 0;
    ++r.sends;
    r.next =
        this->now +
        absl::Seconds(this->exponential(absl::ToDoubleSeconds(usual_first)));
    this->runs.push_back(r);
  }

  void move_runs() {
    std::set<size_t> crashed;
    for (auto at = this->runs.begin(); at != this->runs.end();) {
      run& r = *at;
      if (this->now < r.next) {
        ++at;
      } else if (r.guilty) {
        if (this->now >= r.next + crash_delay) this->note_guilty(r, crashed);
        ++at;
      } else if (++r.done >= r.events) {
        this->nodes[r.node].ledger.add_progress(
            r.identity, run_progress::completed, this->now);
        at = this->runs.erase(at);
      } else {
        r.passed_some = true;
        r.next += event_period;
        ++at;
      }
    }
    this->crash(crashed);
  }

  /// Takes note that a guilty run has its group crash.
  void note_guilty(const run& r, std::set<size_t>& crashed) {
    if (!crashed.insert(r.group).second) return;
    int& ended = this->ended_under[r.identity];
    if (++ended == static_cast<int>(crash_tracker::begun_crash_threshold)) {
      this->proved_at[r.identity] = this->now;
    }
    this->result.guilty_crashes = std::max(this->result.guilty_crashes, ended);
  }

  /// Has groups crash at the same moment.
  void crash(const std::set<size_t>& which) {
    std::list<run> lost;
    for (const size_t g : which) {
      if (this->groups[g].back > this->now) continue;
      this->groups[g].back = this->now + outage;
      const uint64_t start =
          incarnation_hash(absl::StrCat("g", g), this->groups[g].start++);
      for (auto at = this->runs.begin(); at != this->runs.end();) {
        const auto next = std::next(at);
        if (at->group == g) {
          this->note_loss(*at, start);
          lost.splice(lost.end(), this->runs, at);
        }
        at = next;
      }
    }
    for (run& r : lost) {
      if (r.sends < sends_per_attempt) {
        this->send(r);
      } else if (r.attempt < attempts && !r.guilty) {
        this->attempt(r);
      }
    }
  }

  void note_loss(const run& r, uint64_t start) {
    crash_tracker& ledger = this->nodes[r.node].ledger;
    // Its first event comes as its server begins to answer.
    const bool begun = this->now >= r.next || r.passed_some;
    ledger.add_crash(r.identity, start, {r.done, begun, r.repeated}, this->now);
    if (r.passed_some) ledger.add_progress(r.identity, r.done, this->now);
    this->counted[r.identity].insert(start);
  }

  void tell() {
    std::vector<crash_spread::message> all;
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      std::vector<std::string> peers = this->names;
      peers.erase(peers.begin() + static_cast<ptrdiff_t>(i));
      for (auto& m : this->nodes[i].spread.next_round(
               this->nodes[i].ledger, peers, this->random, this->now)) {
        all.push_back(std::move(m));
      }
    }
    for (const auto& m : all) {
      if (this->random.unit() < 0.02) continue;
      const auto to = std::find(this->names.begin(), this->names.end(), m.peer);
      for (const auto& news : m.news) {
        this->nodes[to - this->names.begin()].ledger.merge_update(news,
                                                                  this->now);
      }
    }
  }

  day_shape shape;
  random_stream random;
  absl::Time now = absl::UnixEpoch();
  std::vector<std::string> names;
  std::vector<node> nodes;
  std::vector<group> groups;
  std::list<run> runs;
  std::map<request_identity, std::set<uint64_t>> counted;
  std::map<request_identity, int> ended_under;
  std::map<request_identity, absl::Time> proved_at;
  uint64_t count = 0;
  day_result result;
};

day_result play_days(const day_shape& shape, int days) {
  day_result sum;
  for (int seed = 1; seed <= days; ++seed) {
    const day_result r = crash_day(shape, static_cast<uint64_t>(seed)).play();
    sum.sent += r.sent;
    sum.innocent_refused += r.innocent_refused;
    sum.refused_by_count += r.refused_by_count;
    sum.guilty_crashes = std::max(sum.guilty_crashes, r.guilty_crashes);
    sum.sends_after_time_to_know =
        std::max(sum.sends_after_time_to_know, r.sends_after_time_to_know);
  }
  std::cout << "sent " << sum.sent << ", innocent refused "
            << sum.innocent_refused << ", by a plain count "
            << sum.refused_by_count << ", most crashes under a guilty one "
            << sum.guilty_crashes << ", most sends after 3 s "
            << sum.sends_after_time_to_know << "\n";
  return sum;
}

TEST(crash_days, no_innocent_request_is_refused_as_groups_crash) {
  day_shape shape;
  shape.crashes_per_s = 0.6;
  shape.crash_at_once = 0.4;
  EXPECT_EQ(play_days(shape, 200).innocent_refused, 0);
}

TEST(crash_days, no_request_that_many_send_is_refused_as_groups_crash) {
  day_shape shape;
  shape.crashes_per_s = 0.6;
  shape.crash_at_once = 0.4;
  shape.hot_share = 0.3;
  EXPECT_EQ(play_days(shape, 200).innocent_refused, 0);
}

TEST(crash_days, few_innocent_requests_are_refused_beside_a_guilty_one) {
  day_shape shape;
  shape.guilty_per_s = 2;
  const day_result r = play_days(shape, 50);
  EXPECT_LE(r.innocent_refused, r.sent / 10000);
  EXPECT_LE(r.sends_after_time_to_know, 3);
}

TEST(crash_days, nor_beside_ten_of_them) {
  day_shape shape;
  shape.guilty_per_s = 5;
  shape.guilty = 10;
  const day_result r = play_days(shape, 50);
  EXPECT_LE(r.innocent_refused, r.sent / 10000);
}

}  // namespace
}  // namespace spokesail
