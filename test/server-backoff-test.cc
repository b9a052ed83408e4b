// Nodes in front of servers that turn requests away and ask to back off.
#include <atomic>

#include "node-fixture.h"

namespace spokesail {
namespace {

constexpr int node_count = 2;
constexpr int callers = 6;

/// Time after a server's answer in which requests that are already under way
/// may still arrive.
constexpr absl::Duration notice_period = absl::Milliseconds(500);
/// Requests from one node that may reach a server in the remaining backoff.
constexpr int max_arrivals = 2;

/// The node that a request of `send_load` was sent to.
std::string node_of(const std::string& id) { return id.substr(0, 2); }

class server_backoff_test : public node_test {
 protected:
  server_backoff_test() { this->keys_fail_closed = false; }

  /// Makes servers turn requests away; `retry_after` is in seconds.
  void reject(const std::set<std::string>& servers,
              const std::vector<std::string>& retry_after, bool marked = true) {
    this->on_loop([=, this] {
      auto& rejection = this->fleet->faults.rejection;
      rejection.servers = servers;
      rejection.retry_after = retry_after;
      rejection.marked = marked;
      rejection.active = true;
    });
  }

  void stop_rejecting() {
    this->on_loop([this] { this->fleet->faults.rejection.active = false; });
  }

  std::string serving_head() {
    return this->on_loop([this] { return this->fleet->serving_head("large"); });
  }

  /// Sends requests from concurrent callers, each in a closed loop, to all
  /// nodes in turn.
  template <typename Request>
  void send_load(absl::Duration length, Request request) {
    const absl::Time until = boot_now() + length;
    const auto call = [&] {
      while (boot_now() < until) {
        const int number = this->sent++;
        const int node = number % node_count;
        const auto answer = this->send_request(
            request(absl::StrCat("n", node, "-", number)), node);
        (answer.result_int() == 200 ? this->served : this->not_served)++;
      }
    };
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i) threads.emplace_back(call);
    for (auto& thread : threads) thread.join();
  }

  /// Largest number of requests that reached a server from one node within a
  /// backoff that the server had asked this node for.
  int max_arrivals_in_a_backoff(absl::Duration backoff) {
    const auto record = this->on_loop([this] { return this->fleet->record; });
    int most = 0;
    for (const auto& asked : record.rejections) {
      const auto in_backoff = [&](const auto& arrival) {
        return arrival.server == asked.server &&
               node_of(arrival.id) == node_of(asked.id) &&
               arrival.at > asked.at + notice_period &&
               arrival.at < asked.at + backoff;
      };
      const auto& arrivals = record.arrivals;
      const auto count =
          std::count_if(arrivals.begin(), arrivals.end(), in_backoff);
      most = std::max(most, static_cast<int>(count));
    }
    return most;
  }

  static fleet_request plain_request(const std::string& id) {
    return request(id, "/look/now");
  }

  size_t rejections() {
    return this->on_loop(
        [this] { return this->fleet->record.rejections.size(); });
  }

