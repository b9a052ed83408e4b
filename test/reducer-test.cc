#include "spokesail/reducer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>

#include "fake-hall.h"
#include "spokesail/hash.h"

namespace spokesail {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

group two_hosts() {
  group g;
  g.name = "g";
  g.incarnation = 3;
  g.hosts = {"a", "b"};
  g.phase = group_phase::serving;
  return g;
}

observation ready_in(const std::string& name, int64_t incarnation) {
  observation o;
  o.reachable = true;
  o.report.group = name;
  o.report.incarnation = incarnation;
  o.report.phase = host_phase::ready;
  o.at = start;
  return o;
}

class group_opening : public ::testing::Test {
 protected:
  void SetUp() override {
    this->state = make_node(node_options{}, start);
    this->state.presence.observe("p", "a", ready_in("g", 3));
    this->state.presence.observe("p", "b", ready_in("g", 3));
  }
  bool open(const group& g) { return group_open(this->state, g, start); }
  /// Records a later observation of host b.
  void send_observation(observation o) {
    o.at = start + absl::Milliseconds(1);
    this->state.presence.observe("p", "b", o);
  }
  node_state state;
};

TEST_F(group_opening, needs_all_members) {
  EXPECT_TRUE(this->open(two_hosts()));
  group wider = two_hosts();
  wider.hosts.push_back("c");
  EXPECT_FALSE(this->open(wider));
}

TEST_F(group_opening, needs_the_serving_phase) {
  group g = two_hosts();
  g.phase = group_phase::draining;
  EXPECT_FALSE(this->open(g));
  g.phase = group_phase::loading;
  EXPECT_FALSE(this->open(g));
}

TEST_F(group_opening, needs_the_incarnation) {
  this->send_observation(ready_in("g", 2));
  EXPECT_FALSE(this->open(two_hosts()));
}

TEST_F(group_opening, needs_the_group) {
  this->send_observation(ready_in("other", 3));
  EXPECT_FALSE(this->open(two_hosts()));
}

TEST_F(group_opening, needs_loaded_weights) {
  auto o = ready_in("g", 3);
  o.report.phase = host_phase::loading;
  this->send_observation(o);
  EXPECT_FALSE(this->open(two_hosts()));
}

TEST_F(group_opening, ends_with_the_window) {
  const absl::Time late =
      start + this->state.options.presence_window + absl::Milliseconds(1);
  EXPECT_FALSE(group_open(this->state, two_hosts(), late));
}

/// A node that receives observations of one host from one prober.
class prober_observations : public ::testing::Test {
 protected:
  void SetUp() override {
    node_options options;
    options.self = {"a", "hall", "peer-a", "http-a"};
    this->state = make_node(options, start);
    this->deliver(object_event{{{kinds::host, "h"},
                                1,
                                R"({"hall":"hall","address":"1.1.1.1:1"})",
                                false}});
  }

  void deliver(event_body body) {
    this->now += absl::Milliseconds(10);
    this->state = reduce(std::move(this->state), {this->now, body}).state;
  }

  /// Acknowledges a heartbeat of this node, on behalf of the process of prober
  /// b with this boot id.
  void acknowledge(uint64_t boot) {
    heartbeat_ack ack;
    ack.from = {"b", "hall", "peer-b", "http-b"};
    ack.boot = boot;
    ack.taken = this->now;
    this->deliver(heartbeat_ack_event{ack, this->now});
  }

  void send_observation(uint64_t boot, int64_t sequence, int64_t epoch,
                        bool with_observations, bool reachable) {
    heartbeat b;
    b.from = {"b", "hall", "peer-b", "http-b"};
    b.boot = boot;
    b.sequence = sequence;
    b.sent = this->now;
    b.probed_at = this->now;
    b.observations_epoch = epoch;
    b.has_observations = with_observations;
    if (with_observations)
      b.observations.push_back({"h", reachable, this->now, {}});
    this->deliver(heartbeat_event{0, b});
  }

  bool present() {
    return this->state.presence
        .present("h", this->now, this->state.options.presence_window)
        .has_value();
  }

