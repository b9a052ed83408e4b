// Nodes before servers that name how many requests a second they take.
#include <atomic>

#include "node-fixture.h"

namespace spokesail {
namespace {

constexpr int node_count = 3;
constexpr int callers = 6;

/// Platforms count what a server gets in any time as long as this.
constexpr absl::Duration window = absl::Seconds(4);
/// Nodes have this long from the first answer that names a limit.
constexpr absl::Duration notice = absl::Seconds(3);

/// Requests that a server with a limit may get within a window.
double allowed(double per_s) {
  return 1.5 * per_s * absl::ToDoubleSeconds(window) + 5;
}

class server_limit_test : public node_test {
 protected:
  server_limit_test() { this->keys_fail_closed = false; }

  /// Has all servers of a service name a limit from now on.
  void name_limit(const std::string& service, const std::string& per_s) {
    this->on_loop([=, this] {
      this->fleet->faults.limit.service = service;
      this->fleet->faults.limit.per_s = per_s;
    });
    this->named_at = absl::Now();
  }

  /// Has some callers send one request after the other, to all nodes in turn.
  template <typename Request>
  void press(absl::Duration length, Request request) {
    const absl::Time until = boot_now() + length;
    const auto call = [&] {
      while (boot_now() < until) {
        const int number = this->sent++;
        const auto answer = this->ask(request(absl::StrCat("request-", number)),
                                      number % node_count);
        if (answer.result_int() == 200) this->served++;
      }
    };
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i) threads.emplace_back(call);
    for (auto& thread : threads) thread.join();
  }

  /// Most requests that one server got in one window after the notice.
  int most_in_a_window() {
    const auto arrivals =
        this->on_loop([this] { return this->fleet->record.arrivals; });
    std::map<std::string, std::vector<absl::Time>> times;
    for (const auto& arrival : arrivals) {
      if (arrival.at < this->named_at + notice) continue;
      times[arrival.server].push_back(arrival.at);
    }
    int most = 0;
    for (const auto& [server, when] : times) {
      size_t first = 0;
      for (size_t last = 0; last < when.size(); ++last) {
        while (when[last] - when[first] >= window) ++first;
        most = std::max(most, static_cast<int>(last - first + 1));
      }
    }
    return most;
  }

  absl::Time named_at;
  std::atomic<int> sent = 0;
  std::atomic<int> served = 0;
};

// Guards against nodes that together send a server more than it says it takes.
TEST_F(server_limit_test, groups_get_no_more_than_their_heads_name) {
  this->start(node_count);
  this->name_limit("lm", "1.4");
  this->press(notice + window, stream_request);
  EXPECT_LE(this->most_in_a_window(), allowed(1.4));
  EXPECT_GT(this->served, 0);
}

// Guards against the same at servers without groups.
TEST_F(server_limit_test, plain_servers_get_no_more_than_they_name) {
  this->start(node_count);
  this->name_limit("status", "1.4");
  this->press(notice + window,
              [](const std::string& id) { return request(id, "/look/now"); });
  EXPECT_LE(this->most_in_a_window(), allowed(1.4));
  EXPECT_GT(this->served, 0);
}

}  // namespace
}  // namespace spokesail
