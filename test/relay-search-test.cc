// A data hall that has lost the store: every node looks for a fresh relay and
// finds only nodes that are as stale as itself.
#include "spokesail/relay-search.h"

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "spokesail/relay-choice.h"

namespace spokesail {
namespace {

constexpr absl::Duration request_period = absl::Milliseconds(180);
constexpr absl::Duration stale_exclusion = absl::Milliseconds(1200);
constexpr absl::Duration round_trip = absl::Milliseconds(2);
constexpr absl::Duration outage = absl::Seconds(6);

/// The view of the last node of a hall of `size`.
relay_view view_of_hall(int size) {
  relay_view view;
  for (int i = 0; i < size; ++i) {
    const relay_candidate node = {absl::StrCat("n", i), 0.125F};
    if (i == size - 1) {
      view.self = node;
    } else {
      view.hall_peers.push_back(node);
    }
  }
  return view;
}

/// The requests that one node sends during an outage if every relay answers
/// that it is stale.
int requests_in_outage(int size) {
  relay_view view = view_of_hall(size);
  relay_search search;
  std::map<std::string, absl::Time> excluded_until;
  const absl::Time began = absl::FromUnixSeconds(1000);
  int requests = 0;
  absl::Time now = began;
  absl::Time next_period = began;
  while (now < began + outage) {
    const bool regular = now >= next_period;
    if (regular) {
      next_period += request_period;
      search.begin_period();
    }
    if (!regular && !search.try_next()) {
      now = next_period;
      continue;
    }
    view.excluded.clear();
    for (const auto& [name, until] : excluded_until) {
      if (now < until) view.excluded.insert(name);
    }
    const std::string relay = choose_relay(view).upstream;
    if (relay == view.self.name) {
      now = next_period;
      continue;
    }
    ++requests;
    now += round_trip;
    excluded_until[relay] = now + stale_exclusion;
  }
  return requests;
}

/// One regular request a period and two more.
constexpr int max_requests_in_outage = 3 * 34;

TEST(relay_search, asks_no_more_in_a_larger_hall_that_lost_the_store) {
  for (const int size : {3, 9, 98, 217, 500}) {
    EXPECT_LE(requests_in_outage(size), max_requests_in_outage) << size;
  }
}

TEST(relay_search, reaches_the_first_of_the_hall_within_a_period) {
  relay_search search;
  search.begin_period();
  EXPECT_TRUE(search.try_next());
  EXPECT_TRUE(search.try_next());
  EXPECT_FALSE(search.try_next());
  search.begin_period();
  EXPECT_TRUE(search.try_next());
}

}  // namespace
}  // namespace spokesail
