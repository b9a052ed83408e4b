#include "event-splitter.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace spokesail {
namespace {

TEST(event_splitter, holds_back_an_incomplete_event) {
  event_splitter splitter;
  const auto first = splitter.feed("id: 1\ndata: a\n\nid: 2\nda");
  ASSERT_TRUE(first);
  EXPECT_EQ(first->bytes, "id: 1\ndata: a\n\n");
  EXPECT_EQ(first->events, 1);
  EXPECT_EQ(first->last_id, 1);
  EXPECT_EQ(splitter.remainder(), "id: 2\nda");
  const auto second = splitter.feed("ta: b\n\n");
  ASSERT_TRUE(second);
  EXPECT_EQ(second->last_id, 2);
  EXPECT_EQ(splitter.remainder(), "");
}

TEST(event_splitter, accepts_both_line_ends) {
  event_splitter splitter;
  const auto batch = splitter.feed("id: 7\r\ndata: a\r\n\r\n");
  ASSERT_TRUE(batch);
  EXPECT_EQ(batch->events, 1);
  EXPECT_EQ(batch->last_id, 7);
}

// Guards against events with lines that end with CR being held back until the
// stream ends.
TEST(event_splitter, accepts_lines_that_end_with_cr) {
  event_splitter splitter;
  const auto batch = splitter.feed("id: 7\rdata: a\r\rid: 8\rdata: b\r\r");
  ASSERT_TRUE(batch);
  EXPECT_EQ(batch->events, 2);
  EXPECT_EQ(batch->last_id, 8);
  EXPECT_EQ(splitter.remainder(), "");
}

// Guards against an event that counts as whole between the CR and the LF of its
// empty line.
TEST(event_splitter, an_event_ends_after_the_whole_line_end) {
  event_splitter splitter;
  const auto first = splitter.feed("id: 7\r\ndata: a\r\n\r");
  ASSERT_TRUE(first);
  EXPECT_EQ(first->events, 0);
  EXPECT_GT(splitter.unfinished_bytes(), 0U);
  const auto second = splitter.feed("\n");
  ASSERT_TRUE(second);
  EXPECT_EQ(second->events, 1);
  EXPECT_EQ(splitter.unfinished_bytes(), 0U);
}

// Guards against streams being taken for broken off because a comment follows
// the last event.
TEST(event_splitter, whole_comment_lines_are_not_unfinished) {
  for (const char* tail : {"", ": a\n", ": a\r\n: b\r\n", ":a\n:b\n"}) {
    event_splitter splitter;
    ASSERT_TRUE(splitter.feed("data: a\n\n" + std::string(tail)));
    EXPECT_EQ(splitter.unfinished_bytes(), 0U) << tail;
  }
  for (const char* tail : {":", ": a", ": a\r", ": a\nid: 1\n", "data: a\n"}) {
    event_splitter splitter;
    ASSERT_TRUE(splitter.feed("data: a\n\n" + std::string(tail)));
    EXPECT_EQ(splitter.unfinished_bytes(), std::string(tail).size()) << tail;
  }
}

TEST(event_splitter, reads_the_id_after_another_field) {
  event_splitter splitter;
  const auto batch = splitter.feed("versions: 3\nid: 12\ndata: id: 9\n\n");
  ASSERT_TRUE(batch);
  EXPECT_EQ(batch->last_id, 12);
}

TEST(event_splitter, refuses_an_event_without_end) {
  event_splitter splitter;
  EXPECT_FALSE(
      splitter.feed(std::string(event_splitter::max_event_bytes + 1, 'x')));
}

RC_GTEST_PROP(event_splitter, keeps_every_byte_at_any_cuts,
              (const std::vector<uint8_t>& cuts)) {
  std::string input;
  for (int i = 0; i < 20; ++i) absl::StrAppend(&input, "id: ", i, "\ndata\n\n");
  input += "id: 20\nda";
  event_splitter splitter;
  std::string out;
  int events = 0;
  size_t at = 0;
  for (const uint8_t cut : cuts) {
    const size_t size = std::min<size_t>(cut, input.size() - at);
    const auto batch = splitter.feed(input.substr(at, size));
    RC_ASSERT(batch.has_value());
    out += batch->bytes;
    events += batch->events;
    at += size;
  }
  const auto batch = splitter.feed(input.substr(at));
  out += batch->bytes;
  RC_ASSERT(events + batch->events == 20);
  RC_ASSERT(out + splitter.remainder() == input);
}

}  // namespace
}  // namespace spokesail
