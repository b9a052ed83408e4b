// Requests must be served by the servers that live while others have just
// crashed.
//
// Guards against nodes that take crashed servers for the loss of their own
// links. A node asked two others, which had failed to reach the same server a
// moment before and therefore gave no verdict, and its own failures outnumbered
// the servers that it had reached since. It then refused requests that other
// groups would have served, and did not count crashes, so that a request that
// crashes servers was not quarantined.
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include "node-fixture.h"

namespace spokesail {
namespace {

/// Number of groups that lose their head at once. A request makes more attempts
/// than this.
constexpr size_t lost_at_once = 3;

/// Three nodes and 30 hosts.
class crashed_servers_test : public node_test {
 protected:
  static constexpr int node_count = 3;

  explicit crashed_servers_test(int hosts = 30) : node_test(hosts) {}

  /// Servers that head a serving group, as all nodes know.
  std::vector<std::string> heads() {
    return this->on_loop([this] {
      std::vector<std::string> out;
      for (const auto& group : this->nodes[0]->context().groups("lm")) {
        if (group.serving() && group.model == "large")
          out.push_back(group.head());
      }
      return out;
    });
  }

  /// Their addresses.
  std::vector<std::string> head_addresses() {
    const std::vector<std::string> found = this->heads();
    return this->on_loop([&] {
      std::vector<std::string> out;
      for (const auto& id : found)
        out.push_back(this->nodes[0]->context().directory.find(id)->address);
      return out;
    });
  }

  /// Ends some heads of groups without notice, and returns their addresses.
  std::vector<std::string> crash_heads(size_t lost_groups = lost_at_once,
                                       size_t min_left = lost_at_once + 1) {
    const std::vector<std::string> found = this->heads();
    EXPECT_GE(found.size(), lost_groups + min_left);
    return this->on_loop([&] {
      const server_directory& directory = this->nodes[0]->context().directory;
      std::vector<std::string> addresses;
      for (size_t i = 0; i < lost_groups; ++i)
        addresses.push_back(directory.find(found[i])->address);
      for (size_t i = 0; i < lost_groups; ++i) this->fleet->kill(found[i]);
      return addresses;
    });
  }

  /// Tries to connect to a server as requests do.
  void dial(node_context& node, const std::string& address) {
    tcp::socket socket(*this->loop);
    net::co_spawn(*this->loop, node.connector.dial(socket, address),
                  net::use_future)
        .get();
  }

  bool in_doubt(node_process& node) {
    return this->on_loop([&] {
      node_context& state = node.context();
      return state.reachability.in_doubt(state.now());
    });
  }

  /// Refuses all connections of the nodes to servers for a moment, in which
  /// each node tries to reach those at `addresses`.
  void interrupt_links(const std::vector<std::string>& addresses) {
    this->set_links(standin::link_state::refusing);
    std::vector<std::thread> dials;
    for (auto& node : this->nodes) {
      for (const auto& address : addresses)
        dials.emplace_back([&] { this->dial(node->context(), address); });
    }
    for (auto& thread : dials) thread.join();
    this->set_links(standin::link_state::up);
  }

  void set_links(standin::link_state state) {
    this->on_loop([&, this] {
      for (int node = 0; node < node_count; ++node)
        this->fleet->set_links(absl::StrCat("node-", node), state);
      return 0;
    });
  }

  /// Sends requests to each node, all at once, and returns the number of those
  /// that were not served.
  int count_unserved_at_once(int per_node) {
    std::atomic<int> unserved = 0;
    std::vector<std::thread> callers;
    for (int i = 0; i < node_count * per_node; ++i) {
      callers.emplace_back([&, i] {
        const auto answer = this->send_request(
            stream_request(absl::StrCat("at-once-", i)), i % node_count);
        unserved += event_ids(answer.body()) != all_ids();
      });
    }
    for (auto& caller : callers) caller.join();
    return unserved;
  }

  /// Sends a request to each node at once, several times, and returns the
  /// number of those that were not served.
  int count_unserved(int rounds) {
    std::atomic<int> unserved = 0;
    std::vector<std::thread> callers;
    for (int node = 0; node < node_count; ++node) {
      callers.emplace_back([&, node] {
        for (int i = 0; i < rounds; ++i) {
          const auto answer = this->send_request(
              stream_request(absl::StrCat(node, "-", i)), node);
          unserved += event_ids(answer.body()) != all_ids();
        }
      });
    }
    for (auto& caller : callers) caller.join();
    return unserved;
  }
};

TEST_F(crashed_servers_test, requests_are_served_by_other_groups) {
  this->start(node_count, 2 * lost_at_once + 1);
  this->crash_heads();
  EXPECT_EQ(this->count_unserved(8), 0);
}

// Guards against requests that are refused for want of a path because their
// server has crashed at a node that is in doubt about its links, but reaches
// other servers.
TEST_F(crashed_servers_test, requests_are_served_by_other_groups_in_doubt) {
  this->start(node_count, 2 * lost_at_once + 1);
  this->interrupt_links(this->head_addresses());
  this->crash_heads();
  for (auto& node : this->nodes) EXPECT_TRUE(this->in_doubt(*node));
  EXPECT_EQ(this->count_unserved_at_once(8), 0);
}

TEST_F(crashed_servers_test, cast_no_doubt_on_the_links_of_nodes) {
  this->start(node_count, 2 * lost_at_once + 1);
  const std::vector<std::string> addresses = this->crash_heads();
  for (int round = 0; round < 4; ++round) {
    for (const auto& address : addresses) {
      for (auto& node : this->nodes) {
        this->dial(node->context(), address);
        EXPECT_FALSE(this->in_doubt(*node)) << "round " << round;
      }
    }
  }
}

/// Fewer groups, most of which lose their head.
class most_servers_crashed_test : public crashed_servers_test {
 protected:
  static constexpr size_t lost_groups = 7;
  static constexpr int groups = 9;

  most_servers_crashed_test() : crashed_servers_test(2 * groups) {}
};

// Guards against requests that are refused after a few servers that had crashed
// were found one after the other within milliseconds.
TEST_F(most_servers_crashed_test, requests_are_served_by_the_last_groups) {
  this->start(node_count, lost_groups + 1);
  this->crash_heads(lost_groups, 1);
  EXPECT_EQ(this->count_unserved_at_once(3), 0);
}

}  // namespace
}  // namespace spokesail