  std::atomic<int> sent = 0;
  std::atomic<int> served = 0;
  std::atomic<int> not_served = 0;
};

// Guards against sends to a group whose head has asked this node to back off.
TEST_F(server_backoff_test, a_head_in_backoff_gets_no_more_requests) {
  this->start(node_count);
  this->reject({this->serving_head()}, {"4"});
  this->send_load(absl::Seconds(5), stream_request);
  EXPECT_GT(this->rejections(), 0);
  EXPECT_LE(this->max_arrivals_in_a_backoff(absl::Seconds(4)), max_arrivals);
  EXPECT_EQ(this->not_served, 0);
}

// Guards against sends to a plain server that has asked this node to back off.
TEST_F(server_backoff_test, a_plain_server_in_backoff_gets_no_more_requests) {
  this->start(node_count);
  this->reject({"p0"}, {"4"});
  this->send_load(absl::Seconds(5), plain_request);
  EXPECT_GT(this->rejections(), 0);
  EXPECT_LE(this->max_arrivals_in_a_backoff(absl::Seconds(4)), max_arrivals);
  EXPECT_EQ(this->not_served, 0);
}

// Guards against backoffs that count only if the answer states "not run".
TEST_F(server_backoff_test, backoff_counts_in_an_unmarked_refusal) {
  this->start(node_count);
  this->reject({this->serving_head()}, {"4"}, false);
  this->send_load(absl::Seconds(5), stream_request);
  EXPECT_GT(this->rejections(), 0);
  EXPECT_LE(this->max_arrivals_in_a_backoff(absl::Seconds(4)), max_arrivals);
}

// Guards against a request that waits after all servers have turned it away.
// The retry delay shrinks with the time that has passed since.
TEST_F(server_backoff_test, refused_at_once_by_the_last_server_in_backoff) {
  this->start(1);
  this->reject({}, {"4"});
  const auto answer = this->send_request(stream_request("n0-0"));
  EXPECT_EQ(answer.result_int(), 503U);
  EXPECT_EQ(answer.body(), "servers asked to back off");
  EXPECT_GE(std::stod(std::string(answer["Retry-After"])), 3.5);
}

// Guards against requests that wait, or run, while all servers are in backoff.
TEST_F(server_backoff_test, refused_while_all_servers_are_in_backoff) {
  this->start(1);
  this->reject({}, {"4"});
  for (int i = 0; i < 10; ++i) {
    const auto id = absl::StrCat("n0-", i);
    const auto answer = this->send_request(stream_request(id));
    EXPECT_EQ(answer.result_int(), 503U);
    EXPECT_EQ(answer.body(), "servers asked to back off");
    const double seconds = std::stod(std::string(answer["Retry-After"]));
    EXPECT_GT(seconds, 2);
    EXPECT_LE(seconds, 5.5);
    EXPECT_EQ(this->runs(id), 0);
  }
  std::set<std::string> servers;
  const auto record = this->on_loop([this] { return this->fleet->record; });
  for (const auto& rejection : record.rejections) {
    EXPECT_TRUE(servers.insert(rejection.server).second);
  }
}

// Guards against requests that were connecting when the server's state changed.
TEST_F(server_backoff_test, requests_are_withheld_after_connecting) {
  this->start(1);
  this->on_loop([this] {
    node_context& node = this->nodes[0]->context();
    const server_instance server{"p0", 0};
    EXPECT_EQ(node.reason_to_withhold(server), nullptr);
    node.backoffs.note(server, absl::Seconds(60), node.now(), node.random);
    EXPECT_STREQ(node.reason_to_withhold(server), "server asked to back off");
    EXPECT_EQ(node.reason_to_withhold({"p0", 7}), nullptr);
    node.mark_leaving({"p1", 0});
    EXPECT_STREQ(node.reason_to_withhold({"p1", 0}), "server is leaving");
    return 0;
  });
}

// Guards against group members whose fault is reported and not looked into.
TEST_F(server_backoff_test, a_server_named_by_its_address_is_suspected) {
  this->start(1);
  const std::string member = this->serving_member();
  this->on_loop([&, this] {
    auto& rejection = this->fleet->faults.rejection;
    const auto& servers = this->fleet->engines().directory().servers();
    rejection.servers = {this->fleet->serving_head("large")};
    rejection.faulty_server = servers.at(member).entry.address;
    rejection.active = true;
  });
  for (int i = 0; i < 50 && this->rejections() == 0; ++i) {
    this->send_request(stream_request(absl::StrCat("n0-", i)));
  }
  const auto suspected = this->on_loop(
      [this] { return this->nodes[0]->context().suspected_servers; });
  EXPECT_EQ(suspected.count(member), 1U);
}

// Guards against callers that wait for one server's backoff.
TEST_F(server_backoff_test, callers_do_not_get_a_servers_retry_after) {
  this->start(1);
  this->reject({"p0"}, {"4"}, false);
  for (int i = 0; i < 50 && this->rejections() == 0; ++i) {
    const auto answer =
        this->send_request(request(absl::StrCat("n0-", i), "/file/one"));
    if (answer.result_int() == 200) continue;
    EXPECT_EQ(answer.result_int(), 503U);
    EXPECT_EQ(answer.count("Retry-After"), 1U);
    EXPECT_LE(std::stod(std::string(answer["Retry-After"])), 0.5);
  }
  EXPECT_EQ(this->rejections(), 1U);
}

// Guards against servers that are not used again after a backoff.
TEST_F(server_backoff_test, a_server_serves_again_after_its_backoff) {
  this->start(node_count);
  const std::string head = this->serving_head();
  this->reject({head}, {"0.5"});
  this->send_load(absl::Seconds(1), stream_request);
  this->stop_rejecting();
  this->send_load(absl::Seconds(2), stream_request);
  EXPECT_GT(this->on_loop([&] { return this->fleet->record.streams[head]; }),
            0);
}

// Guards against servers that are lost because of a malformed header.
TEST_F(server_backoff_test, a_malformed_backoff_does_not_last) {
  this->start(node_count);
  const std::string head = this->serving_head();
  this->reject({head}, {"soon", "-1"});
  this->send_load(absl::Seconds(1), stream_request);
  this->stop_rejecting();
  this->send_load(absl::Seconds(2), stream_request);
  EXPECT_GT(this->on_loop([&] { return this->fleet->record.streams[head]; }),
            0);
}

// Guards against a shorter backoff that ends a longer one.
TEST_F(server_backoff_test, the_longest_of_repeated_headers_counts) {
  this->start(node_count);
  this->reject({this->serving_head()}, {"0.1", "4"});
  this->send_load(absl::Seconds(5), stream_request);
  EXPECT_GT(this->rejections(), 0);
  EXPECT_LE(this->max_arrivals_in_a_backoff(absl::Seconds(4)), max_arrivals);
}

}  // namespace
}  // namespace spokesail
