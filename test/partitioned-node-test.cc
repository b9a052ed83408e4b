// Nodes that have lost their links to all servers, while callers, the store and
// the other nodes still reach them.
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <mutex>
#include <optional>

#include "node-fixture.h"

namespace spokesail {
namespace {

using standin::link_state;
using standin::silence_settings;

constexpr int default_node_count = 3;
/// Number of groups that the hosts of the fixture form.
constexpr int all_groups = 3;

/// Time between two requests of a caller.
constexpr absl::Duration think_time = absl::Milliseconds(10);

enum class call_kind { stream, repeatable, once };
constexpr std::array call_kinds = {call_kind::stream, call_kind::repeatable,
                                   call_kind::once};

/// When a request began.
enum class phase { before, partitioned, after };

/// Requests of one kind, sent to one node and begun in one phase.
struct tally {
  std::atomic<int> sent = 0;
  std::atomic<int> served = 0;
  /// Of those begun before the partition, the ones that ended after its begin.
  std::atomic<int> overlapping = 0;
  std::atomic<int> overlapping_served = 0;
};

/// Requests sent to one node, by kind and phase.
using node_tally = std::array<std::array<tally, 3>, call_kinds.size()>;

/// Some nodes' links, from one moment on.
struct link_change {
  std::set<int> nodes;
  link_state state = link_state::up;
  /// Time until the next change.
  absl::Duration lasts = absl::Seconds(3);
};

class partitioned_node_test : public node_test {
 protected:
  partitioned_node_test() {
    this->keys_fail_closed = false;
    this->halls = {"hall", "hall", "hall-1"};
  }

  void set_links(const std::set<int>& nodes, link_state state) {
    this->on_loop([&, this] {
      for (const int n : nodes) {
        this->fleet->set_links(absl::StrCat("node-", n), state);
      }
      return 0;
    });
  }

  /// Sends one request. Returns whether it was served completely.
  bool call(call_kind kind, int node, const std::string& id) {
    fleet_request out = kind == call_kind::stream ? stream_request(id)
                        : kind == call_kind::once ? request(id, "/file/one")
                                                  : request(id, "/look/now");
    out.prepare_payload();
    boost::system::error_code error;
    tcp::socket socket(this->client);
    socket.connect(parse_endpoint(this->settings[node]->caller_address, error),
                   error);
    if (!error) http::write(socket, out, error);
    boost::beast::flat_buffer buffer;
    fleet_standin::response in;
    if (!error) http::read(socket, buffer, in, error);
    const bool served =
        !error && in.result_int() == 200 &&
        (kind != call_kind::stream || event_ids(in.body()) == all_ids());
    if (!served) this->note_failure(id, error, in);
    return served;
  }

  /// Keeps what a caller saw of a request that was not served.
  void note_failure(const std::string& id,
                    const boost::system::error_code& error,
                    const fleet_standin::response& in) {
    const std::lock_guard lock(this->failures_mutex);
    this->failures += absl::StrCat(
        id, ": ", error ? error.message() : absl::StrCat(in.result_int()), " ",
        in.body().substr(0, 40), "\n");
  }

  void send_load(const std::set<int>& cut, link_state state) {
    this->send_load({{cut, state}});
  }

  /// Sends requests from concurrent callers, each in a closed loop, before,
  /// during and after partitions of some nodes.
  void send_load(const std::vector<link_change>& changes) {
    const int node_count = static_cast<int>(this->nodes.size());
    this->tallies = std::vector<node_tally>(this->nodes.size());
    std::atomic<phase> now = phase::before;
    std::atomic<bool> done = false;
    const auto wait = [](absl::Duration time) {
      std::this_thread::sleep_for(absl::ToChronoMilliseconds(time));
    };
    const auto run_caller = [&](call_kind kind, int node) {
      while (!done) {
        const phase begun = now;
        tally& t = this->tallies[node][static_cast<int>(kind)]
                                [static_cast<int>(begun)];
        t.sent++;
        const bool served =
            this->call(kind, node,
                       absl::StrCat("n", node, "-", static_cast<int>(kind), "-",
                                    this->last_id++));
        t.served += served ? 1 : 0;
        wait(think_time);
        if (begun != phase::before || now == phase::before) continue;
        t.overlapping++;
        t.overlapping_served += served ? 1 : 0;
      }
    };
    std::vector<std::thread> threads;
    for (int node = 0; node < node_count; ++node) {
      for (const call_kind kind : call_kinds) {
        threads.emplace_back(run_caller, kind, node);
        threads.emplace_back(run_caller, kind, node);
      }
    }
    wait(absl::Seconds(1));
    for (const auto& change : changes) {
      this->set_links(change.nodes, change.state);
      now = phase::partitioned;
      wait(change.lasts);
    }
    for (const auto& change : changes)
      this->set_links(change.nodes, link_state::up);
    now = phase::after;
    wait(absl::Seconds(1));
    done = true;
    for (auto& thread : threads) thread.join();
  }