  node_state state;
  absl::Time now = start;
};

TEST_F(prober_observations, count_while_refreshed) {
  this->acknowledge(1);
  this->send_observation(1, 1, 7, true, true);
  EXPECT_TRUE(this->present());
  this->now += 0.7 * this->state.options.presence_window;
  this->send_observation(1, 2, 7, false, true);
  this->now += 0.7 * this->state.options.presence_window;
  EXPECT_TRUE(this->present());
}

TEST_F(prober_observations, missed_ones_are_not_refreshed) {
  this->acknowledge(1);
  this->send_observation(1, 1, 7, true, true);
  this->now += this->state.options.presence_window;
  this->send_observation(1, 2, 8, false, true);
  EXPECT_FALSE(this->present());
}

TEST_F(prober_observations, end_with_the_start_of_their_prober) {
  this->acknowledge(1);
  this->send_observation(1, 1, 7, true, true);
  // The prober restarts and finds the host unreachable; its clock offset is
  // not known yet.
  this->send_observation(2, 1, 3, true, false);
  EXPECT_FALSE(this->present());
  this->acknowledge(2);
  this->send_observation(2, 2, 3, false, false);
  EXPECT_FALSE(this->present());
}

TEST(reducer, head_with_a_lower_revision_is_ignored) {
  node_options options;
  options.self = {"a", "hall", "peer-a", "http-a"};
  node_state state = make_node(options, start);
  const auto deliver = [&](const object& o) {
    state = reduce(std::move(state), {start, object_event{o}}).state;
  };
  const std::string content = nlohmann::json(configuration{}).dump();
  const std::string digest = hex_digest(content);
  deliver({{kinds::bundle, digest}, 1, R"({"bundle":)" + content + "}", false});
  const auto head = [&](int64_t version, int64_t revision) {
    const config_head h{revision, digest, "", ""};
    return object{
        {kinds::config, "head"}, version, nlohmann::json(h).dump(), false};
  };
  deliver(head(2, 5));
  EXPECT_EQ(state.revision, 5);
  deliver(head(3, 4));
  EXPECT_EQ(state.revision, 5);
}

TEST(reducer, the_same_events_give_the_same_effects) {
  const auto run = [] {
    test::fake_hall hall{test::fake_options{}};
    hall.accept(test::one_model(2, 2, 1));
    hall.run_for(absl::Seconds(20));
    hall.kill_host("d0h0");
    hall.run_for(absl::Seconds(20));
    return std::pair(hall.events, hall.current_placement());
  };
  EXPECT_EQ(run(), run());
}

/// All invariants hold throughout any mix of failures, and the hall serves
/// again once they have ended.
RC_GTEST_PROP(reducer_property, invariants_hold_under_any_failures, ()) {
  test::fake_options options;
  options.seed = *rc::gen::arbitrary<uint64_t>();
  options.load_time = absl::Seconds(2);
  test::fake_hall hall{options};
  hall.accept(test::one_model(2, 2, 1));
  hall.run_for(absl::Seconds(8));
  for (int step = 0; step < 25; step++) {
    const auto node = *rc::gen::inRange<size_t>(0, hall.nodes.size());
    auto host = hall.hosts.begin();
    std::advance(host, *rc::gen::inRange<size_t>(0, hall.hosts.size()));
    const auto time = absl::Milliseconds(*rc::gen::inRange(100, 12000));
    const int kind = *rc::gen::inRange(0, 13);
    RC_LOG() << "kind " << kind << " node " << node << " host " << host->first
             << " time " << time << "\n";
    switch (kind) {
      case 0:
        hall.kill_node(node);
        break;
      case 1:
        hall.start_node(node);
        break;
      case 2:
        hall.pause_node(node, time);
        break;
      case 3:
        hall.nodes[node].isolated_from_platform ^= true;
        break;
      case 4:
        hall.nodes[node].isolated_from_peers ^= true;
        break;
      case 5:
        hall.kill_host(host->first);
        break;
      case 6:
        hall.revive_host(host->first);
        break;
      case 7:
        hall.pause_host(host->first, time);
        break;
      case 8:
        hall.platform_down ^= true;
        break;
      case 9:
        hall.lose_answers = 3;
        break;
      case 10:
        hall.order_delay = *rc::gen::element(
            absl::Milliseconds(1), absl::Milliseconds(900), absl::Seconds(8));
        break;
      case 11: {
        auto config = test::one_model(2, 2, 1);
        config.models[0].version = std::to_string(step);
        hall.accept(config);
        break;
      }
      default:
        break;
    }
    for (int i = 0; i < 6; i++) {
      hall.request(*rc::gen::inRange<size_t>(0, hall.nodes.size()), "m",
                   i % 2 == 0);
    }
    hall.run_for(absl::Milliseconds(*rc::gen::inRange(10, 4000)));
    RC_ASSERT(hall.violations == std::set<std::string>{});
  }
  hall.platform_down = false;
  hall.lose_answers = 0;
  hall.order_delay = absl::Milliseconds(1);
  for (size_t i = 0; i < hall.nodes.size(); i++) {
    hall.nodes[i].isolated_from_platform = false;
    hall.nodes[i].isolated_from_peers = false;
    if (!hall.nodes[i].alive) hall.start_node(i);
  }
  for (auto& [name, host] : hall.hosts) {
    if (!host.alive) hall.revive_host(name);
  }
  const bool serves = hall.run_until(
      [&] {
        for (size_t i = 0; i < hall.nodes.size(); i++) {
          if (hall.open_groups(i, "m") < 2) return false;
        }
        return true;
      },
      absl::Seconds(90));
  RC_ASSERT(hall.violations == std::set<std::string>{});
  RC_ASSERT(serves);
}

}  // namespace
}  // namespace spokesail
