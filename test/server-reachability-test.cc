// What a node concludes from connections that fail, and which nodes it reaches
// servers through.
#include "spokesail/server-reachability.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>

namespace spokesail {
namespace {

constexpr absl::Duration head_start = absl::Milliseconds(25);
constexpr absl::Duration connect_timeout = absl::Milliseconds(80);
constexpr absl::Duration round_trip = absl::Milliseconds(2);
constexpr absl::Duration search_timeout = absl::Milliseconds(400);
constexpr size_t max_proxies = 16;

const absl::Time start = absl::FromUnixSeconds(1000);

direct_attempt attempt(direct_result result, absl::Time at,
                       bool silent = true) {
  return {result, at - head_start, at, silent};
}

// Guards against a node that takes one dead server for a lost link.
TEST(server_reachability, one_unreached_server_is_no_partition) {
  server_reachability view;
  view.on_attempt("a", attempt(direct_result::bypassed, start));
  EXPECT_FALSE(view.partitioned(start));
  EXPECT_TRUE(view.prefers_proxies("a", start));
  EXPECT_FALSE(view.prefers_proxies("b", start));
}

// Guards against dead servers, which nobody reaches, that make all other
// servers count as out of reach.
TEST(server_reachability, servers_that_nobody_reaches_are_no_partition) {
  server_reachability view;
  for (const char* server : {"a", "b", "c"})
    view.on_attempt(server, attempt(direct_result::failed, start));
  EXPECT_TRUE(view.in_doubt(start));
  EXPECT_FALSE(view.partitioned(start));
  for (const char* server : {"d", "e", "f"})
    view.on_attempt(server, attempt(direct_result::connected, start));
  EXPECT_FALSE(view.in_doubt(start));
}

// Guards against dead servers that are tried again and again, each time as if
// nothing had been reached since they failed.
TEST(server_reachability, a_server_that_fails_again_leaves_the_others_reached) {
  server_reachability view;
  const auto at = [](int ms) { return start + absl::Milliseconds(ms); };
  view.on_attempt("a", attempt(direct_result::failed, at(0)));
  view.on_attempt("b", attempt(direct_result::failed, at(10)));
  for (const char* server : {"c", "d", "e"})
    view.on_attempt(server, attempt(direct_result::connected, at(20)));
  EXPECT_FALSE(view.in_doubt(at(20)));
  view.on_attempt("a", attempt(direct_result::failed, at(30)));
  view.on_attempt("b", attempt(direct_result::failed, at(40)));
  EXPECT_FALSE(view.in_doubt(at(40)));
}

// Guards against a few servers that are still reached and hide a partition.
TEST(server_reachability, most_servers_decide) {
  server_reachability view;
  for (int i = 0; i < 3; ++i)
    view.on_attempt(absl::StrCat(i), attempt(direct_result::bypassed, start));
  view.on_attempt("reached", attempt(direct_result::connected, start));
  EXPECT_TRUE(view.partitioned(start));
  EXPECT_FALSE(view.prefers_proxies("reached", start));
  EXPECT_TRUE(view.prefers_proxies("unknown", start));
}

// Guards against requests that are refused for want of a path although other
// nodes connect this one to servers.
TEST(server_reachability, servers_are_reached_directly_or_through_other_nodes) {
  server_reachability view;
  EXPECT_EQ(view.last_reached(), absl::InfinitePast());
  view.on_attempt("a", attempt(direct_result::failed, start));
  EXPECT_EQ(view.last_reached(), absl::InfinitePast());
  view.on_proxied("node", start + absl::Milliseconds(1));
  EXPECT_EQ(view.last_reached(), start + absl::Milliseconds(1));
  view.on_heard("b", start + absl::Milliseconds(2));
  EXPECT_EQ(view.last_reached(), start + absl::Milliseconds(2));
}

// Guards against idle connections that are used though they hang.
TEST(server_reachability, connections_heard_before_a_silent_bypass_hang) {
  server_reachability view;
  const absl::Time before = start - absl::Milliseconds(60);
  view.on_heard("a", before);
  view.on_heard("b", before);
  EXPECT_TRUE(view.may_reuse("a", start));
  view.on_attempt("a", attempt(direct_result::bypassed, start));
  EXPECT_FALSE(view.may_reuse("a", start));
  EXPECT_TRUE(view.connection_lost("a", before, start));
  EXPECT_FALSE(view.connection_lost("b", before, start));
  view.on_attempt("c", attempt(direct_result::bypassed, start));
  EXPECT_FALSE(view.may_reuse("b", start));
  const absl::Time later = start + server_reachability::heard_lifetime;
  EXPECT_TRUE(view.connection_lost("b", before, later));
}

// Guards against open connections that are given up because new ones are
// refused.
TEST(server_reachability, refusals_do_not_end_open_connections) {
  server_reachability view;
  view.on_heard("a", start);
  for (const char* server : {"a", "b", "c"})
    view.on_attempt(server, attempt(direct_result::bypassed, start, false));
  EXPECT_TRUE(view.partitioned(start));
  EXPECT_TRUE(view.may_reuse("a", start));
  EXPECT_FALSE(view.connection_lost("a", start - absl::Seconds(1), start));
}

// Guards against evidence that outlives its cause.
TEST(server_reachability, evidence_ends) {
  server_reachability view;
  for (const char* server : {"a", "b"})
    view.on_attempt(server, attempt(direct_result::bypassed, start));
  EXPECT_TRUE(view.probe_due(start));
  view.on_probe(start);
  EXPECT_FALSE(view.probe_due(start));
  const absl::Time end = start + server_reachability::evidence_lifetime;
  EXPECT_FALSE(view.in_doubt(end));
  EXPECT_FALSE(view.prefers_proxies("a", end));
}

// Guards against evidence of lost links that is replaced by a probe which asked
// no other node.
TEST(server_reachability, a_bare_failure_does_not_replace_a_bypass) {
  server_reachability view;
  for (const char* server : {"a", "b"}) {
    view.on_attempt(server, attempt(direct_result::bypassed, start));
    view.on_attempt(
        server, attempt(direct_result::failed, start + absl::Milliseconds(10)));
  }
  EXPECT_TRUE(view.partitioned(start + absl::Milliseconds(20)));
  // The first attempts no longer count.
  const absl::Time later = start + server_reachability::evidence_lifetime;
  view.on_attempt("a", attempt(direct_result::failed, later));
  EXPECT_FALSE(view.partitioned(later));
}

std::string hall_name(int hall) { return absl::StrCat("hall-", hall); }

/// `per_hall` nodes "0", "1", ... in each of three halls.
std::vector<proxy_candidate> candidates_in_three_halls(int per_hall) {
  std::vector<proxy_candidate> out;
  for (int i = 0; i < 3 * per_hall; ++i)
    out.push_back({absl::StrCat(i), hall_name(i % 3)});
  return out;
}

// Guards against a search that stays in halls without links.
TEST(server_reachability, proxies_are_taken_from_the_halls_in_turn) {
  const server_reachability view;
  random_stream random{std::mt19937_64(1)};
  const auto chosen = view.choose_proxies(candidates_in_three_halls(4),
                                          hall_name(0), 6, start, random);
  std::map<int, int> by_hall;
  for (const auto& name : chosen) by_hall[std::stoi(name) % 3]++;
  EXPECT_EQ(std::stoi(chosen.front()) % 3, 0);
  EXPECT_EQ(by_hall, (std::map<int, int>{{0, 2}, {1, 2}, {2, 2}}));
}

// Guards against searches that start anew where few nodes have links, and
// against one proxy that carries all.
TEST(server_reachability, a_known_proxy_comes_third) {
  server_reachability view;
  random_stream random{std::mt19937_64(1)};
  const auto all = candidates_in_three_halls(4);
  view.on_proxied("7", start);
  for (int i = 0; i < 20; ++i) {
    const auto chosen =
        view.choose_proxies(all, hall_name(0), 4, start, random);
    EXPECT_NE(chosen[0], "7");
    EXPECT_NE(chosen[1], "7");
    EXPECT_EQ(chosen[2], "7");
  }
  view.demote_proxy("7", start);
  const auto chosen =
      view.choose_proxies(all, hall_name(0), all.size(), start, random);
  EXPECT_EQ(chosen.back(), "7");
}

/// A fleet in virtual time, some nodes of which lose their links to all servers
/// without an answer. Connections are raced as `server_connector` does.
class fleet {
 public:
  explicit fleet(int nodes, int halls = 3)
      : hall_count(halls), nodes(static_cast<size_t>(nodes)) {}

