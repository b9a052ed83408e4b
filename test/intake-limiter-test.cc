// Nodes that get many times the connections that their hosts can serve, in
// virtual time, with the stand-in's balancer.
#include "spokesail/intake-limiter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

#include "balancer.h"

namespace spokesail {
namespace {

constexpr absl::Duration ms = absl::Milliseconds(1);
const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

/// A request occupies a node for this long and costs this much of a core: a
/// part when it is read, the rest with its events.
constexpr absl::Duration request_time = absl::Milliseconds(450);
constexpr int events = 9;
constexpr double start_cost_ms = 0.25;
constexpr double event_cost_ms = 0.03;
constexpr double request_cost_ms = start_cost_ms + events * event_cost_ms;
/// Part of the processor time that the operating system attributes to a
/// process.
constexpr double measured_share = 0.8;
/// Control messages use this part of a host.
constexpr double base_load = 0.05;
/// An accepted request is on time if its host's backlog is below this.
constexpr absl::Duration max_backlog = absl::Milliseconds(150);
constexpr size_t max_attempts = 4;

/// A node on a host with a given part of a core.
class host_model {
 public:
  host_model(double cores, bool limited)
      : cores(cores), limited(limited), limiter({cores, 0}) {}

  bool offer(absl::Time now) {
    const bool may_accept = this->paused
                                ? this->limiter.may_resume(this->running, now)
                                : this->limiter.admits(this->running, now);
    this->paused = !may_accept;
    if (this->limited && !may_accept) return false;
    this->limiter.on_accepted(now);
    this->accepted++;
    this->on_time += this->backlog() <= max_backlog ? 1 : 0;
    this->running++;
    this->work_ms += start_cost_ms;
    this->requests.push_back({now + request_time / events, 0});
    return true;
  }

  /// Processes one millisecond.
  void step(absl::Time now) {
    this->work_ms += base_load * this->cores;
    const double done = std::min(this->work_ms, this->cores);
    this->work_ms -= done;
    this->used += measured_share * done * ms;
    for (auto& r : this->requests) {
      if (now < r.next_event + this->backlog()) continue;
      r.next_event = now + request_time / events;
      r.sent++;
      this->work_ms += event_cost_ms;
    }
    this->running -= static_cast<int>(std::erase_if(
        this->requests, [](const auto& r) { return r.sent == events; }));
    if (now < this->next_tick + this->backlog()) return;
    this->limiter.update({this->used, 0, 0}, this->running,
                         now - this->next_tick, now);
    this->next_tick = now + 20 * ms;
  }

  absl::Duration backlog() const { return this->work_ms / this->cores * ms; }
  /// Requests per second that use the whole host.
  double capacity() const {
    return (1 - base_load) * this->cores * 1000 / request_cost_ms;
  }

  int accepted = 0;
  int on_time = 0;

 private:
  struct running_request {
    absl::Time next_event;
    int sent = 0;
  };

  double cores;
  bool limited;
  intake_limiter limiter;
  bool paused = false;
  double work_ms = 0;
  absl::Duration used;
  int running = 0;
  absl::Time next_tick = start;
  std::vector<running_request> requests;
};

/// A hall of nodes behind the balancer.
struct hall_model {
  explicit hall_model(size_t nodes, double cores, bool limited = true)
      : entry(nodes, 1) {
    for (size_t i = 0; i < nodes; ++i)
      this->hosts.push_back(std::make_unique<host_model>(cores, limited));
  }

  /// Callers send requests for some time; refused ones are sent again to nodes
  /// that they have not met.
  void run(double per_s, absl::Duration length) {
    double due = 0;
    const absl::Time until = this->now + length;
    for (; this->now < until; this->now += ms) {
      for (due += per_s / 1000; due >= 1; due -= 1) this->send();
      for (auto& host : this->hosts) host->step(this->now);
    }
  }

  void send() {
    this->sent++;
    std::set<size_t> tried;
    while (tried.size() < std::min(max_attempts, this->hosts.size())) {
      const size_t node = this->entry.choose(tried);
      tried.insert(node);
      if (this->hosts[node]->offer(this->now)) return;
      if (node != 0) this->refused_elsewhere++;
    }
    this->unserved++;
  }

  /// Sends most first attempts to the first node, `times` as many as use the
  /// whole of its host.
  void crowd(double times, absl::Duration length) {
    constexpr double share = 0.9;
    this->entry.set_crowd({0}, share);
    this->run(times * this->hosts[0]->capacity() / share, length);
    this->entry.set_crowd({}, 0);
  }

  void reset_counts() {
    this->sent = this->unserved = this->refused_elsewhere = 0;
    for (auto& host : this->hosts) host->accepted = host->on_time = 0;
  }

