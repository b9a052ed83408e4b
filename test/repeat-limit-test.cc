// Retries that servers receive from real nodes stay within the fleet's budget.
#include <algorithm>

#include "node-fixture.h"

namespace spokesail {
namespace {

/// Number of runs after the first of their request, in the worst window.
int max_retries(const std::vector<standin::server_run>& runs,
                absl::Duration window) {
  std::set<std::string> seen;
  std::vector<absl::Time> retries;
  for (const auto& run : runs) {
    if (!seen.insert(run.id).second) retries.push_back(run.at);
  }
  size_t max_in_window = 0;
  size_t first = 0;
  for (size_t i = 0; i < retries.size(); ++i) {
    while (retries[i] - retries[first] > window) ++first;
    max_in_window = std::max(max_in_window, i - first + 1);
  }
  return static_cast<int>(max_in_window);
}

class repeat_limit_test : public node_test {
 protected:
  explicit repeat_limit_test(int hosts = 6) : node_test(hosts) {
    this->nodes_long_running = false;
  }

  /// Lets the nodes run for a whole window of the budget.
  void wait_for_window() {
    std::this_thread::sleep_for(
        absl::ToChronoMilliseconds(1.1 * this->retries.window));
  }

  /// Sends calls to a node that fail at each server.
  void send_failing(int node, int calls) {
    for (int i = 0; i < calls; ++i) {
      const auto id = absl::StrCat("node-", node, "-call-", i);
      this->send_request(request(id, "/look/minutes"), node);
      ++this->requests;
    }
  }

  int max_retries_seen() {
    return this->on_loop([this] {
      return max_retries(this->fleet->record.all_runs, this->retries.window);
    });
  }

  double allowed() const {
    return this->retries.ratio * this->requests + this->retries.slack;
  }

  int requests = 0;
};

// Guards against a budget that starts full in each new process.
TEST_F(repeat_limit_test, new_processes_add_nothing_to_the_budget) {
  this->retries = {0.1, absl::Seconds(4), 20};
  this->start(2);
  this->wait_for_window();
  this->on_loop([this] { return this->fleet->faults.fail_plain_calls = 1000; });
  for (int node = 0; node < 2; ++node) this->send_failing(node, 30);
  this->on_loop([this] {
    this->add_node("node-2");
    this->add_node("node-3");
    return 0;
  });
  ASSERT_TRUE(this->wait_until([this] {
    return this->nodes[2]->context().ready() &&
           this->nodes[3]->context().ready();
  }));
  for (int node = 2; node < 4; ++node) this->send_failing(node, 30);
  EXPECT_LE(this->max_retries_seen(), this->allowed());
  EXPECT_GT(this->max_retries_seen(), 0);
}

// Guards against dividing the slack by too few nodes in a network partition.
TEST_F(repeat_limit_test, a_partitioned_node_uses_only_its_own_share) {
  constexpr int other_nodes = 3;
  constexpr int calls = 30;
  this->retries = {0.1, absl::Seconds(4), 20};
  for (int i = 0; i < other_nodes; ++i) {
    this->fleet->enroll_node(
        absl::StrCat("unheard-", i),
        {{"address", free_address()}, {"hall", "hall"}, {"cores", 1}});
  }
  this->start(1);
  this->wait_for_window();
  this->on_loop([this] { return this->fleet->faults.fail_plain_calls = 1000; });
  this->send_failing(0, calls);
  const double share = this->retries.slack / (1 + other_nodes);
  EXPECT_LE(this->max_retries_seen(), this->retries.ratio * calls + share);
  EXPECT_GT(this->max_retries_seen(), 0);
}

// Guards against unreachable servers that use up retries.
TEST_F(repeat_limit_test, unreachable_servers_use_up_no_retries) {
  this->retries = {0, absl::Seconds(1), 100};
  this->keys_fail_closed = false;
  this->start(1);
  // The node must not learn of the server's end, not even by a pending watch.
  this->on_loop([this] { return this->fleet->faults.store_silent = true; });
  this->wait_for_window();
  node_context& state = this->nodes[0]->context();
  std::string stopped;
  std::string service;
  this->on_loop([&] {
    for (const auto& [id, server] : state.directory.servers()) {
      if (server.entry.service == "lm") continue;
      stopped = id;
      service = server.entry.service;
    }
    this->fleet->kill(stopped);
    return 0;
  });
  ASSERT_FALSE(stopped.empty());
  const auto is_suspected = [&] {
    return state.suspected_servers.count(stopped) != 0;
  };
  for (int i = 0; i < 50 && !this->on_loop(is_suspected); ++i) {
    const auto id = absl::StrCat("call-", i);
    EXPECT_EQ(this->send_request(request(id, "/look/minutes")).result_int(),
              200U);
  }
  ASSERT_TRUE(this->on_loop(is_suspected));
  const auto usage = this->on_loop(
      [&] { return state.retries.usage(service, 1, state.now()); });
  EXPECT_EQ(usage.retries, 0);
  EXPECT_EQ(usage.reserved, 0);
}

/// One group and one spare.
class one_group_limit_test : public repeat_limit_test {
 protected:
  one_group_limit_test() : repeat_limit_test(3) {}
};

// Guards against streams that pass the budget together and are retried later.
TEST_F(one_group_limit_test, streams_of_a_lost_group_stay_within_the_budget) {
  constexpr int streams = 8;
  this->retries = {0, absl::Seconds(3), 2};
  this->start(1, 1);
  this->wait_for_window();
  const std::string member = this->serving_member();
  ASSERT_FALSE(member.empty());
  std::vector<tcp::socket> sockets;
  for (int i = 0; i < streams; ++i) {
    sockets.push_back(this->connect());
    auto out = stream_request(absl::StrCat("r", i));
    out.prepare_payload();
    http::write(sockets.back(), out);
  }
  ASSERT_TRUE(this->wait_until(
      [this] { return this->fleet->record.all_runs.size() == streams; }));
  this->on_loop([&] {
    this->fleet->kill(member);
    return 0;
  });
  for (auto& socket : sockets) {
    boost::beast::flat_buffer buffer;
    fleet_standin::response in;
    boost::system::error_code ignored;
    http::read(socket, buffer, in, ignored);
  }
  EXPECT_LE(this->max_retries_seen(), this->retries.slack);
  EXPECT_GT(this->max_retries_seen(), 0);
}

}  // namespace
}  // namespace spokesail
