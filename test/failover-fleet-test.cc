// Fleets whose sound servers fall silent for some seconds, in virtual time: the
// running streams of all nodes, their searches for other endpoints, and the
// probes and retries that these cost.
#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "spokesail/failover.h"
#include "spokesail/hash.h"
#include "spokesail/retry-budget.h"

namespace spokesail {
namespace {

const std::string service = "lm";
const absl::Time old_start = absl::UnixEpoch();
const absl::Time start = old_start + absl::Hours(1);
constexpr absl::Duration step = absl::Milliseconds(10);
/// Steps between two checks of a node's streams.
constexpr int tick_steps = 2;

/// Time in which a server that is not silent answers a probe, and after which a
/// probe is given up.
constexpr absl::Duration answer_time = absl::Milliseconds(5);
constexpr absl::Duration probe_timeout = absl::Milliseconds(90);
/// How long an answer counts, and how long an endpoint is avoided after a probe
/// without one.
constexpr absl::Duration answer_lifetime = absl::Milliseconds(100);
constexpr absl::Duration avoid_duration = absl::Seconds(1);

/// Interval between the events of a stream.
constexpr absl::Duration event_interval = absl::Milliseconds(60);
/// Silence of a group's streams at a node after which its servers are probed,
/// and the minimum interval between these probes.
constexpr absl::Duration long_silence = absl::Milliseconds(130);
constexpr absl::Duration min_probe_interval = absl::Milliseconds(600);

/// Attempts of a request.
constexpr int max_runs = 2;

/// Within this time after a silence was noticed, a stream is moved or its
/// server has gone on.
constexpr absl::Duration move_goal = absl::Milliseconds(600);

/// Mutations that disable one rule, to show that a test detects it.
enum class mutation {
  none,
  /// An attempt is ended before another one is placed.
  give_up_first,
  /// An endpoint takes an attempt without having answered.
  no_confirmation,
  /// Searches begin whenever a stream is in doubt.
  no_pacing,
  /// Retries are sent without a reservation.
  no_reservation
};

/// One group's silence.
struct silence {
  size_t group = 0;
  absl::Duration from;
  absl::Duration length;
};

/// Numbers of a fleet.
struct fleet_size {
  int nodes = 0;
  size_t groups = 0;
  /// Running streams at each node.
  int streams = 0;
  /// Other requests at each node, which count for the retry budget.
  double requests_per_s = 4;
};

const std::vector<fleet_size> fleet_sizes = {
    {9, 16, 4}, {83, 150, 12}, {295, 600, 20}};

/// What a run has shown.
struct run_result {
  /// Attempts that were ended without another one.
  int broken = 0;
  /// Streams that were moved, and those of them that were moved to an endpoint
  /// that had not answered.
  int moved = 0;
  int unproven = 0;
  /// Streams that were kept since no retry was left.
  int refused = 0;
  /// Streams that were in doubt while another attempt was allowed and granted,
  /// and the longest time until they were moved or went on.
  int doubted = 0;
  absl::Duration longest_doubt;
  /// The most probes of searches that one node sent, and that one server got
  /// from all nodes, within any second; and the sum over the run.
  int node_probes_per_s = 0;
  int server_probes_per_s = 0;
  int probes = 0;
  /// Retries above the budget in the worst window; not positive if it is kept.
  double excess = 0;
};

class failover_fleet {
 public:
  failover_fleet(fleet_size size, retry_limits limits, mutation m,
                 uint64_t seed)
      : size(size),
        limits(limits),
        mutated(m),
        random{std::mt19937_64(seed)},
        silences(size.groups),
        probes_at_server(size.groups) {
    for (int i = 0; i < size.nodes; ++i) this->add_node();
    this->probes_of_node.resize(this->nodes.size());
  }

  /// Adds silences; their times are from now.
  void silence_groups(const std::vector<silence>& plan) {
    for (const silence& s : plan) {
      const absl::Time from = this->now + s.from;
      this->silences[s.group].push_back({from, from + s.length});
    }
  }

