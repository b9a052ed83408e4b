// Nodes in front of servers that all report that they are cold. Guards against
// overload of cold servers and against refusals once they are warm.
#include "node-fixture.h"
#include "spokesail/grant-issuer.h"

namespace spokesail {
namespace {

constexpr double rate = 2;
constexpr int node_count = 3;
constexpr int cold_ms = 600000;

class cold_start_test : public node_test {
 protected:
  cold_start_test() { this->keys_fail_closed = false; }

  void start_fleet(double requests_per_s) {
    auto spec = this->fleet->sample_config({"key-1"});
    spec["services"][0]["cold_per_s"] = requests_per_s;
    this->fleet->configure(spec);
    this->start(node_count);
  }

  /// Makes all engines report that they are cold for `left_ms` more, and waits
  /// until all nodes know.
  void report_cold(int left_ms) {
    this->on_loop([=, this] { this->fleet->faults.cold_left_ms = left_ms; });
    ASSERT_TRUE(
        this->wait_until([=, this] { return this->all_nodes_know(left_ms); }));
  }

  bool all_nodes_know(int left_ms) {
    const auto knows = [&](const auto& node) {
      const auto& servers = node->context().directory.servers();
      return std::all_of(servers.begin(), servers.end(), [&](const auto& s) {
        if (s.second.entry.service != "lm") return true;
        return (s.second.cold_until > boot_now()) == (left_ms > 0);
      });
    };
    return std::all_of(this->nodes.begin(), this->nodes.end(), knows);
  }

  std::map<std::string, int> streams() {
    return this->on_loop([this] { return this->fleet->record.streams; });
  }

  int served() {
    int out = 0;
    for (const auto& [server, count] : this->streams()) out += count;
    return out;
  }

  fleet_standin::response send(int number) {
    return this->send_request(stream_request(absl::StrCat("request-", number)),
                              number % node_count);
  }

  bool any_holds_lease() {
    return std::any_of(this->nodes.begin(), this->nodes.end(),
                       [](const auto& node) { return node->holds_lease(); });
  }
};

TEST_F(cold_start_test, servers_get_at_most_their_rate_from_all_nodes) {
  this->start_fleet(rate);
  this->report_cold(cold_ms);
  const absl::Time begin = boot_now();
  for (int i = 0; i < 90; ++i) this->send(i);
  const double seconds = absl::ToDoubleSeconds(boot_now() - begin);
  const token_bucket_params bucket =
      bucket_for_cold_rate(rate, grant_timing().grant_lifetime);
  for (const auto& [server, count] : this->streams()) {
    EXPECT_LE(count, bucket.burst + bucket.per_s * seconds) << server;
  }
  EXPECT_GT(this->served(), 0);
}

TEST_F(cold_start_test, refusals_have_retry_after) {
  this->start_fleet(rate);
  this->report_cold(cold_ms);
  for (int i = 0; i < 90; ++i) {
    const auto answer = this->send(i);
    if (answer.result_int() == 200) continue;
    EXPECT_EQ(answer.result_int(), 503U);
    EXPECT_EQ(answer.body(), "servers are cold");
    EXPECT_NE(answer.find(http::field::retry_after), answer.end());
    return;
  }
  FAIL() << "no request was refused";
}

TEST_F(cold_start_test, nothing_is_sent_while_nobody_holds_the_lease) {
  this->start_fleet(rate);
  this->report_cold(cold_ms);
  this->on_loop([this] { this->fleet->faults.store_silent = true; });
  ASSERT_TRUE(this->wait_until([this] { return !this->any_holds_lease(); }));
  const absl::Duration lifetime = grant_timing().grant_lifetime;
  std::this_thread::sleep_for(absl::ToChronoMilliseconds(lifetime));
  for (int i = 0; i < 2 * node_count; ++i) {
    EXPECT_EQ(this->send(i).body(), "servers are cold");
  }
  EXPECT_EQ(this->served(), 0);
}

TEST_F(cold_start_test, all_requests_are_sent_once_servers_are_warm) {
  this->start_fleet(rate);
  this->report_cold(cold_ms);
  this->report_cold(0);
  for (int i = 0; i < 30; ++i) EXPECT_EQ(this->send(i).result_int(), 200U);
}

TEST_F(cold_start_test, all_requests_are_sent_if_the_rate_is_zero) {
  this->start_fleet(0);
  this->report_cold(cold_ms);
  for (int i = 0; i < 30; ++i) EXPECT_EQ(this->send(i).result_int(), 200U);
}

}  // namespace
}  // namespace spokesail
