// From whom nodes hear of changes.
#include "spokesail/relay-choice.h"

#include <gtest/gtest.h>

#include <map>

#include "spokesail/hash.h"

namespace spokesail {
namespace {

const std::vector<std::string> hall = {"a1", "a2", "a3", "a4", "a5", "a6"};

std::vector<std::string> order() {
  return rendezvous("relay", hall, hall.size());
}

/// What `self`, a node of the hall, sees.
relay_view view_of(const std::string& self) {
  relay_view view;
  view.self = self;
  for (const auto& name : hall) {
    if (name != self) view.hall_peers.push_back(name);
  }
  return view;
}

TEST(relay_choice, one_node_of_a_hall_watches_and_the_others_ask_it) {
  for (const auto& name : hall) {
    EXPECT_EQ(choose_relay(view_of(name)).upstream, order()[0]);
  }
}

TEST(relay_choice, the_halls_first_node_asks_the_holder_elsewhere) {
  for (const auto& name : hall) {
    relay_view view = view_of(name);
    view.holder = "b1";
    const auto chosen = choose_relay(view).upstream;
    EXPECT_EQ(chosen, name == order()[0] ? "b1" : order()[0]);
  }
}

TEST(relay_choice, all_ask_a_holder_of_their_own_hall) {
  for (const auto& name : hall) {
    relay_view view = view_of(name);
    view.holder = order()[4];
    view.holder_near = true;
    EXPECT_EQ(choose_relay(view).upstream, order()[4]);
  }
}

TEST(relay_choice, relays_that_failed_are_passed_over_in_order) {
  relay_view view = view_of(order()[5]);
  view.passed_over = {order()[0]};
  EXPECT_EQ(choose_relay(view).upstream, order()[1]);
  view.passed_over.insert(order()[1]);
  EXPECT_EQ(choose_relay(view).upstream, order()[2]);
  view.passed_over.insert(order()[2]);
  EXPECT_EQ(choose_relay(view).upstream, view.self);
  view.holder = "b1";
  EXPECT_EQ(choose_relay(view).upstream, "b1");
}

TEST(relay_choice, only_the_first_of_a_hall_are_relied_on) {
  size_t candidates = 0;
  for (const auto& name : hall) {
    candidates += choose_relay(view_of(name)).candidate ? 1 : 0;
  }
  EXPECT_EQ(candidates, most_relays);
}

TEST(relay_choice, nodes_that_agree_never_ask_in_a_circle) {
  // Each node may have passed over any two others.
  for (const auto& x : hall) {
    for (const auto& y : hall) {
      std::map<std::string, std::string> asks;
      for (const auto& name : hall) {
        relay_view view = view_of(name);
        view.passed_over = {x, y};
        asks[name] = choose_relay(view).upstream;
      }
      for (const auto& name : hall) {
        std::string at = name;
        size_t hops = 0;
        while (asks[at] != at && hops <= hall.size()) {
          at = asks[at];
          ++hops;
        }
        EXPECT_LE(hops, hall.size()) << name;
      }
    }
  }
}

}  // namespace
}  // namespace spokesail
