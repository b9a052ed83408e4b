// Callers that do not read their responses, with nodes and a small fleet on
// loopback. Only outcomes are asserted, never durations.
#include "node-fixture.h"

namespace spokesail {
namespace {

/// Larger than the socket buffers between a node and its caller.
constexpr size_t large_answer = 14 << 20;

/// A fleet whose plain responses are large.
class slow_caller_test : public node_test {
 protected:
  slow_caller_test() { this->fleet->faults.plain_answer_bytes = large_answer; }

  /// A caller that has requested a large response and reads none of it.
  tcp::socket slow_caller(const std::string& id) {
    auto socket = this->connect();
    auto out = request(id, "/look/1");
    out.prepare_payload();
    http::write(socket, out);
    return socket;
  }

  size_t held() {
    return this->on_loop(
        [this] { return this->nodes.front()->context().held.held(); });
  }

  size_t sessions() {
    return this->on_loop(
        [this] { return this->nodes.front()->context().sessions.size(); });
  }
};

TEST_F(slow_caller_test, a_caller_that_never_reads_is_abandoned) {
  auto config = this->fleet->sample_config({"key-1"});
  config["limits"]["idle_timeout_ms"] = 1000;
  this->fleet->configure(config);
  this->start(1);
  const auto socket = this->slow_caller("r1");
  ASSERT_TRUE(this->wait_until([this] {
    return this->nodes.front()->context().held.held() >= large_answer;
  }));
  EXPECT_TRUE(this->wait_until(
      [this] { return this->nodes.front()->context().sessions.empty(); }));
  EXPECT_EQ(this->held(), 0U);
  EXPECT_EQ(this->runs("r1"), 1);
}

TEST_F(slow_caller_test, a_node_that_holds_too_much_refuses_and_serves_again) {
  this->memory = large_answer;
  this->start(1);
  auto slow = std::make_unique<tcp::socket>(this->slow_caller("r1"));
  ASSERT_TRUE(this->wait_until([this] {
    return !this->nodes.front()->context().held.accepts_requests();
  }));
  const auto refused = this->send_request(stream_request("r2"));
  EXPECT_EQ(refused.result_int(), 503U);
  EXPECT_EQ(refused.body(), "node holds too much");
  EXPECT_EQ(this->runs("r2"), 0);
  slow.reset();
  ASSERT_TRUE(this->wait_until([this] {
    return this->nodes.front()->context().held.accepts_requests();
  }));
  EXPECT_EQ(event_ids(this->send_request(stream_request("r3")).body()),
            all_ids());
}

}  // namespace
}  // namespace spokesail
