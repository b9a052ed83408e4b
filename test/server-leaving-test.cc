// Nodes in front of servers that announce in their answers that they leave.
#include "node-fixture.h"

namespace spokesail {
namespace {

/// Time after which a node that has relayed such an answer must not send the
/// server any request.
constexpr absl::Duration drain_time = absl::Seconds(2);

class server_leaving_test : public node_test {
 protected:
  server_leaving_test() { this->keys_fail_closed = false; }

  void announce_departure(const std::string& server) {
    this->on_loop([=, this] {
      this->fleet->faults.departure.servers = {server};
      this->fleet->faults.departure.active = true;
    });
  }

  std::string serving_head() {
    return this->on_loop([this] { return this->fleet->serving_head("large"); });
  }

  /// Sends requests one after another until `server` has run one more.
  template <typename Request>
  void send_until_run_by(const std::string& server, Request request) {
    const size_t before = this->arrivals_at(server, absl::InfinitePast());
    for (int i = 0; i < 200; ++i) {
      this->send_request(request(absl::StrCat("before-", i)));
      if (this->arrivals_at(server, absl::InfinitePast()) > before) return;
    }
    FAIL() << "no request reached " << server;
  }

  template <typename Request>
  void send_for(absl::Duration length, Request request) {
    const absl::Time until = boot_now() + length;
    for (int i = 0; boot_now() < until; ++i) {
      const auto answer =
          this->send_request(request(absl::StrCat("after-", i)));
      EXPECT_EQ(answer.result_int(), 200U);
    }
  }

  /// Number of requests that reached a server after `since`.
  size_t arrivals_at(const std::string& server, absl::Time since) {
    return this->on_loop([&, this] {
      const auto& arrivals = this->fleet->record.arrivals;
      return static_cast<size_t>(std::count_if(
          arrivals.begin(), arrivals.end(), [&](const auto& arrival) {
            return arrival.server == server && arrival.at > since;
          }));
    });
  }

  static fleet_request plain_request(const std::string& id) {
    return request(id, "/look/now");
  }
};

// Guards against sends to a head that has announced its end in an answer.
TEST_F(server_leaving_test, a_leaving_head_gets_no_new_requests) {
  this->start(1);
  const std::string head = this->serving_head();
  this->announce_departure(head);
  this->send_until_run_by(head, stream_request);
  const absl::Time announced = absl::Now();
  this->send_for(2 * drain_time, stream_request);
  EXPECT_EQ(this->arrivals_at(head, announced + drain_time), 0U);
}

// Guards against the same while the node cannot read the store.
TEST_F(server_leaving_test, a_leaving_server_is_left_without_the_store) {
  this->start(1);
  this->on_loop([this] { this->fleet->faults.store_silent = true; });
  this->announce_departure("p0");
  this->send_until_run_by("p0", plain_request);
  const absl::Time announced = absl::Now();
  this->send_for(2 * drain_time, plain_request);
  EXPECT_EQ(this->arrivals_at("p0", announced + drain_time), 0U);
}

// Guards against a departure that only the node knows which has seen it: the
// lease holder, which replaces the group, may send the server no requests.
TEST_F(server_leaving_test, peers_learn_and_the_group_is_replaced) {
  this->start(3);
  const std::string head = this->serving_head();
  this->announce_departure(head);
  this->send_until_run_by(head, stream_request);
  EXPECT_TRUE(this->wait_until([&, this] {
    return std::all_of(this->nodes.begin(), this->nodes.end(),
                       [&](const auto& node) {
                         const auto& directory = node->context().directory;
                         const server_entry* entry = directory.find(head);
                         return entry != nullptr && entry->draining;
                       });
  }));
  EXPECT_TRUE(this->wait_until(
      [&, this] { return !this->fleet->engines().is_open_head(head); }));
}

}  // namespace
}  // namespace spokesail
