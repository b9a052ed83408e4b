// A server with too many connections resets new ones, among them those on which
// the holder of the lease asks for a report; its running answers go on.
//
// Guards against a holder that takes such a server for lost: the order to leave
// its group ended the answers of the whole group.
#include <thread>

#include "node-fixture.h"

namespace spokesail {
namespace {

constexpr absl::Duration slow_events = absl::Milliseconds(60);

class busy_servers_test : public node_test {
 protected:
  void make_busy(const std::string& server) {
    this->on_loop([=, this] {
      this->fleet->faults.closing_at_reports = {server};
      this->nodes[0]->context().suspect_server(server);
      return 0;
    });
  }
};

/// The stream would be resumed elsewhere, so the number of runs shows whether
/// it was ended.
TEST_F(busy_servers_test, ends_no_stream_of_a_server_that_closes_connections) {
  this->start(1, 1);
  this->on_loop([this] {
    this->fleet->faults.event_interval = slow_events;
    return 0;
  });
  fleet_standin::response answer;
  std::thread caller(
      [&] { answer = this->send_request(stream_request("busy")); });
  ASSERT_TRUE(this->wait_until(
      [this] { return this->fleet->record.runs["busy"] == 1; }));
  const std::string head = this->on_loop(
      [this] { return this->fleet->record.all_runs.back().server; });
  this->make_busy(head);
  caller.join();
  EXPECT_EQ(event_ids(answer.body()), all_ids());
  EXPECT_EQ(this->runs("busy"), 1);
  EXPECT_TRUE(this->on_loop(
      [&, this] { return this->fleet->engines().is_open_head(head); }));
}

}  // namespace
}  // namespace spokesail
