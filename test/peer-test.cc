// The RPC link between entry hosts, over loopback.
#include "spokesail/peer.h"

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <gtest/gtest.h>

namespace spokesail {
namespace {

constexpr char address_a[] = "127.0.0.1:20931";
constexpr char address_b[] = "127.0.0.1:20932";

/// Number of attempts, each followed by a short sleep, before a test fails.
constexpr int max_tries = 400;

/// A link that answers every heartbeat and counts received ones.
class answering_node {
 public:
  explicit answering_node(const std::string& address)
      : link(make_rpc_link(
            address, [this](event_body e) { this->on_event(std::move(e)); },
            [](const char*, size_t) {})) {}

  int heartbeats() {
    absl::MutexLock lock(&this->mutex);
    return this->received;
  }
  int acks() {
    absl::MutexLock lock(&this->mutex);
    return this->acknowledged;
  }
  heartbeat last() {
    absl::MutexLock lock(&this->mutex);
    return this->latest;
  }

  /// Sends heartbeats until one more has been answered.
  bool reach(const std::string& address, const heartbeat& b) {
    const int before = this->acks();
    for (int i = 0; i < max_tries; i++) {
      this->link->send_heartbeat(address, b);
      absl::SleepFor(absl::Milliseconds(10));
      if (this->acks() > before) return true;
    }
    return false;
  }

  std::unique_ptr<rpc_peer_link> link;

 private:
  void on_event(event_body e) {
    if (const auto* b = std::get_if<heartbeat_event>(&e)) {
      {
        absl::MutexLock lock(&this->mutex);
        this->received++;
        this->latest = b->content;
      }
      this->link->reply_heartbeat(b->token, heartbeat_ack{});
    } else if (std::holds_alternative<heartbeat_ack_event>(e)) {
      absl::MutexLock lock(&this->mutex);
      this->acknowledged++;
    }
  }

  absl::Mutex mutex;
  int received = 0;
  int acknowledged = 0;
  heartbeat latest;
};

heartbeat full_heartbeat() {
  heartbeat b;
  b.from = {"a", "hall", address_a, "127.0.0.1:1"};
  b.sequence = 3;
  b.sent = absl::UnixEpoch() + absl::Seconds(5);
  b.probed_at = absl::UnixEpoch() + absl::Seconds(4);
  b.has_observations = true;
  host_observation sample;
  sample.host = "h";
  sample.reachable = true;
  sample.at = absl::UnixEpoch() + absl::Seconds(4);
  sample.report.group = "g";
  sample.report.incarnation = 7;
  sample.report.phase = host_phase::ready;
  sample.report.adapters = {"x", "y"};
  b.observations.push_back(sample);
  b.loads.push_back({"h", {2, 1}});
  b.open_models = {"m"};
  return b;
}

TEST(peer, heartbeat_arrives_as_sent) {
  answering_node a(address_a);
  answering_node b(address_b);
  ASSERT_TRUE(a.reach(address_b, full_heartbeat()));
  EXPECT_EQ(b.last(), full_heartbeat());
}

TEST(peer, reconnects_to_peer_that_restarts) {
  answering_node a(address_a);
  for (int i = 0; i < 3; i++) {
    answering_node b(address_b);
    ASSERT_TRUE(a.reach(address_b, full_heartbeat()));
    ASSERT_TRUE(b.reach(address_a, full_heartbeat()));
  }
  // Nothing listens there: calls fail, and the process must survive.
  for (int i = 0; i < 20; i++) {
    a.link->send_heartbeat(address_b, full_heartbeat());
    absl::SleepFor(absl::Milliseconds(5));
  }
  answering_node b(address_b);
  EXPECT_TRUE(a.reach(address_b, full_heartbeat()));
}

}  // namespace
}  // namespace spokesail
