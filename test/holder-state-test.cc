// The holder's state while many servers fail at once, as when a data hall goes
// dark.
#include "holder-state.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include "node-message.h"

namespace spokesail {
namespace {

/// A message of this size passes a 20 Mbit/s link in 4 ms.
constexpr size_t max_message_bytes = 10000;

holder_state state_with(int servers, uint64_t sequence = 1) {
  holder_state out;
  out.lease = {5, R"({"holder":"front-1"})"};
  out.sequence = sequence;
  for (int i = 0; i < servers; ++i) {
    out.unresponsive.push_back(absl::StrCat("i-", 1000000000 + i));
  }
  return out;
}

size_t encoded_size(const holder_part& part) {
  return encode({"front-hall-1", "hall", 77, 3, 0.125, part}).size();
}

class holder_state_size : public testing::TestWithParam<int> {};

TEST_P(holder_state_size, fits_into_messages_of_bounded_size) {
  const holder_state state = state_with(GetParam());
  holder_assembler receiver;
  std::optional<holder_state> received;
  for (const holder_part& part : split_holder_state(state)) {
    EXPECT_LE(encoded_size(part), max_message_bytes);
    EXPECT_FALSE(received);
    received = receiver.add(part);
  }
  EXPECT_EQ(received, state);
  EXPECT_LE(encoded_size(inline_holder_state(state)), max_message_bytes);
  EXPECT_LE(encoded_size(without_servers(state)), 200U);
}

INSTANTIATE_TEST_SUITE_P(failed_servers, holder_state_size,
                         testing::Values(0, 9, 600, 2793, 5600));

TEST(holder_state, is_complete_only_with_all_parts_in_any_order) {
  const holder_state state = state_with(600);
  const auto parts = split_holder_state(state);
  ASSERT_EQ(parts.size(), 3U);
  holder_assembler receiver;
  EXPECT_FALSE(receiver.add(parts[2]));
  EXPECT_FALSE(receiver.add(parts[0]));
  EXPECT_FALSE(receiver.add(parts[0]));
  EXPECT_FALSE(receiver.last());
  EXPECT_EQ(receiver.add(parts[1]), state);
  EXPECT_EQ(receiver.last(), state);
}

TEST(holder_state, of_a_later_position_replaces_what_is_assembled) {
  const auto older = split_holder_state(state_with(600, 1));
  const holder_state later = state_with(300, 2);
  const auto newer = split_holder_state(later);
  holder_assembler receiver;
  EXPECT_FALSE(receiver.add(older[0]));
  EXPECT_FALSE(receiver.add(newer[0]));
  EXPECT_FALSE(receiver.add(older[1]));
  EXPECT_EQ(receiver.add(newer[1]), later);
  EXPECT_FALSE(receiver.add(older[2]));
}

TEST(holder_state, without_servers_counts_only_if_they_are_known) {
  const holder_state state = state_with(600);
  holder_assembler receiver;
  EXPECT_FALSE(receiver.add(without_servers(state)));
  for (const auto& part : split_holder_state(state)) receiver.add(part);
  EXPECT_EQ(receiver.add(without_servers(state)), state);
}

}  // namespace
}  // namespace spokesail