  int hall_of(size_t node) const { return static_cast<int>(node) % hall_count; }

  /// Cuts all nodes of which `chosen` is true.
  template <typename Choice>
  void cut(Choice chosen) {
    for (size_t i = 0; i < this->nodes.size(); ++i)
      this->nodes[i].cut = chosen(i);
  }

  /// Sends requests from all nodes for a while.
  void run(absl::Duration time, bool local_only = false) {
    const absl::Time until = this->now + time;
    for (; this->now < until; this->now += absl::Milliseconds(20)) {
      for (size_t i = 0; i < this->nodes.size(); ++i) {
        if (this->nodes[i].view.probe_due(this->now)) this->probe(i);
        if (this->random.below(5) == 0) this->request(i, local_only);
      }
    }
  }

  int sent_cut = 0;
  int served_cut = 0;
  /// Requests of cut nodes that waited for an attempt to time out.
  int delayed = 0;
  int proxied = 0;
  std::map<size_t, int> by_proxy;

  struct member {
    server_reachability view;
    bool cut = false;
  };
  const int hall_count;
  /// Proxies tried for one connection.
  size_t max_tries = max_proxies;
  std::vector<member> nodes;
  absl::Time now = start;

 private:
  std::string random_server() { return absl::StrCat("s", random.below(48)); }

