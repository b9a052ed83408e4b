// Choice of relays in a data hall.
#include "spokesail/relay-choice.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "spokesail/hash.h"

namespace spokesail {
namespace {

const std::vector<std::string> hall = {"a1", "a2", "a3", "a4", "a5", "a6"};

std::vector<std::string> order() {
  std::vector<relay_candidate> nodes;
  for (const auto& name : hall) nodes.push_back({name, 1});
  return relay_order(nodes);
}

/// The view of `self`, a node of the hall.
relay_view view_of(const std::string& self) {
  relay_view view;
  view.self = {self, 1};
  for (const auto& name : hall) {
    if (name != self) view.hall_peers.push_back({name, 1});
  }
  return view;
}

TEST(relay_choice, one_node_of_a_hall_watches_and_relays_to_the_others) {
  for (const auto& name : hall) {
    EXPECT_EQ(choose_relay(view_of(name)).upstream, order()[0]);
  }
}

TEST(relay_choice, first_node_uses_a_holder_in_another_hall) {
  for (const auto& name : hall) {
    relay_view view = view_of(name);
    view.holder = "b1";
    const auto chosen = choose_relay(view).upstream;
    EXPECT_EQ(chosen, name == order()[0] ? "b1" : order()[0]);
  }
}

TEST(relay_choice, all_use_a_holder_in_their_hall) {
  for (const auto& name : hall) {
    relay_view view = view_of(name);
    view.holder = order()[4];
    view.holder_in_hall = true;
    EXPECT_EQ(choose_relay(view).upstream, order()[4]);
  }
}

TEST(relay_choice, failed_relays_are_skipped_in_order) {
  relay_view view = view_of(order()[5]);
  view.excluded = {order()[0]};
  EXPECT_EQ(choose_relay(view).upstream, order()[1]);
  view.excluded.insert(order()[1]);
  EXPECT_EQ(choose_relay(view).upstream, order()[2]);
  for (size_t next = 2; next < 5; ++next) {
    EXPECT_EQ(choose_relay(view).upstream, order()[next]);
    view.excluded.insert(order()[next]);
  }
  EXPECT_EQ(choose_relay(view).upstream, view.self.name);
  view.holder = "b1";
  EXPECT_EQ(choose_relay(view).upstream, "b1");
}

TEST(relay_choice, only_the_first_nodes_of_a_hall_are_candidates) {
  size_t candidates = 0;
  for (const auto& name : hall) {
    candidates += choose_relay(view_of(name)).top_ranked ? 1 : 0;
  }
  EXPECT_EQ(candidates, top_ranked_per_hall);
}

TEST(relay_choice, equal_views_never_form_a_cycle) {
  // Each node may have excluded any two others.
  for (const auto& x : hall) {
    for (const auto& y : hall) {
      std::map<std::string, std::string> upstreams;
      for (const auto& name : hall) {
        relay_view view = view_of(name);
        view.excluded = {x, y};
        upstreams[name] = choose_relay(view).upstream;
      }
      for (const auto& name : hall) {
        std::string at = name;
        size_t hops = 0;
        while (upstreams[at] != at && hops <= hall.size()) {
          at = upstreams[at];
          ++hops;
        }
        EXPECT_LE(hops, hall.size()) << name;
      }
    }
  }
}

/// A hall of `size` nodes, a twentieth of which have four times the others'
/// share of a core.
std::vector<relay_candidate> hall_of(int size) {
  constexpr int one_in = 20;
  std::vector<relay_candidate> out;
  for (int i = 0; i < size; ++i) {
    out.push_back({absl::StrCat("n", i), i % one_in == 0 ? 0.5F : 0.125F});
  }
  return out;
}

/// The relay of each node when all have excluded the same nodes.
std::map<std::string, std::string> upstreams_of_all(
    const std::vector<relay_candidate>& nodes, const std::string& holder,
    const std::set<std::string>& excluded) {
  std::map<std::string, std::string> out;
  for (const auto& self : nodes) {
    relay_view view;
    view.self = self;
    view.holder = holder;
    view.excluded = excluded;
    for (const auto& peer : nodes) {
      if (!(peer == self)) view.hall_peers.push_back(peer);
    }
    out[self.name] = choose_relay(view).upstream;
  }
  return out;
}

/// In a large hall, a node that all others used as their relay would be slow
/// for all.
TEST(relay_choice, no_relay_of_a_large_hall_exceeds_its_fan_out) {
  for (const int size : {3, 12, 60, 200}) {
    const auto nodes = hall_of(size);
    std::map<std::string, size_t> children;
    for (const auto& [name, upstream] : upstreams_of_all(nodes, "holder", {})) {
      children[upstream]++;
    }
    for (const auto& node : nodes) {
      EXPECT_LE(children[node.name], relay_fan_out(node.cores)) << node.name;
    }
    EXPECT_EQ(children["holder"], 1U);
  }
}

TEST(relay_choice, fan_out_follows_the_share_of_a_core) {
  EXPECT_EQ(relay_fan_out(0.5F), 24U);
  EXPECT_EQ(relay_fan_out(0.125F), 6U);
  EXPECT_EQ(relay_fan_out(0.01F), 4U);
  EXPECT_EQ(relay_fan_out(16), 32U);
}

TEST(relay_choice, updates_reach_sixty_nodes_in_three_steps) {
  const auto upstreams = upstreams_of_all(hall_of(60), "holder", {});
  for (const auto& [name, upstream] : upstreams) {
    int steps = 0;
    for (std::string at = name; at != "holder"; at = upstreams.at(at)) ++steps;
    EXPECT_LE(steps, 3) << name;
  }
}

TEST(relay_choice, nodes_with_more_of_a_core_rank_first) {
  const auto nodes = hall_of(60);
  std::map<std::string, float> cores;
  for (const auto& node : nodes) cores[node.name] = node.cores;
  const auto first = relay_order(nodes);
  for (size_t i = 0; i < top_ranked_per_hall; ++i)
    EXPECT_EQ(cores[first[i]], 0.5F);
}

RC_GTEST_PROP(relay_choice, at_most_one_node_watches_after_any_failures, ()) {
  const int size = *rc::gen::element(2, 9, 60, 120);
  const auto nodes = hall_of(size);
  std::set<std::string> failed;
  const int lost = *rc::gen::inRange(0, size + 1);
  for (int i = 0; i < lost; ++i) {
    failed.insert(nodes[*rc::gen::inRange<size_t>(0, nodes.size())].name);
  }
  int watching = 0;
  for (const auto& [name, upstream] : upstreams_of_all(nodes, "", failed)) {
    // A node that the others have excluded has a relay or watches by itself.
    if (upstream == name && failed.count(name) == 0) ++watching;
    RC_ASSERT(upstream == name || failed.count(upstream) == 0);
  }
  RC_ASSERT(watching <= 1);
}

}  // namespace
}  // namespace spokesail