  void run(absl::Duration length) {
    const auto steps = static_cast<int>(length / step);
    for (int i = 0; i < steps; ++i) this->advance();
  }

  run_result result() const {
    run_result out = this->counted;
    for (const auto& times : this->probes_of_node) {
      out.node_probes_per_s =
          std::max(out.node_probes_per_s, most_per_s(times));
      out.probes += static_cast<int>(times.size());
    }
    for (const auto& times : this->probes_at_server) {
      out.server_probes_per_s =
          std::max(out.server_probes_per_s, most_per_s(times));
    }
    out.excess = this->budget_excess();
    return out;
  }

 private:
  using times = std::vector<absl::Time>;
  struct interval {
    absl::Time from;
    absl::Time until;
  };

  struct stream {
    size_t group = 0;
    int runs = 1;
    absl::Time last_heard;
    absl::Time ends_at;
    /// When its silence was noticed; infinite past if it is not in doubt.
    absl::Time doubted_at = absl::InfinitePast();
    bool searching = false;
    bool refused = false;
    /// Distinguishes the streams that use one slot, and their attempts.
    int64_t id = 0;
  };

  /// What a node knows about an endpoint.
  struct endpoint_state {
    absl::Time avoided_until = absl::InfinitePast();
    absl::Time suspected_at = absl::InfinitePast();
    absl::Time watched_at = absl::InfinitePast();
    absl::Time answered_at = absl::InfinitePast();
    /// When a stream of this node last received an event from it.
    absl::Time last_heard = absl::InfinitePast();
    /// Whether it has just sent an event or answered a probe.
    bool heard(absl::Time now) const {
      return now - std::max(this->last_heard, this->answered_at) <
             answer_lifetime;
    }
  };

  struct node {
    node(const retry_limits& limits, size_t groups)
        : budget(limits, old_start), endpoints(groups) {}
    // Reservations return to it.
    retry_budget budget;
    failover_pacer pacer;
    std::vector<stream> streams;
    std::vector<endpoint_state> endpoints;
  };

  /// A probe of an endpoint for a stream, or because a group is silent.
  struct probe {
    size_t node = 0;
    size_t group = 0;
    absl::Time begun;
    bool answered = false;
    /// Searches only.
    std::optional<size_t> slot;
    int64_t stream_id = 0;
    failover_chance chance;
    std::optional<retry_reservation> reserved;
  };

  void add_node() {
    node& n = this->nodes.emplace_back(this->limits, this->size.groups);
    // Requests of one window, so that the budget is that of a running node.
    for (absl::Time at = start - this->limits.window; at < start; at += step)
      this->count_requests(n, at);
    for (int i = 0; i < this->size.streams; ++i) {
      n.streams.emplace_back();
      this->begin_stream(n, n.streams.back());
    }
  }

  bool chance(double p) { return this->random.unit() < p; }

  bool silent(size_t group, absl::Time at) const {
    return this->silent_until(group, at) != absl::InfinitePast();
  }
  /// End of a group's silence; infinite past if it is not silent.
  absl::Time silent_until(size_t group, absl::Time at) const {
    absl::Time out = absl::InfinitePast();
    for (const interval& s : this->silences[group]) {
      if (s.from <= at && at < s.until) out = std::max(out, s.until);
    }
    return out;
  }

  void count_request(node& n, absl::Time at) {
    n.budget.count_request(service, at);
    this->requests.push_back(at);
  }
  void count_requests(node& n, absl::Time at) {
    const double per_step =
        this->size.requests_per_s * absl::ToDoubleSeconds(step);
    if (this->chance(per_step)) this->count_request(n, at);
  }