  /// Expects that all requests begun in a phase were served.
  void expect_served(phase begun) {
    for (size_t node = 0; node < this->tallies.size(); ++node) {
      for (const call_kind kind : call_kinds) {
        const tally& t = this->tallies[node][static_cast<int>(kind)]
                                      [static_cast<int>(begun)];
        EXPECT_GT(t.sent, 0);
        EXPECT_EQ(t.served, t.sent)
            << "node " << node << ", kind " << static_cast<int>(kind)
            << ", phase " << static_cast<int>(begun) << "\n"
            << this->failures;
      }
    }
  }

  /// Expects that repeatable requests under way as the partition began were
  /// served. Others may have run and cannot be repeated.
  void expect_repeatable_in_flight_served() {
    for (size_t node = 0; node < this->tallies.size(); ++node) {
      for (const call_kind kind : {call_kind::stream, call_kind::repeatable}) {
        const tally& t = this->tallies[node][static_cast<int>(kind)]
                                      [static_cast<int>(phase::before)];
        EXPECT_EQ(t.overlapping_served, t.overlapping)
            << "node " << node << ", kind " << static_cast<int>(kind) << "\n"
            << this->failures;
      }
    }
  }

  /// Expects that no request ran twice that may run only once.
  void expect_single_runs() {
    const auto runs =
        this->on_loop([this] { return this->fleet->record.runs; });
    const std::string once =
        absl::StrCat("-", static_cast<int>(call_kind::once), "-");
    for (const auto& [id, count] : runs) {
      const bool may_repeat = id.find(once) == std::string::npos;
      EXPECT_TRUE(may_repeat || count == 1) << id;
    }
  }

  /// The groups that serve, with their epochs.
  std::map<std::string, int64_t> serving_groups() {
    return this->on_loop([this] {
      std::map<std::string, int64_t> out;
      const auto& servers = this->fleet->engines().directory().servers();
      for (const auto& [id, server] : servers) {
        const auto& membership = server.entry.membership;
        if (membership.phase != member_phase::open) continue;
        out[membership.group] = membership.epoch;
      }
      return out;
    });
  }

  /// Index of the node that holds the lease; nothing if none does.
  std::optional<int> holder() {
    return this->on_loop([this]() -> std::optional<int> {
      for (size_t i = 0; i < this->nodes.size(); ++i) {
        if (this->nodes[i]->holds_lease()) return static_cast<int>(i);
      }
      return std::nullopt;
    });
  }

  /// Expects that no node counts a server as crashed or unresponsive.
  void expect_no_blame() {
    this->on_loop([this] {
      for (auto& node : this->nodes) {
        EXPECT_TRUE(node->context().crashes.empty());
        EXPECT_TRUE(node->context().unresponsive_servers.empty());
      }
      return 0;
    });
  }

  void partition(const std::set<int>& cut, link_state state,
                 int node_count = default_node_count) {
    this->start(node_count);
    this->send_load(cut, state);
    this->expect_served(phase::partitioned);
    this->expect_served(phase::after);
    this->expect_repeatable_in_flight_served();
    this->expect_single_runs();
  }

