// Nodes in front of servers that advertise request rate limits.
#include <atomic>

#include "node-fixture.h"
#include "spokesail/grant-timing.h"

namespace spokesail {
namespace {

constexpr int node_count = 3;
constexpr int callers = 6;

/// Length of the window in which a platform counts a server's requests.
constexpr absl::Duration window = absl::Seconds(4);
/// Time that nodes have to comply after a limit is first advertised.
constexpr absl::Duration notice_period = absl::Seconds(3);

/// Maximum number of requests to a server within a window.
double allowed(double per_s) {
  return 1.5 * per_s * absl::ToDoubleSeconds(window) + 5;
}

class server_limit_test : public node_test {
 protected:
  server_limit_test() { this->keys_fail_closed = false; }

  /// Makes all servers of a service advertise a limit; an empty one ends it.
  void advertise_limit(const std::string& service, const std::string& per_s) {
    this->on_loop([=, this] {
      this->fleet->faults.limit.service = service;
      this->fleet->faults.limit.per_s = per_s;
    });
    this->advertised_at = absl::Now();
  }

  /// Sends requests from concurrent callers, each in a closed loop, to all
  /// nodes in turn.
  template <typename Request>
  void send_load(absl::Duration length, Request request) {
    const absl::Time until = boot_now() + length;
    const auto call = [&] {
      while (boot_now() < until) {
        const int number = this->sent++;
        const auto answer = this->send_request(
            request(absl::StrCat("request-", number)), number % node_count);
        if (answer.result_int() == 200) this->served++;
      }
    };
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i) threads.emplace_back(call);
    for (auto& thread : threads) thread.join();
  }

  bool any_holds_lease() {
    return std::any_of(this->nodes.begin(), this->nodes.end(),
                       [](const auto& node) { return node->holds_lease(); });
  }

  /// Whether no node stores a limit in effect.
  bool no_limits() {
    return std::all_of(
        this->nodes.begin(), this->nodes.end(),
        [](const auto& node) { return node->context().limits.size() == 0; });
  }

  /// Maximum number of requests that one server received in a window after the
  /// notice period.
  int max_in_a_window() {
    const auto arrivals =
        this->on_loop([this] { return this->fleet->record.arrivals; });
    std::map<std::string, std::vector<absl::Time>> times;
    for (const auto& arrival : arrivals) {
      if (arrival.at < this->advertised_at + notice_period) continue;
      times[arrival.server].push_back(arrival.at);
    }
    int max_count = 0;
    for (const auto& [server, when] : times) {
      size_t first = 0;
      for (size_t last = 0; last < when.size(); ++last) {
        while (when[last] - when[first] >= window) ++first;
        max_count = std::max(max_count, static_cast<int>(last - first + 1));
      }
    }
    return max_count;
  }

  absl::Time advertised_at;
  std::atomic<int> sent = 0;
  std::atomic<int> served = 0;
};

// Guards against a combined load above the advertised limit.
TEST_F(server_limit_test, groups_get_no_more_than_their_limit) {
  this->start(node_count);
  this->advertise_limit("lm", "1.4");
  this->send_load(notice_period + window, stream_request);
  EXPECT_LE(this->max_in_a_window(), allowed(1.4));
  EXPECT_GT(this->served, 0);
}

// Guards against the same overload of servers without groups.
TEST_F(server_limit_test, plain_servers_get_no_more_than_their_limit) {
  this->start(node_count);
  this->advertise_limit("status", "1.4");
  this->send_load(notice_period + window, [](const std::string& id) {
    return request(id, "/look/now");
  });
  EXPECT_LE(this->max_in_a_window(), allowed(1.4));
  EXPECT_GT(this->served, 0);
}

// Guards against refusals without a usable Retry-After.
TEST_F(server_limit_test, refusals_have_retry_after) {
  this->start(node_count);
  this->advertise_limit("lm", "1");
  for (int i = 0; i < 60; ++i) {
    const auto answer = this->send_request(
        stream_request(absl::StrCat("request-", i)), i % node_count);
    if (answer.result_int() == 200) continue;
    EXPECT_EQ(answer.result_int(), 503U);
    EXPECT_EQ(answer.body(), "servers have reached their limits");
    const double seconds = std::stod(std::string(answer["Retry-After"]));
    EXPECT_GE(seconds, 0.5);
    EXPECT_LE(seconds, 3);
    EXPECT_EQ(this->runs(absl::StrCat("request-", i)), 0);
    return;
  }
  FAIL() << "no request was refused";
}

// Guards against an outage of limited servers while no node holds the lease.
TEST_F(server_limit_test, nodes_use_their_shares_without_a_holder) {
  this->start(node_count);
  this->advertise_limit("lm", "20");
  this->send_load(absl::Seconds(1), stream_request);
  this->on_loop([this] { this->fleet->faults.store_silent = true; });
  ASSERT_TRUE(this->wait_until([this] { return !this->any_holds_lease(); }));
  std::this_thread::sleep_for(
      absl::ToChronoMilliseconds(grant_timing().grant_lifetime));
  this->served = 0;
  this->send_load(window, stream_request);
  EXPECT_GT(this->served, 0);
}

// Guards against limits that stay in effect after the server ends them.
TEST_F(server_limit_test, throttling_stops_after_a_limit_ends) {
  this->start(node_count);
  this->advertise_limit("lm", "5");
  this->send_load(absl::Seconds(1), stream_request);
  this->advertise_limit("lm", "");
  this->send_load(absl::Seconds(2), stream_request);
  EXPECT_TRUE(this->on_loop([this] { return this->no_limits(); }));
  for (int i = 0; i < 30; ++i) {
    const auto id = absl::StrCat("after-", i);
    EXPECT_EQ(
        this->send_request(stream_request(id), i % node_count).result_int(),
        200U);
  }
}

// Guards against nodes that learn of a limit only from their own requests.
TEST_F(server_limit_test, nodes_gossip_limits) {
  this->start(node_count);
  this->advertise_limit("lm", "5");
  EXPECT_EQ(this->send_request(stream_request("request-1"), 0).result_int(),
            200U);
  EXPECT_TRUE(this->wait_until([this] {
    return std::all_of(
        this->nodes.begin(), this->nodes.end(),
        [](const auto& node) { return node->context().limits.size() == 1; });
  }));
}

// Guards against throttling by a malformed limit header.
TEST_F(server_limit_test, a_malformed_limit_does_not_throttle) {
  this->start(node_count);
  this->advertise_limit("lm", "many");
  for (int i = 0; i < 30; ++i) {
    const auto id = absl::StrCat("request-", i);
    EXPECT_EQ(
        this->send_request(stream_request(id), i % node_count).result_int(),
        200U);
  }
}

}  // namespace
}  // namespace spokesail
