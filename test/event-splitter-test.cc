#include "event-splitter.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace spokesail {
namespace {

TEST(event_splitter, holds_back_what_is_not_whole) {
  event_splitter splitter;
  const auto first = splitter.feed("id: 1\ndata: a\n\nid: 2\nda");
  ASSERT_TRUE(first);
  EXPECT_EQ(first->bytes, "id: 1\ndata: a\n\n");
  EXPECT_EQ(first->events, 1);
  EXPECT_EQ(first->last_id, 1);
  EXPECT_EQ(splitter.rest(), "id: 2\nda");
  const auto second = splitter.feed("ta: b\n\n");
  ASSERT_TRUE(second);
  EXPECT_EQ(second->last_id, 2);
  EXPECT_EQ(splitter.rest(), "");
}

TEST(event_splitter, knows_both_line_ends) {
  event_splitter splitter;
  const auto run = splitter.feed("id: 7\r\ndata: a\r\n\r\n");
  ASSERT_TRUE(run);
  EXPECT_EQ(run->events, 1);
  EXPECT_EQ(run->last_id, 7);
}

TEST(event_splitter, reads_the_id_after_another_field) {
  event_splitter splitter;
  const auto run = splitter.feed("versions: 3\nid: 12\ndata: id: 9\n\n");
  ASSERT_TRUE(run);
  EXPECT_EQ(run->last_id, 12);
}

TEST(event_splitter, refuses_an_event_without_end) {
  event_splitter splitter;
  EXPECT_FALSE(
      splitter.feed(std::string(event_splitter::largest_event + 1, 'x')));
}

RC_GTEST_PROP(event_splitter, loses_no_byte_however_they_are_cut,
              (const std::vector<uint8_t>& cuts)) {
  std::string whole;
  for (int i = 0; i < 20; ++i) absl::StrAppend(&whole, "id: ", i, "\ndata\n\n");
  whole += "id: 20\nda";
  event_splitter splitter;
  std::string out;
  int events = 0;
  size_t at = 0;
  for (const uint8_t cut : cuts) {
    const size_t size = std::min<size_t>(cut, whole.size() - at);
    const auto run = splitter.feed(whole.substr(at, size));
    RC_ASSERT(run.has_value());
    out += run->bytes;
    events += run->events;
    at += size;
  }
  const auto run = splitter.feed(whole.substr(at));
  out += run->bytes;
  RC_ASSERT(events + run->events == 20);
  RC_ASSERT(out + splitter.rest() == whole);
}

}  // namespace
}  // namespace spokesail