  std::vector<std::unique_ptr<host_model>> hosts;
  standin::balancer entry;
  absl::Time now = start;
  int sent = 0;
  int unserved = 0;
  int refused_elsewhere = 0;
};

constexpr double small_host = 0.12;

/// Every request that is accepted is on time, and nearly all are accepted: the
/// others have room for what the first node refuses.
void expect_crowd_served(size_t nodes, double cores, double times) {
  hall_model hall(nodes, cores);
  host_model& crowded = *hall.hosts[0];
  hall.run(0.1 * crowded.capacity() * static_cast<double>(nodes),
           absl::Seconds(2));
  hall.reset_counts();
  constexpr absl::Duration length = absl::Seconds(4);
  hall.crowd(times, length);
  const double capacity = crowded.capacity() * absl::ToDoubleSeconds(length);
  EXPECT_GE(crowded.accepted, 0.4 * capacity);
  EXPECT_LE(crowded.accepted, 1.1 * capacity);
  for (const auto& host : hall.hosts)
    EXPECT_GE(host->on_time, 0.95 * host->accepted);
  EXPECT_LE(hall.unserved, 0.02 * hall.sent);
  EXPECT_LE(hall.refused_elsewhere, 0.05 * hall.sent);
}

// Guards against a node that accepts more than it can serve in time.
TEST(intake_limiter, a_crowded_node_serves_in_time_and_others_the_rest) {
  expect_crowd_served(9, small_host, 3);
  expect_crowd_served(83, small_host, 3);
  expect_crowd_served(83, small_host, 30);
  expect_crowd_served(83, 0.5, 3);
  expect_crowd_served(295, small_host, 30);
}

TEST(intake_limiter, without_it_a_crowded_node_serves_late) {
  hall_model hall(9, small_host, false);
  hall.crowd(3, absl::Seconds(4));
  EXPECT_LT(hall.hosts[0]->on_time, 0.75 * hall.hosts[0]->accepted);
}

TEST(intake_limiter, refuses_nothing_at_half_of_the_capacity) {
  hall_model hall(9, small_host);
  const double per_s = 0.5 * hall.hosts[0]->capacity() * 9;
  // The limits of idle nodes grow with the load, within some intervals.
  hall.run(per_s, absl::Seconds(1));
  EXPECT_LE(hall.unserved, 0.01 * hall.sent);
  hall.reset_counts();
  hall.run(per_s, absl::Seconds(4));
  EXPECT_EQ(hall.unserved, 0);
  EXPECT_LE(hall.refused_elsewhere, 0.01 * hall.sent);
}

// Guards against nodes that give way one after the other.
TEST(intake_limiter, the_crowd_moves_on_and_leaves_no_trace) {
  hall_model hall(83, small_host);
  hall.run(0.1 * hall.hosts[0]->capacity() * 83, absl::Seconds(1));
  hall.crowd(8, absl::Seconds(3));
  hall.run(0.1 * hall.hosts[0]->capacity() * 83, absl::Seconds(1));
  hall.reset_counts();
  hall.run(0.1 * hall.hosts[0]->capacity() * 83, absl::Seconds(2));
  EXPECT_EQ(hall.unserved, 0);
  EXPECT_EQ(hall.refused_elsewhere, 0);
  EXPECT_EQ(hall.hosts[0]->on_time, hall.hosts[0]->accepted);
}

/// Brings a limiter to a state in which nothing may be accepted.
intake_limiter full_limiter() {
  intake_limiter out({small_host, 0});
  node_usage usage;
  for (int i = 0; i < 50; ++i) {
    usage.processor_time += 20 * small_host * ms;
    out.update(usage, 1000, 40 * ms, start + 20 * i * ms);
  }
  out.on_accepted(start + absl::Seconds(1));
  return out;
}

// Guards against a ready node that accepts no connection at all.
TEST(intake_limiter, accepts_a_connection_now_and_then_whatever_its_load) {
  const intake_limiter limiter = full_limiter();
  const absl::Time accepted = start + absl::Seconds(1);
  EXPECT_FALSE(limiter.admits(1000, accepted + 20 * ms));
  EXPECT_TRUE(
      limiter.may_resume(1000, accepted + intake_limiter::max_closed_time));
}

TEST(intake_limiter, a_full_link_counts_as_a_full_host) {
  intake_limiter limiter({1, 1e6});
  node_usage usage;
  for (int i = 0; i < 50; ++i) {
    usage.bytes_out += 20000;
    limiter.update(usage, 100, absl::ZeroDuration(), start + 20 * i * ms);
  }
  EXPECT_LT(limiter.limit(), 100);
}

}  // namespace
}  // namespace spokesail