  void record(size_t node, const std::string& server, direct_result result) {
    this->nodes[node].view.on_attempt(server, attempt(result, this->now));
  }

  void probe(size_t node) {
    this->nodes[node].view.on_probe(this->now);
    const bool cut = this->nodes[node].cut;
    this->record(node, this->random_server(),
                 cut ? direct_result::bypassed : direct_result::connected);
  }

  void request(size_t node, bool local_only) {
    const std::string server = this->random_server();
    member& self = this->nodes[node];
    if (!self.cut && !self.view.prefers_proxies(server, this->now)) {
      this->record(node, server, direct_result::connected);
      return;
    }
    if (self.cut) ++this->sent_cut;
    absl::Duration spent = absl::ZeroDuration();
    const bool direct_first = !self.view.prefers_proxies(server, this->now);
    if (direct_first) spent += head_start;
    const auto proxy = this->find_proxy(node, server, spent, local_only);
    if (self.cut && spent >= head_start) ++this->delayed;
    if (!proxy || spent >= search_timeout) {
      if (direct_first) this->record(node, server, direct_result::failed);
      return;
    }
    if (direct_first) this->record(node, server, direct_result::bypassed);
    if (self.cut) ++this->served_cut;
    ++this->proxied;
    this->by_proxy[*proxy]++;
  }

  std::optional<size_t> find_proxy(size_t node, const std::string& server,
                                   absl::Duration& spent, bool local_only) {
    std::vector<proxy_candidate> candidates;
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      const bool local = hall_of(i) == hall_of(node);
      if (i == node || (local_only && !local)) continue;
      candidates.push_back({absl::StrCat(i), hall_name(hall_of(i))});
    }
    member& self = this->nodes[node];
    for (const auto& name :
         self.view.choose_proxies(candidates, hall_name(hall_of(node)),
                                  max_tries, this->now, this->random)) {
      const size_t proxy = std::stoul(name);
      spent += round_trip;
      if (!this->nodes[proxy].cut) {
        self.view.on_proxied(name, this->now);
        return proxy;
      }
      if (!this->nodes[proxy].view.may_proxy(server, this->now)) {
        self.view.demote_proxy(name, this->now);
      } else {
        this->record(proxy, server, direct_result::failed);
        spent += head_start;
      }
    }
    return std::nullopt;
  }

