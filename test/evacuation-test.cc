// Nodes with a fleet of two data halls, some of which operators evacuate. The
// tests check outcomes, not durations.
#include "node-fixture.h"

namespace spokesail {
namespace {

using json = nlohmann::json;

const std::string near_hall = fleet_standin::hall_of(0);
const std::string far_hall = fleet_standin::hall_of(1);

/// Nodes of one data hall that follow evacuations, with servers in two.
class evacuation_test : public node_test {
 protected:
  evacuation_test() : node_test(4, 2) {
    this->evacuate_deadline = absl::Seconds(5);
    this->keys_fail_closed = false;
  }

  void evacuate(const std::string& hall, const json& spec = json::object()) {
    this->on_loop([&] {
      this->fleet->evacuate(hall, spec);
      return 0;
    });
  }

  void end_evacuation(const std::string& hall) {
    this->on_loop([&] {
      this->fleet->end_evacuation(hall);
      return 0;
    });
  }

  /// Waits until each ready node has the expected state of a hall.
  bool wait_for(const std::string& hall, bool closed) {
    return this->wait_until([&] {
      return std::all_of(this->nodes.begin(), this->nodes.end(),
                         [&](const auto& node) {
                           return node->context().hall_closed(hall) == closed;
                         });
    });
  }

  int requests_by_hall(const std::string& hall) {
    return this->on_loop(
        [&] { return this->fleet->record.requests_by_hall[hall]; });
  }

  /// Sends some requests of each kind to each node. Returns whether all were
  /// served.
  bool all_served() {
    bool served = true;
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      const int node = static_cast<int>(i);
      for (int k = 0; k < 4; ++k) {
        const std::string id = absl::StrCat("r", ++this->sent);
        const auto stream = this->send_request(stream_request(id), node);
        const auto call =
            this->send_request(request(id + "c", "/look/a"), node);
        const auto once =
            this->send_request(request(id + "o", "/file/a"), node);
        served = served && event_ids(stream.body()) == all_ids() &&
                 call.result_int() == 200 && once.result_int() == 200;
      }
    }
    return served;
  }

  /// A node that does not hold the lease.
  size_t follower() {
    return this->on_loop([&] {
      size_t at = 0;
      while (this->nodes[at]->holds_lease()) ++at;
      return at;
    });
  }

