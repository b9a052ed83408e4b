#include "spokesail/document.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace spokesail {
namespace {

object base() { return {{kinds::placement, "hall"}, 5, R"({"a":1})", false}; }

TEST(document, acknowledged_write_is_applied) {
  auto write = make_write(base(), R"({"a":2})", "w1");
  EXPECT_EQ(next_call(write).base_version, 5);
  object found = base();
  found.version = 6;
  write = apply_answer(write, {call_status::ok, found});
  EXPECT_EQ(write.state, write_state::applied);
}

TEST(document, lost_answer_is_resolved_by_reading_back) {
  auto write = make_write(base(), R"({"a":2})", "w1");
  write = apply_answer(write, {call_status::unavailable, {}});
  EXPECT_EQ(next_call(write),
            next_call(make_write(base(), R"({"a":2})", "w1")));
  write = apply_answer(write, {call_status::conflict, {}});
  EXPECT_EQ(next_call(write).kind, call_kind::read);
  // Another writer has written since; the object still lists our id.
  object found = base();
  found.version = 8;
  found.body = R"({"a":3,"writes":["w1","w2"]})";
  write = apply_answer(write, {call_status::ok, found});
  EXPECT_EQ(write.state, write_state::applied);
}

TEST(document, conflict_returns_the_other_writers_object) {
  auto write = make_write(base(), R"({"a":2})", "w1");
  write = apply_answer(write, {call_status::conflict, {}});
  object found = base();
  found.version = 6;
  found.body = R"({"a":3,"writes":["w2"]})";
  write = apply_answer(write, {call_status::ok, found});
  EXPECT_EQ(write.state, write_state::lost);
  EXPECT_EQ(write.found.version, 6);
}

TEST(document, stores_only_the_last_write_ids) {
  object o = base();
  for (int i = 0; i < 100; i++) {
    o.body = make_write(o, R"({"a":1})", std::to_string(i)).body;
  }
  const auto ids = write_ids(o.body);
  EXPECT_EQ(ids.size(), max_write_ids);
  EXPECT_EQ(ids.back(), "99");
}

}  // namespace
}  // namespace spokesail