  random_stream random{std::mt19937_64(20261203)};
};

constexpr int sizes[] = {9, 83, 295, 984};

/// The most requests that cut nodes may refuse: the platform's bound.
double most_refused(int sent) { return 10 + sent / 50.0; }

// Guards against refusals at one node without links.
TEST(server_reachability_fleet, one_cut_node_is_served) {
  for (const int size : sizes) {
    fleet f(size);
    f.run(absl::Seconds(1));
    f.cut([](size_t i) { return i == 0; });
    f.run(absl::Seconds(5));
    EXPECT_GT(f.sent_cut, 20);
    EXPECT_EQ(f.served_cut, f.sent_cut) << size;
    EXPECT_LE(f.delayed, 5) << size;
  }
}

// Guards against refusals where no node of a hall has links, and against one
// node that carries all.
TEST(server_reachability_fleet, a_cut_hall_is_served_by_the_others) {
  for (const int size : sizes) {
    fleet f(size);
    f.run(absl::Seconds(1));
    f.cut([&](size_t i) { return f.hall_of(i) == 0; });
    f.run(absl::Seconds(5));
    EXPECT_GE(f.served_cut, 0.98 * f.sent_cut) << size;
    int most = 0;
    for (const auto& [proxy, count] : f.by_proxy) most = std::max(most, count);
    const double mean = static_cast<double>(f.proxied) / (size * 2 / 3);
    EXPECT_LE(most, 2 * mean + 10) << size;
  }
}

// A mutant that asks nodes of its own hall only must fail the case above.
TEST(server_reachability_fleet, proxies_of_the_own_hall_are_not_enough) {
  fleet f(83);
  f.run(absl::Seconds(1));
  f.cut([&](size_t i) { return f.hall_of(i) == 0; });
  f.run(absl::Seconds(5), true);
  EXPECT_LT(f.served_cut, 0.98 * f.sent_cut);
}

// Guards against refusals where most nodes of all halls have lost their links,
// from the first second on.
TEST(server_reachability_fleet, most_nodes_cut_are_served_by_the_rest) {
  for (const int size : sizes) {
    fleet f(size);
    f.run(absl::Seconds(1));
    f.cut([](size_t i) { return i % 8 != 0; });
    for (int second = 0; second < 5; ++second) {
      f.sent_cut = f.served_cut = 0;
      f.run(absl::Seconds(1));
      EXPECT_LE(f.sent_cut - f.served_cut, most_refused(f.sent_cut)) << size;
    }
  }
}

// A mutant that tries few proxies must fail the case above.
TEST(server_reachability_fleet, few_proxies_are_not_enough) {
  fleet f(83);
  f.max_tries = 4;
  f.run(absl::Seconds(1));
  f.cut([](size_t i) { return i % 8 != 0; });
  f.run(absl::Seconds(1));
  EXPECT_GT(f.sent_cut - f.served_cut, most_refused(f.sent_cut));
}

// Guards against a cost where no node is cut, and against nodes that do not
// return to their own links.
TEST(server_reachability_fleet, nodes_use_their_own_links_again) {
  for (const int size : sizes) {
    fleet f(size);
    f.run(absl::Seconds(2));
    EXPECT_EQ(f.proxied, 0);
    f.cut([&](size_t i) { return f.hall_of(i) == 0; });
    f.run(absl::Seconds(3));
    f.cut([](size_t) { return false; });
    f.run(absl::Milliseconds(1500));
    f.proxied = 0;
    f.run(absl::Seconds(2));
    EXPECT_EQ(f.proxied, 0) << size;
  }
}

}  // namespace
}  // namespace spokesail