  std::mutex failures_mutex;
  /// One line a request that was not served.
  std::string failures;
  std::atomic<int> last_id = 0;
  /// By node.
  std::vector<node_tally> tallies;
};

// Guards against refusals at a node whose connections to servers all hang.
TEST_F(partitioned_node_test, served_while_links_are_silent) {
  this->partition({0}, link_state::silent);
}

// Guards against refusals at a node whose connections to servers are all reset.
TEST_F(partitioned_node_test, served_while_links_reset) {
  this->partition({0}, link_state::reset);
}

// Guards against refusals at a node that can open no connection to a server
// while its open ones remain usable.
TEST_F(partitioned_node_test, served_while_new_connections_are_refused) {
  this->partition({0}, link_state::refusing);
}

// Guards against refusals where no node of a data hall reaches the servers.
TEST_F(partitioned_node_test, served_by_another_hall_while_links_are_silent) {
  this->partition({0, 1}, link_state::silent);
}

// Guards against the same where the connections are reset.
TEST_F(partitioned_node_test, served_by_another_hall_while_links_reset) {
  this->partition({0, 1}, link_state::reset);
}

// Guards against refusals where only one node reaches the servers, and others
// have to find out which it is.
TEST_F(partitioned_node_test, served_by_the_last_node_while_links_are_silent) {
  this->partition({0, 1, 2, 3, 4, 5, 6}, link_state::silent, 8);
}

// Guards against the same where the connections are reset.
TEST_F(partitioned_node_test, served_by_the_last_node_while_links_reset) {
  this->partition({0, 1, 2, 3, 4, 5, 6}, link_state::reset, 8);
}

// Guards against nodes that run late, ask the others at longer intervals for
// it, and refuse requests before they have asked all.
TEST_F(partitioned_node_test, late_nodes_ask_all_others) {
  constexpr int cut_nodes = 7;
  this->start(cut_nodes + 1);
  const auto delay_nodes = [this] {
    return this->on_loop([this] {
      for (int node = 0; node < cut_nodes; ++node)
        this->nodes[node]->context().loop_delay = absl::Milliseconds(100);
      return 0;
    });
  };
  delay_nodes();
  this->set_links({0, 1, 2, 3, 4, 5, 6}, link_state::silent);
  std::atomic<int> served = 0;
  std::atomic<int> ended = 0;
  std::vector<std::thread> callers;
  for (int node = 0; node < cut_nodes; ++node) {
    callers.emplace_back([&, this, node] {
      served += this->call(call_kind::repeatable, node,
                           absl::StrCat("n", node, "-0"));
      ++ended;
    });
  }
  while (ended < cut_nodes) {
    delay_nodes();
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  for (auto& caller : callers) caller.join();
  EXPECT_EQ(served, cut_nodes) << this->failures;
}

// Guards against servers that are excluded because a proxy breaks off.
TEST_F(partitioned_node_test, served_while_a_proxy_loses_its_links_too) {
  this->start(default_node_count);
  this->send_load({{{0}, link_state::reset, absl::Seconds(2)},
                   {{1}, link_state::reset, absl::Seconds(2)}});
  for (const call_kind kind : {call_kind::stream, call_kind::repeatable}) {
    const tally& t = this->tallies[0][static_cast<int>(kind)]
                                  [static_cast<int>(phase::partitioned)];
    EXPECT_EQ(t.served, t.sent) << "kind " << static_cast<int>(kind);
  }
  this->expect_served(phase::after);
  this->expect_single_runs();
}

// Guards against servers that are excluded because a proxy broke off under
// requests that they were running.
TEST_F(partitioned_node_test, servers_are_not_blamed_for_a_lost_proxy) {
  this->start(default_node_count);
  this->set_links({0}, link_state::reset);
  auto& connector = this->nodes[0]->context().connector;
  const auto all_proxies = connector.proxies;
  this->on_loop([&, this] {
    connector.proxies = [&] {
      auto out = all_proxies();
      std::erase_if(out,
                    [](const auto& p) { return p.candidate.name != "node-1"; });
      return out;
    };
    return 0;
  });
  EXPECT_TRUE(this->call(call_kind::stream, 0, "n0-0-0"));
  EXPECT_TRUE(this->wait_until([this] {
    node_context& node = this->nodes[0]->context();
    return node.reachability.partitioned(node.now());
  }));
  this->on_loop([this] {
    silence_settings& silence = this->fleet->faults.silence;
    silence.servers = {"p0", "p1"};
    silence.from = absl::Now();
    silence.until = silence.from + absl::Seconds(1);
    silence.active = true;
    return 0;
  });
  constexpr size_t calls = 4;
  std::atomic<size_t> served = 0;
  std::vector<std::thread> callers;
  for (size_t i = 0; i < calls; ++i) {
    callers.emplace_back([&, this, i] {
      const std::string id = absl::StrCat("n0-1-", i);
      if (this->call(call_kind::repeatable, 0, id)) ++served;
    });
  }
  const auto tunnels = [this] {
    return this->nodes[1]->context().tunnel_count;
  };
  EXPECT_TRUE(this->wait_until([&] { return tunnels() >= calls; }));
  this->on_loop([&] {
    connector.proxies = all_proxies;
    return 0;
  });
  this->set_links({1}, link_state::reset);
  EXPECT_TRUE(this->wait_until([&] { return tunnels() == 0; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  this->on_loop([this] {
    EXPECT_TRUE(this->nodes[0]->context().avoided_until.empty());
    return 0;
  });
  for (auto& caller : callers) caller.join();
  EXPECT_EQ(served, calls) << this->failures;
}

// Guards against refusals at a node that starts without links, so that it has
// never reached a server.
TEST_F(partitioned_node_test, served_by_a_node_that_starts_without_links) {
  this->start(default_node_count);
  for (const link_state state : {link_state::silent, link_state::reset}) {
    const int added = static_cast<int>(this->nodes.size());
    this->on_loop([&, this] {
      this->fleet->set_links(absl::StrCat("node-", added), state);
      this->add_node(absl::StrCat("node-", added));
      return 0;
    });
    ASSERT_TRUE(this->wait_until([&, this] {
      node_context& node = this->nodes[added]->context();
      return node.ready() && !node.groups("lm").empty();
    }));
    for (const call_kind kind : call_kinds) {
      for (int i = 0; i < 10; ++i) {
        EXPECT_TRUE(this->call(
            kind, added,
            absl::StrCat("n", added, "-", static_cast<int>(kind), "-", i)))
            << "kind " << static_cast<int>(kind) << ", request " << i;
      }
    }
  }
}

// Guards against requests that are lost with a proxy that stops.
TEST_F(partitioned_node_test, served_while_a_proxy_stops) {
  this->start(default_node_count);
  std::thread stopper([this] {
    std::this_thread::sleep_for(std::chrono::seconds(2));
    this->on_loop([this] {
      this->nodes[1]->stop("test");
      return 0;
    });
  });
  this->send_load({0}, link_state::reset);
  stopper.join();
  for (const int node : {0, 2}) {
    for (const call_kind kind : call_kinds) {
      const tally& t = this->tallies[node][static_cast<int>(kind)]
                                    [static_cast<int>(phase::partitioned)];
      EXPECT_EQ(t.served, t.sent)
          << "node " << node << ", kind " << static_cast<int>(kind);
    }
  }
  this->expect_single_runs();
}

// Guards against groups that are dissolved, requests that are held to have
// crashed servers, and servers given up for all because of one node's links.
TEST_F(partitioned_node_test, a_partitioned_holder_blames_no_server) {
  this->start(default_node_count, all_groups);
  const auto groups = this->serving_groups();
  const std::optional<int> cut = this->holder();
  ASSERT_TRUE(cut);
  this->send_load({*cut}, link_state::silent);
  EXPECT_EQ(this->serving_groups(), groups);
  this->expect_no_blame();
}

// Guards against a lease that stays with a node that reaches no server.
TEST_F(partitioned_node_test, the_lease_leaves_a_partitioned_holder) {
  this->start(default_node_count);
  const std::optional<int> cut = this->holder();
  ASSERT_TRUE(cut);
  this->set_links({*cut}, link_state::reset);
  EXPECT_TRUE(this->call(call_kind::stream, *cut, "n0-0"));
  EXPECT_TRUE(this->wait_until([&, this] {
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      if (static_cast<int>(i) != *cut && this->nodes[i]->holds_lease())
        return true;
    }
    return false;
  }));
}

// Guards against callers that wait, and servers that are blamed, where no node
// reaches the servers.
TEST_F(partitioned_node_test, refused_while_no_node_reaches_the_servers) {
  this->start(default_node_count, all_groups);
  const auto groups = this->serving_groups();
  this->set_links({0, 1, 2}, link_state::reset);
  std::string reason;
  for (int i = 0; i < 20 && reason != "servers cannot be reached"; ++i) {
    const auto answer = this->send_request(
        request(absl::StrCat("n0-", i), "/file/one"), i % default_node_count);
    EXPECT_EQ(answer.result_int(), 503U);
    reason = answer.body();
    EXPECT_EQ(this->runs(absl::StrCat("n0-", i)), 0);
  }
  EXPECT_EQ(reason, "servers cannot be reached");
  this->set_links({0, 1, 2}, link_state::up);
  EXPECT_TRUE(this->wait_until([this] {
    return std::none_of(this->nodes.begin(), this->nodes.end(),
                        [](const auto& node) {
                          node_context& state = node->context();
                          return state.reachability.in_doubt(state.now());
                        });
  }));
  for (int node = 0; node < default_node_count; ++node) {
    EXPECT_TRUE(
        this->call(call_kind::stream, node, absl::StrCat("n", node, "-s")));
  }
  EXPECT_EQ(this->serving_groups(), groups);
  this->expect_no_blame();
}

// Guards against nodes that carry connections to anywhere.
TEST_F(partitioned_node_test, tunnels_lead_to_servers_only) {
  this->start(1);
  tcp::socket socket(this->client);
  boost::system::error_code error;
  socket.connect(parse_endpoint(this->peer_address(0), error));
  http::request<http::empty_body> out(http::verb::connect, "127.0.0.1:1", 11);
  out.set("Lifetime-Ms", "1000");
  http::write(socket, out);
  boost::beast::flat_buffer buffer;
  http::response_parser<http::empty_body> in;
  in.skip(true);
  http::read_header(socket, buffer, in);
  EXPECT_EQ(in.get().result(), http::status::gateway_timeout);
}

// Guards against sound connections that the kernel ends: a user timeout would
// also bound keep-alive probes.
TEST_F(partitioned_node_test, the_kernel_ends_no_connection_to_a_server) {
  this->start(1);
  EXPECT_TRUE(this->call(call_kind::repeatable, 0, "n0-1"));
  this->on_loop([this] {
    node_context& node = this->nodes[0]->context();
    auto kept = node.pool.take("p0", node.now());
    if (!kept) kept = node.pool.take("p1", node.now());
    if (!kept) {
      ADD_FAILURE() << "no connection was kept";
      return 0;
    }
    net::socket_base::keep_alive keep_alive;
    kept->get_option(keep_alive);
    EXPECT_FALSE(keep_alive.value());
    unsigned timeout_ms = 1;
    socklen_t size = sizeof timeout_ms;
    getsockopt(kept->native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &timeout_ms, &size);
    EXPECT_EQ(timeout_ms, 0U);
    return 0;
  });
}

// Guards against groups and requests that are given up because a sound server
// is silent for a second.
TEST_F(partitioned_node_test, a_server_silent_for_a_second_is_not_given_up) {
  this->start(default_node_count, all_groups);
  const auto groups = this->serving_groups();
  const std::string head =
      this->on_loop([this] { return this->fleet->serving_head("large"); });
  this->on_loop([&, this] {
    silence_settings& silence = this->fleet->faults.silence;
    silence.servers = {head};
    silence.from = absl::Now() + absl::Seconds(1);
    silence.until = silence.from + absl::Milliseconds(1300);
    silence.active = true;
    return 0;
  });
  this->send_load({}, link_state::up);
  for (const phase begun : {phase::before, phase::partitioned, phase::after}) {
    this->expect_served(begun);
  }
  EXPECT_EQ(this->serving_groups(), groups);
  this->expect_no_blame();
}

}  // namespace
}  // namespace spokesail