  /// A random endpoint that the node does not avoid; for an attempt in place of
  /// another one, of those that it has just heard from, if there are any.
  std::optional<size_t> choose(const node& n, std::optional<size_t> excluded) {
    std::vector<size_t> eligible;
    for (size_t g = 0; g < this->size.groups; ++g) {
      const bool avoided = this->now < n.endpoints[g].avoided_until;
      if (!avoided && g != excluded) eligible.push_back(g);
    }
    std::vector<size_t> heard;
    std::copy_if(eligible.begin(), eligible.end(), std::back_inserter(heard),
                 [&](size_t g) { return n.endpoints[g].heard(this->now); });
    if (excluded && !heard.empty()) eligible = std::move(heard);
    if (eligible.empty()) return std::nullopt;
    return eligible[this->random.below(eligible.size())];
  }

  void begin_stream(node& n, stream& s) {
    const auto group = this->choose(n, std::nullopt);
    s = stream();
    s.group = group.value_or(this->random.below(this->size.groups));
    s.last_heard = this->now;
    s.ends_at = this->now + absl::Seconds(4 + 12 * this->random.unit());
    s.id = ++this->last_id;
  }

  /// Records how long a stream was in doubt.
  void end_doubt(stream& s) {
    if (s.doubted_at == absl::InfinitePast()) return;
    if (!s.refused && s.runs < max_runs) {
      this->counted.doubted++;
      this->counted.longest_doubt =
          std::max(this->counted.longest_doubt, this->now - s.doubted_at);
    }
    s.doubted_at = absl::InfinitePast();
  }

  void run_streams(node& n) {
    for (stream& s : n.streams) {
      const bool event_due = this->now - s.last_heard >= event_interval;
      if (!event_due || this->silent(s.group, this->now)) continue;
      s.last_heard = this->now;
      n.endpoints[s.group].last_heard = this->now;
      this->end_doubt(s);
      if (this->now < s.ends_at) continue;
      this->begin_stream(n, s);
      this->count_request(n, this->now);
    }
  }

  /// Sends a probe, unless the endpoint has just answered.
  void send_probe(probe p) {
    const endpoint_state& endpoint = this->nodes[p.node].endpoints[p.group];
    p.begun = this->now;
    p.answered = true;
    if (p.slot && endpoint.heard(this->now)) {
      this->pending.emplace(this->now, std::move(p));
      return;
    }
    if (p.slot) {
      this->probes_of_node[p.node].push_back(this->now);
      this->probes_at_server[p.group].push_back(this->now);
    }
    const absl::Time goes_on =
        std::max(this->now, this->silent_until(p.group, this->now));
    p.answered = goes_on - this->now < probe_timeout;
    const absl::Time due = p.answered ? goes_on + answer_time : goes_on;
    this->pending.emplace(std::min(due, this->now + probe_timeout),
                          std::move(p));
  }

  /// Probes groups whose streams are silent.
  void watch_groups(size_t i) {
    node& n = this->nodes[i];
    for (const stream& s : n.streams) {
      endpoint_state& endpoint = n.endpoints[s.group];
      const absl::Time heard = std::max(endpoint.last_heard, s.last_heard);
      if (this->now - heard < long_silence) continue;
      if (this->now - endpoint.watched_at < min_probe_interval) continue;
      endpoint.watched_at = this->now;
      probe p;
      p.node = i;
      p.group = s.group;
      this->send_probe(std::move(p));
    }
  }

  void raise_doubts(size_t i) {
    node& n = this->nodes[i];
    for (size_t slot = 0; slot < n.streams.size(); ++slot) {
      stream& s = n.streams[slot];
      const absl::Time suspected_at = n.endpoints[s.group].suspected_at;
      if (s.last_heard >= suspected_at) continue;
      if (s.doubted_at == absl::InfinitePast()) s.doubted_at = suspected_at;
      if (s.runs >= max_runs || s.searching) continue;
      const bool may_begin =
          this->mutated == mutation::no_pacing || n.pacer.try_begin(this->now);
      if (may_begin) this->search(i, slot);
    }
  }

  std::optional<retry_reservation> reserve(node& n) {
    return n.budget.reserve(service, this->size.nodes, this->now);
  }

