#include "end-mark.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace spokesail {
namespace {

TEST(end_mark, differs_each_time) {
  random_stream random;
  const std::string first = make_end_mark(random);
  EXPECT_EQ(first.size(), 32U);
  EXPECT_NE(first, make_end_mark(random));
}

TEST(end_mark, without_a_mark_all_bytes_pass) {
  end_mark_filter filter;
  std::string out;
  filter.feed("abc", out);
  EXPECT_EQ(out, "abc");
  EXPECT_FALSE(filter.marked());
}

// Guards against a body that is cut or changed by the search for the mark.
RC_GTEST_PROP(end_mark, keeps_every_byte_at_any_cuts,
              (const std::vector<uint8_t>& cuts, bool marked)) {
  const std::string mark = "aab";
  // Has beginnings of the mark, and the mark itself before the end.
  const std::string body = "xaaabaay aab aaaabba";
  const std::string input = marked ? body + mark : body;
  end_mark_filter filter(mark);
  std::string out;
  size_t at = 0;
  for (const uint8_t cut : cuts) {
    const size_t size = std::min<size_t>(cut % 5, input.size() - at);
    filter.feed(input.substr(at, size), out);
    at += size;
  }
  filter.feed(input.substr(at), out);
  RC_ASSERT(filter.marked() == marked);
  // The last byte of the body could be the first one of the mark.
  RC_ASSERT(out == (marked ? body : body.substr(0, body.size() - 1)));
}

}  // namespace
}  // namespace spokesail
