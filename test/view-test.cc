#include "spokesail/view.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace spokesail {
namespace {

object version_of(const std::string& name, int64_t version) {
  return {{kinds::host, name}, version, std::to_string(version), false};
}

TEST(object_view, keeps_the_highest_version) {
  object_view view;
  EXPECT_TRUE(view.merge(version_of("a", 5)));
  EXPECT_FALSE(view.merge(version_of("a", 4)));
  EXPECT_FALSE(view.merge(version_of("a", 5)));
  EXPECT_EQ(view.find({kinds::host, "a"})->version, 5);
}

TEST(object_view, deletion_is_not_undone_by_older_versions) {
  object_view view;
  view.merge(version_of("a", 5));
  object gone = version_of("a", 7);
  gone.deleted = true;
  view.merge(gone);
  EXPECT_FALSE(view.merge(version_of("a", 6)));
  EXPECT_FALSE(view.find({kinds::host, "a"}));
  EXPECT_TRUE(view.merge(version_of("a", 8)));
}

TEST(object_view, list_removes_missing_objects_but_nothing_newer) {
  object_view view;
  view.merge(version_of("a", 5));
  view.merge(version_of("b", 20));
  const auto gone = view.retain(kinds::host, {}, 10);
  ASSERT_EQ(gone.size(), 1U);
  EXPECT_EQ(gone[0].key.name, "a");
  EXPECT_TRUE(view.find({kinds::host, "b"}));
}

RC_GTEST_PROP(object_view_property, any_order_gives_the_same_digest, ()) {
  std::vector<object> updates;
  const auto count = *rc::gen::inRange(0, 30);
  for (int i = 0; i < count; i++) {
    const auto name = std::string(1, *rc::gen::inRange('a', 'f'));
    updates.push_back(version_of(name, *rc::gen::inRange(1, 9)));
  }
  object_view a;
  object_view b;
  for (const auto& o : updates) a.merge(o);
  std::reverse(updates.begin(), updates.end());
  for (const auto& o : updates) b.merge(o);
  for (const auto& o : updates) b.merge(o);
  RC_ASSERT(a.digest() == b.digest());
  RC_ASSERT(a.newer_than(b.stamps()).empty());
}

}  // namespace
}  // namespace spokesail