  void search(size_t i, size_t slot) {
    node& n = this->nodes[i];
    stream& s = n.streams[slot];
    probe p;
    p.node = i;
    p.slot = slot;
    p.stream_id = s.id;
    if (auto granted = this->reserve(n))
      p.reserved.emplace(std::move(*granted));
    p.chance.granted =
        p.reserved.has_value() || this->mutated == mutation::no_reservation;
    const auto group =
        p.chance.granted ? this->choose(n, s.group) : std::nullopt;
    p.chance.placed = group.has_value();
    s.refused |= !p.chance.granted;
    if (!p.chance.granted) this->counted.refused++;
    const bool unproven = this->mutated == mutation::give_up_first ||
                          this->mutated == mutation::no_confirmation;
    if (!p.chance.placed || unproven) {
      this->end_without_probe(n);
      p.begun = this->now;
      p.chance.confirmed = p.chance.placed;
      p.group = group.value_or(0);
      this->finish(n, s, p);
      return;
    }
    p.group = *group;
    s.searching = true;
    this->send_probe(std::move(p));
  }

  void end_without_probe(node& n) {
    if (this->mutated != mutation::no_pacing) n.pacer.end_without_probe();
  }

  void end_probe(probe& p) {
    node& n = this->nodes[p.node];
    endpoint_state& endpoint = n.endpoints[p.group];
    if (p.answered) {
      endpoint.answered_at = this->now;
    } else {
      endpoint.avoided_until = this->now + avoid_duration;
    }
    if (!p.slot) {
      if (!p.answered) endpoint.suspected_at = this->now;
      return;
    }
    if (this->mutated != mutation::no_pacing)
      n.pacer.end(p.answered, this->now);
    stream& s = n.streams[*p.slot];
    if (s.id != p.stream_id) return;
    s.searching = false;
    p.chance.confirmed = p.answered;
    this->finish(n, s, p);
  }

  /// Decides on a stream's attempt at the end of a search.
  void finish(node& n, stream& s, probe& p) {
    p.chance.recovered = s.last_heard > p.begun;
    if (reason_to_keep(p.chance) == nullptr) {
      this->move(n, s, p);
    } else if (this->mutated == mutation::give_up_first) {
      this->counted.broken++;
      this->begin_stream(n, s);
    }
  }

  void move(node& n, stream& s, probe& p) {
    const endpoint_state& to = n.endpoints[p.group];
    const absl::Time answered_at = std::max(to.answered_at, to.last_heard);
    if (p.begun - answered_at >= answer_lifetime) this->counted.unproven++;
    this->counted.moved++;
    this->end_doubt(s);
    if (p.reserved) p.reserved->spend(this->now);
    this->retries.push_back(this->now);
    s.group = p.group;
    s.runs++;
    s.last_heard = this->now;
    s.id = ++this->last_id;
  }

  void advance() {
    this->now += step;
    this->step_number++;
    while (!this->pending.empty() &&
           this->pending.begin()->first <= this->now) {
      probe p = std::move(this->pending.begin()->second);
      this->pending.erase(this->pending.begin());
      this->end_probe(p);
    }
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      node& n = this->nodes[i];
      this->count_requests(n, this->now);
      this->run_streams(n);
      if ((this->step_number + i) % tick_steps != 0) continue;
      this->watch_groups(i);
      this->raise_doubts(i);
    }
  }

  static int most_per_s(const times& sent) {
    size_t most = 0;
    size_t first = 0;
    for (size_t last = 0; last < sent.size(); ++last) {
      while (sent[last] - sent[first] >= absl::Seconds(1)) ++first;
      most = std::max(most, last - first + 1);
    }
    return static_cast<int>(most);
  }