  int sent = 0;
};

TEST_F(evacuation_test, no_node_sends_to_an_evacuated_hall) {
  this->start(3);
  EXPECT_TRUE(this->all_served());
  EXPECT_GT(this->requests_by_hall(near_hall), 0);
  this->evacuate(near_hall);
  ASSERT_TRUE(this->wait_for(near_hall, true));
  const int before = this->requests_by_hall(near_hall);
  EXPECT_TRUE(this->all_served());
  EXPECT_EQ(this->requests_by_hall(near_hall), before);
}

TEST_F(evacuation_test, repeats_and_resumed_streams_avoid_evacuated_halls) {
  this->start(1);
  this->evacuate(near_hall);
  ASSERT_TRUE(this->wait_for(near_hall, true));
  for (int i = 0; i < 4; ++i) {
    this->on_loop([&] { return this->fleet->faults.break_after_events = 4; });
    const auto answer =
        this->send_request(stream_request(absl::StrCat("r", i)));
    EXPECT_EQ(event_ids(answer.body()), all_ids());
    EXPECT_EQ(this->runs(absl::StrCat("r", i)), 2);
  }
  this->on_loop([&] { return this->fleet->faults.fail_plain_calls = 1; });
  this->send_request(request("c", "/look/a"));
  EXPECT_EQ(this->runs("c"), 1);
  EXPECT_EQ(this->requests_by_hall(near_hall), 0);
}

TEST_F(evacuation_test, running_requests_finish_in_an_evacuated_hall) {
  this->start(1);
  auto socket = this->connect();
  auto out = stream_request("r1");
  out.prepare_payload();
  http::write(socket, out);
  ASSERT_TRUE(
      this->wait_until([this] { return this->fleet->record.runs["r1"] == 1; }));
  this->evacuate(near_hall);
  this->evacuate(far_hall);
  ASSERT_TRUE(this->wait_for(near_hall, true));
  ASSERT_TRUE(this->wait_for(far_hall, true));
  boost::beast::flat_buffer buffer;
  fleet_standin::response in;
  boost::system::error_code error;
  http::read(socket, buffer, in, error);
  EXPECT_FALSE(error) << error.message();
  EXPECT_EQ(event_ids(in.body()), all_ids());
  EXPECT_EQ(this->runs("r1"), 1);
}

TEST_F(evacuation_test,
       node_rejected_by_the_store_learns_of_evacuations_from_peers) {
  this->start(3);
  const size_t away = this->follower();
  this->on_loop([&] {
    this->fleet->faults.refused_nodes = {absl::StrCat("node-", away)};
    return 0;
  });
  this->evacuate(near_hall);
  ASSERT_TRUE(this->wait_for(near_hall, true));
  const int before = this->requests_by_hall(near_hall);
  EXPECT_TRUE(this->all_served());
  EXPECT_EQ(this->requests_by_hall(near_hall), before);
  this->end_evacuation(near_hall);
  EXPECT_TRUE(this->wait_for(near_hall, false));
}

TEST_F(evacuation_test, node_started_during_an_evacuation_sends_nothing_there) {
  this->start(2);
  this->evacuate(near_hall);
  ASSERT_TRUE(this->wait_for(near_hall, true));
  const int before = this->requests_by_hall(near_hall);
  this->on_loop([&] {
    // The store refuses it the list, so that it depends on its peers.
    this->fleet->faults.refused_kinds["node-2"] = {"evacuations"};
    this->add_node("node-2");
    return 0;
  });
  ASSERT_TRUE(this->wait_until([&] {
    // From its start on, not only once it is ready.
    EXPECT_TRUE(this->nodes[2]->context().hall_closed(near_hall));
    return this->nodes[2]->context().evacuations.known();
  }));
  ASSERT_TRUE(
      this->wait_until([&] { return this->nodes[2]->context().ready(); }));
  EXPECT_TRUE(this->all_served());
  EXPECT_EQ(this->requests_by_hall(near_hall), before);
}

TEST_F(evacuation_test, node_without_evacuation_state_is_not_ready) {
  this->fleet->faults.refused_kinds["node-0"] = {"evacuations"};
  this->add_node("node-0");
  this->run();
  ASSERT_TRUE(this->wait_until([&] {
    const node_context& state = this->nodes[0]->context();
    return state.routes != nullptr && state.directory_listed;
  }));
  EXPECT_FALSE(
      this->on_loop([&] { return this->nodes[0]->context().ready(); }));
  const auto answer = this->send_request(request("r1", "/look/a"));
  EXPECT_EQ(answer.result_int(), 503U);
  EXPECT_EQ(this->runs("r1"), 0);
  this->on_loop([&] {
    this->fleet->faults.refused_kinds.clear();
    return 0;
  });
  ASSERT_TRUE(
      this->wait_until([&] { return this->nodes[0]->context().ready(); }));
  EXPECT_EQ(this->send_request(request("r2", "/look/a")).result_int(), 200U);
}

TEST_F(evacuation_test, hall_serves_again_after_its_evacuation) {
  this->start(2);
  this->evacuate(near_hall);
  ASSERT_TRUE(this->wait_for(near_hall, true));
  const int before = this->requests_by_hall(near_hall);
  this->end_evacuation(near_hall);
  ASSERT_TRUE(this->wait_for(near_hall, false));
  EXPECT_TRUE(this->all_served());
  EXPECT_GT(this->requests_by_hall(near_hall), before);
}

TEST_F(evacuation_test, with_all_halls_evacuated_requests_are_refused_at_once) {
  this->start(1);
  this->evacuate(near_hall);
  this->evacuate(far_hall);
  ASSERT_TRUE(this->wait_for(near_hall, true));
  ASSERT_TRUE(this->wait_for(far_hall, true));
  for (const auto& out : {stream_request("r1"), request("r2", "/look/a"),
                          request("r3", "/file/a")}) {
    const auto answer = this->send_request(out);
    EXPECT_EQ(answer.result_int(), 503U);
    EXPECT_EQ(answer.body(), "data halls are evacuated");
    EXPECT_NE(answer.find(http::field::retry_after), answer.end());
  }
  EXPECT_EQ(this->runs("r1") + this->runs("r2") + this->runs("r3"), 0);
  this->end_evacuation(far_hall);
  ASSERT_TRUE(this->wait_for(far_hall, false));
  EXPECT_TRUE(this->all_served());
  EXPECT_EQ(this->requests_by_hall(near_hall), 0);
}

TEST_F(evacuation_test, evacuations_hold_while_the_store_is_down) {
  this->start(2);
  this->evacuate(near_hall);
  ASSERT_TRUE(this->wait_for(near_hall, true));
  const int before = this->requests_by_hall(near_hall);
  this->on_loop([&] { return this->fleet->faults.store_silent = true; });
  ASSERT_TRUE(this->wait_until([&] {
    return std::none_of(
        this->nodes.begin(), this->nodes.end(),
        [](const auto& node) { return node->context().config_fresh(); });
  }));
  EXPECT_TRUE(this->all_served());
  EXPECT_EQ(this->requests_by_hall(near_hall), before);
  this->end_evacuation(near_hall);
  this->on_loop([&] { return this->fleet->faults.store_silent = false; });
  EXPECT_TRUE(this->wait_for(near_hall, false));
}

TEST_F(evacuation_test, evacuation_ignores_object_content) {
  this->start(1);
  this->evacuate("no-such-hall", 7);
  this->evacuate(near_hall, json::array({"nonsense"}));
  ASSERT_TRUE(this->wait_for("no-such-hall", true));
  ASSERT_TRUE(this->wait_for(near_hall, true));
  EXPECT_TRUE(this->all_served());
  EXPECT_EQ(this->requests_by_hall(near_hall), 0);
}

TEST_F(evacuation_test, holder_forms_no_group_in_an_evacuated_hall) {
  this->fleet->evacuate(near_hall, json::object());
  this->add_node("node-0");
  this->run();
  ASSERT_TRUE(
      this->wait_until([&] { return this->fleet->serving("large") >= 1; }));
  const auto joined = [&](const std::string& hall) {
    const auto& servers = this->fleet->engines().directory().servers();
    return std::any_of(servers.begin(), servers.end(), [&](const auto& item) {
      const server_entry& entry = item.second.entry;
      return entry.hall == hall && entry.membership.phase != member_phase::none;
    });
  };
  EXPECT_FALSE(this->on_loop([&] { return joined(near_hall); }));
  this->end_evacuation(near_hall);
  EXPECT_TRUE(this->wait_until([&] { return joined(near_hall); }));
}

TEST_F(evacuation_test, evacuations_are_not_followed_without_a_deadline) {
  this->evacuate_deadline.reset();
  this->fleet->evacuate(near_hall, json::object());
  this->start(1);
  EXPECT_FALSE(this->on_loop(
      [&] { return this->nodes[0]->context().hall_closed(near_hall); }));
  EXPECT_TRUE(this->all_served());
  EXPECT_GT(this->requests_by_hall(near_hall), 0);
}

}  // namespace
}  // namespace spokesail
