#include "node-message.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace spokesail {
namespace {

listed_server sample_server() {
  listed_server server;
  server.entry = {"s1",   "lm",      "10.0.0.1:80",
                  "hall", "d0",      8,
                  true,   {"large"}, {"large.7", 7, 1, member_phase::open}};
  server.entry.incarnation = 1780000000123;
  server.revision = 12;
  return server;
}

node_message sample(message_content content) {
  return {"node-1", "hall", 77, 3, 0.25, std::move(content)};
}

holder_state sample_holder() {
  return {{5, R"({"holder":"x"})"}, 8, {"s2", "s3"}, 4, {{"lm", "large", 0.3}}};
}

TEST(node_message, gossip_round_trip) {
  gossip g;
  g.places = {{"large.7", 3, 512}, {"p0", 1, 0}};
  g.holder = inline_holder_state(sample_holder());
  g.requests_seen = true;
  g.hall_nodes = 60;
  g.hall_contacts = {"node-1", "node-2"};
  g.speeds = {{"large.7", 2.5, 12}};
  g.demand = {{"lm", "large", 40, 28000, 4500, 1.5}};
  const auto bytes = encode(sample(g));
  const auto decoded = decode_message(bytes.data(), bytes.size());
  ASSERT_TRUE(decoded);
  EXPECT_EQ(*decoded, sample(g));
}

TEST(node_message, grant_and_limit_messages_round_trip) {
  const std::vector<message_content> contents = {
      grant_request{7, {{"s1", 1780000000123, 2}, {"s2", 0, 1}}},
      grant_response{7, {{"s1", 1780000000123, 1}}},
      grant_request{8, {{"s1", 4, 2}}, {{{"s1", 4}, 1.4, absl::Seconds(3)}}},
      grant_response{8, {}, {{{"s1", 4}, std::nullopt, absl::Seconds(1)}}},
      limit_update{{{{"s1", 4}, 0.0, absl::Milliseconds(7)},
                    {{"s2", 0}, std::nullopt, absl::ZeroDuration()}}}};
  for (const auto& content : contents) {
    const auto bytes = encode(sample(content));
    const auto decoded = decode_message(bytes.data(), bytes.size());
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, sample(content));
  }
}

TEST(node_message, crash_report_round_trip) {
  crash_report report;
  report.evidence = {
      {{1, 2},
       {{{77, {run_progress::start, true, false, true}},
         {78, {4, false, true}}}},
       absl::Seconds(3)},
      {{5, 6, trait_kind::prompt_part}, {}, absl::ZeroDuration()}};
  report.digest = 99;
  report.wants_reply = true;
  const auto bytes = encode(sample(report));
  const auto decoded = decode_message(bytes.data(), bytes.size());
  ASSERT_TRUE(decoded);
  EXPECT_EQ(*decoded, sample(report));
}

TEST(node_message, trial_messages_round_trip) {
  const request_trait trait{5, 6, trait_kind::prompt_part};
  const crash_update update{
      trait, {{{77, {run_progress::start, true, true}}}}, absl::Seconds(3)};
  for (const message_content& content :
       std::vector<message_content>{trial_request{trait, 7, true, update},
                                    trial_request{trait, 8, false, {}},
                                    trial_response{trait, 7, true, update},
                                    trial_response{trait, 8, false, {}}}) {
    const auto bytes = encode(sample(content));
    const auto decoded = decode_message(bytes.data(), bytes.size());
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, sample(content));
  }
}

TEST(node_message, store_update_round_trip) {
  store_update n;
  n.nonce = 9;
  n.config_revision = 4;
  n.config_age = absl::Milliseconds(120);
  n.evacuations = {17, absl::Milliseconds(90), {"hall", "hall-2"}};
  n.servers_age = absl::Milliseconds(340);
  n.store_reachable = false;
  n.servers.from_revision = 10;
  n.servers.to_revision = 12;
  n.servers.removals_since = 8;
  n.servers.range = server_range{{"a", "b"}, 12};
  n.servers.changes = {{sample_server(), false, absl::Milliseconds(30)},
                       {sample_server(), true, absl::ZeroDuration()}};
  n.holder = inline_holder_state(sample_holder());
  n.remote_places = {{"small.9", 12, 256}};
  n.remote_nodes = 240;
  n.all_servers = true;
  n.silent_halls = {"hall-3"};
  n.silent_halls_age = absl::Milliseconds(30);
  n.requests_seen = true;
  const auto bytes = encode(sample(n));
  const auto decoded = decode_message(bytes.data(), bytes.size());
  ASSERT_TRUE(decoded);
  EXPECT_EQ(*decoded, sample(n));
}

TEST(node_message, store_update_request_round_trip) {
  const auto bytes = encode(sample(store_update_request{3, {11, 14}, {5, 8}}));
  const auto decoded = decode_message(bytes.data(), bytes.size());
  ASSERT_TRUE(decoded);
  EXPECT_EQ(*decoded, sample(store_update_request{3, {11, 14}, {5, 8}}));
}

TEST(node_message, messages_between_peers_round_trip) {
  const hall_report changed = {
      "hall",
      absl::Milliseconds(40),
      false,
      {{"n1", "10.0.0.1:7", "hall", 0.125F}, {"n2", "10.0.0.2:7", "hall", 1}}};
  const std::vector<message_content> contents = {
      peer_query{7, true, {}},
      peer_query{8, false, {{"hall", 99}, {"h2", 0, absl::Seconds(3)}}},
      peer_report{8, true, false, {changed, {"h2", {}, true, {}}}},
      holder_part{sample_holder(), 2, 5},
      departure_update{{{"s1", 4}, {"s2", 0}}}};
  for (const auto& content : contents) {
    const auto bytes = encode(sample(content));
    const auto decoded = decode_message(bytes.data(), bytes.size());
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, sample(content));
  }
}

TEST(node_message, suspicion_round_trip) {
  const auto bytes = encode(sample(suspicion{{"s1", "s2"}, "large.7"}));
  const auto decoded = decode_message(bytes.data(), bytes.size());
  ASSERT_TRUE(decoded);
  EXPECT_EQ(*decoded, sample(suspicion{{"s1", "s2"}, "large.7"}));
}

TEST(node_message, holder_states_are_ordered_by_version_and_sequence) {
  holder_state first = sample_holder();
  holder_state later = first;
  later.sequence++;
  EXPECT_TRUE(later.newer_than(first));
  EXPECT_FALSE(first.newer_than(first));
  first.lease.version++;
  first.sequence = 0;
  EXPECT_TRUE(first.newer_than(later));
}

RC_GTEST_PROP(node_message, decoder_tolerates_any_bytes,
              (const std::vector<uint8_t>& bytes)) {
  decode_message(reinterpret_cast<const char*>(bytes.data()), bytes.size());
}

RC_GTEST_PROP(node_message, decoder_tolerates_corrupted_messages, ()) {
  store_update n;
  n.servers.changes = {{sample_server(), false, absl::ZeroDuration()}};
  std::string bytes = encode(sample(n));
  const auto changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes; ++i) {
    const auto at = *rc::gen::inRange<size_t>(0, bytes.size());
    bytes[at] = static_cast<char>(*rc::gen::inRange(0, 256));
  }
  bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
  decode_message(bytes.data(), bytes.size());
}

}  // namespace
}  // namespace spokesail