  /// Retries above the allowance in the worst window.
  double budget_excess() const {
    times sorted = this->requests;
    std::sort(sorted.begin(), sorted.end());
    const auto count = [this](const times& in, absl::Time from) {
      const auto begin = std::lower_bound(in.begin(), in.end(), from);
      const auto end =
          std::lower_bound(in.begin(), in.end(), from + this->limits.window);
      return static_cast<double>(end - begin);
    };
    double worst = -this->limits.slack;
    for (const absl::Time at : this->retries) {
      // The window that ends with this retry.
      const absl::Time from = at - this->limits.window + step;
      const double allowed =
          this->limits.ratio * count(sorted, from) + this->limits.slack;
      worst = std::max(worst, count(this->retries, from) - allowed);
    }
    return worst;
  }

  fleet_size size;
  retry_limits limits;
  mutation mutated;
  random_stream random;
  absl::Time now = start;
  size_t step_number = 0;
  int64_t last_id = 0;
  std::vector<std::vector<interval>> silences;
  std::deque<node> nodes;
  // Holds reservations, which end before the nodes' budgets.
  std::multimap<absl::Time, probe> pending;
  std::vector<times> probes_of_node;
  std::vector<times> probes_at_server;
  times requests;
  times retries;
  run_result counted;
};

constexpr absl::Duration before_silence = absl::Seconds(1);

/// The first `fraction` of the groups falls silent at once.
std::vector<silence> silence_at_once(const fleet_size& size, double fraction,
                                     absl::Duration length) {
  std::vector<silence> out;
  const auto count = static_cast<size_t>(
      std::lround(fraction * static_cast<double>(size.groups)));
  for (size_t g = 0; g < count; ++g) out.push_back({g, before_silence, length});
  return out;
}

/// One group after the other falls silent, so that about a quarter is silent at
/// a time. Each is silent once in `length` times four.
std::vector<silence> silence_in_turn(const fleet_size& size,
                                     absl::Duration length) {
  std::vector<silence> out;
  for (size_t g = 0; g < size.groups; ++g) {
    const double part =
        static_cast<double>(g) / static_cast<double>(size.groups);
    out.push_back({g, before_silence + part * 4 * length, length});
  }
  return out;
}

/// A budget that refuses no retry in these runs.
retry_limits ample_limits(const fleet_size& size) {
  return {0.2, absl::Seconds(10), 200.0 * size.nodes};
}

/// A budget that the streams of a silent fleet exhaust.
retry_limits scarce_limits(const fleet_size& size) {
  return {0.2, absl::Seconds(10), 0.5 * size.nodes};
}

run_result run_fleet(const fleet_size& size, const retry_limits& limits,
                     const std::vector<silence>& plan, mutation m,
                     uint64_t seed = 1) {
  failover_fleet fleet(size, limits, m, seed);
  fleet.silence_groups(plan);
  absl::Duration end;
  for (const silence& s : plan) end = std::max(end, s.from + s.length);
  fleet.run(end + absl::Seconds(1));
  return fleet.result();
}

/// The most probes that the searches of one node send within a second while no
/// server answers. Until the first of them fails, `max_searches` run; each that
/// fails halves the limit, and those that were begun together fail together.
/// From then on one runs at a time: it takes `probe_timeout`, and the next one
/// begins `max_delay` later.
int max_node_probes_per_s() {
  const double period_s =
      absl::ToDoubleSeconds(probe_timeout + failover_pacer::max_delay);
  return failover_pacer::max_searches +
         static_cast<int>(std::ceil(1 / period_s));
}

/// The most probes that one server gets from all nodes within a second while no
/// server answers. The nodes' probes are spread over the endpoints that they do
/// not avoid, which are all but those of their own streams and those that they
/// have probed; the count at one of them is at most six standard deviations
/// above the mean. A node sends no more than `max_searches` to one endpoint
/// before the first of them fails, and avoids it for a second then.
double max_server_probes_per_s(const fleet_size& size) {
  const int per_node = max_node_probes_per_s();
  const double endpoints =
      std::max(1.0, static_cast<double>(size.groups) - size.streams - per_node);
  const double mean = per_node * size.nodes / endpoints;
  const double bound = failover_pacer::max_searches * size.nodes;
  return std::min(bound, mean + 6 * std::sqrt(mean));
}

const std::vector<absl::Duration> lengths = {
    absl::Milliseconds(200), absl::Milliseconds(1300), absl::Seconds(4)};

/// Silences of all groups, of some, and of one after the other.
std::vector<std::vector<silence>> all_plans(const fleet_size& size) {
  std::vector<std::vector<silence>> out;
  for (const absl::Duration length : lengths) {
    out.push_back(silence_at_once(size, 1, length));
    out.push_back(silence_at_once(size, 0.25, length));
    out.push_back(silence_at_once(size, 0.9, length));
    out.push_back(silence_in_turn(size, length));
  }
  return out;
}

std::string name_of(const fleet_size& size) {
  return absl::StrCat(size.nodes, " nodes, ", size.groups, " groups, ",
                      size.streams, " streams each");
}

// Guards against answers of sound servers that are ended on a guess.
TEST(failover_fleet, ends_no_attempt_without_another_that_was_proven) {
  for (const auto& size : fleet_sizes) {
    for (const auto& plan : all_plans(size)) {
      const run_result r =
          run_fleet(size, ample_limits(size), plan, mutation::none);
      EXPECT_EQ(r.broken, 0) << name_of(size);
      EXPECT_EQ(r.unproven, 0) << name_of(size);
    }
  }
}

// Guards against a simulation in which no stream is in doubt or moved.
TEST(failover_fleet, doubts_all_streams_and_moves_some) {
  for (const auto& size : fleet_sizes) {
    const run_result all =
        run_fleet(size, ample_limits(size),
                  silence_at_once(size, 1, absl::Seconds(4)), mutation::none);
    EXPECT_EQ(all.doubted, size.nodes * size.streams) << name_of(size);
    EXPECT_EQ(all.moved, 0) << name_of(size);
    const run_result some = run_fleet(
        size, ample_limits(size), silence_at_once(size, 0.25, absl::Seconds(4)),
        mutation::none);
    EXPECT_GT(some.moved, size.nodes * size.streams / 8) << name_of(size);
  }
}

/// Silences of any extent, at once or in turn.
RC_GTEST_PROP(failover_fleet, ends_nothing_too_early_in_any_silence, ()) {
  fleet_size size = fleet_sizes.front();
  size.streams = *rc::gen::inRange(1, 20);
  const auto length = absl::Milliseconds(*rc::gen::inRange(200, 4000));
  const double fraction = *rc::gen::inRange(0, 17) / 16.0;
  const auto plan = *rc::gen::arbitrary<bool>()
                        ? silence_in_turn(size, length)
                        : silence_at_once(size, fraction, length);
  const retry_limits limits =
      *rc::gen::arbitrary<bool>() ? ample_limits(size) : scarce_limits(size);
  const auto seed = *rc::gen::arbitrary<uint64_t>();
  const run_result r = run_fleet(size, limits, plan, mutation::none, seed);
  RC_ASSERT(r.broken == 0);
  RC_ASSERT(r.unproven == 0);
}

TEST(failover_fleet, would_break_streams_off_if_it_gave_up_first) {
  const fleet_size& size = fleet_sizes[1];
  const auto plan = silence_in_turn(size, absl::Seconds(4));
  const run_result r =
      run_fleet(size, scarce_limits(size), plan, mutation::give_up_first);
  EXPECT_GT(r.broken, 0);
  EXPECT_EQ(run_fleet(size, scarce_limits(size), plan, mutation::none).broken,
            0);
}

TEST(failover_fleet, would_move_streams_to_silent_servers_without_proof) {
  const fleet_size& size = fleet_sizes[1];
  const auto plan = silence_at_once(size, 1, absl::Milliseconds(1300));
  const run_result r =
      run_fleet(size, ample_limits(size), plan, mutation::no_confirmation);
  EXPECT_GT(r.unproven, 0);
}

// Guards against a wave of retries by many nodes while servers are silent.
TEST(failover_fleet, keeps_the_retry_budget) {
  for (const auto& size : fleet_sizes) {
    for (const absl::Duration length : lengths) {
      const run_result r =
          run_fleet(size, scarce_limits(size), silence_in_turn(size, length),
                    mutation::none);
      EXPECT_LE(r.excess, 0) << name_of(size) << ", " << length;
    }
  }
}

TEST(failover_fleet, would_exceed_the_budget_without_reservations) {
  const fleet_size& size = fleet_sizes.back();
  const auto plan = silence_in_turn(size, absl::Milliseconds(1300));
  const run_result r =
      run_fleet(size, scarce_limits(size), plan, mutation::no_reservation);
  EXPECT_GT(r.excess, 0);
  EXPECT_GT(run_fleet(size, scarce_limits(size), plan, mutation::none).refused,
            0);
}

// Guards against probes that load servers which all nodes find silent.
TEST(failover_fleet, bounds_the_probes_while_all_servers_are_silent) {
  for (const auto& size : fleet_sizes) {
    for (const absl::Duration length : lengths) {
      const run_result r =
          run_fleet(size, ample_limits(size), silence_at_once(size, 1, length),
                    mutation::none);
      EXPECT_LE(r.node_probes_per_s, max_node_probes_per_s()) << name_of(size);
      EXPECT_LE(r.server_probes_per_s, max_server_probes_per_s(size))
          << name_of(size);
    }
  }
}

/// Probes of all searches while all servers are silent, with this many streams
/// at each node.
int count_probes(fleet_size size, int streams, mutation m) {
  size.streams = streams;
  const auto plan = silence_at_once(size, 1, absl::Seconds(4));
  return run_fleet(size, ample_limits(size), plan, m).probes;
}

// Guards against probes that grow with the number of streams.
TEST(failover_fleet, sends_as_many_probes_for_four_times_the_streams) {
  const fleet_size& size = fleet_sizes.back();
  const int few = count_probes(size, 10, mutation::none);
  const int many = count_probes(size, 40, mutation::none);
  EXPECT_GT(few, 0);
  EXPECT_LE(many, 1.1 * few);
}

TEST(failover_fleet, would_load_the_servers_with_probes_without_a_pace) {
  const fleet_size& size = fleet_sizes[1];
  const run_result r = run_fleet(
      size, ample_limits(size),
      silence_at_once(size, 1, absl::Milliseconds(1300)), mutation::no_pacing);
  EXPECT_GT(r.node_probes_per_s, max_node_probes_per_s());
  EXPECT_GT(r.server_probes_per_s, max_server_probes_per_s(size));
  const int few = count_probes(size, 10, mutation::no_pacing);
  const int many = count_probes(size, 40, mutation::no_pacing);
  EXPECT_GT(many, 1.1 * few);
}

// Guards against streams that stay at silent servers although others answer.
TEST(failover_fleet, moves_streams_soon_while_some_servers_are_silent) {
  for (const auto& size : fleet_sizes) {
    for (const double fraction : {0.1, 0.25, 0.5}) {
      const run_result r = run_fleet(
          size, ample_limits(size),
          silence_at_once(size, fraction, absl::Seconds(4)), mutation::none);
      EXPECT_EQ(r.refused, 0);
      EXPECT_LE(r.longest_doubt, move_goal)
          << name_of(size) << ", silent " << fraction;
    }
  }
}

TEST(failover_fleet, moves_streams_soon_while_one_group_after_another_is) {
  for (const auto& size : fleet_sizes) {
    for (const absl::Duration length : lengths) {
      const run_result r =
          run_fleet(size, ample_limits(size), silence_in_turn(size, length),
                    mutation::none);
      EXPECT_EQ(r.refused, 0);
      EXPECT_LE(r.longest_doubt, move_goal) << name_of(size) << ", " << length;
    }
  }
}

}  // namespace
}  // namespace spokesail
