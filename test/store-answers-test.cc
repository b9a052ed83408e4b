// Answers of the store that are cut short, without a length or chunks.
#include <gtest/gtest.h>

#include "fixed-answer-store.h"

namespace spokesail {
namespace {

using store_answers = test::store_client_test;

// Guards against a list that is cut short and taken for a shorter one, which
// would remove servers, keys or configurations.
TEST_F(store_answers, lists_that_are_cut_short_are_errors) {
  const std::string whole =
      R"({"items":[{"meta":{"name":"a","rev":1},"spec":{"x":1}},)"
      R"({"meta":{"name":"b","rev":2},"spec":{"x":2}}],"more":false,"at":7})";
  for (size_t size = 0; size <= whole.size(); ++size) {
    this->server.body = whole.substr(0, size);
    const object_listing out = this->run(this->store->list("servers", false));
    const bool complete = size == whole.size();
    EXPECT_EQ(out.status == store_status::ok, complete) << size;
    EXPECT_EQ(out.objects.size(), complete ? 2U : 0U);
  }
}

// Guards against the same in the changes that a watch returns.
TEST_F(store_answers, watches_that_are_cut_short_are_errors) {
  const std::string whole =
      R"({"events":[{"object":{"meta":{"name":"a","rev":8}},"gone":true}],)"
      R"("at":8})";
  for (size_t size = 0; size <= whole.size(); ++size) {
    this->server.body = whole.substr(0, size);
    const object_changes out =
        this->run(this->store->watch("servers", 7, absl::Seconds(1)));
    EXPECT_EQ(out.status == store_status::ok, size == whole.size()) << size;
    EXPECT_EQ(out.revision, size == whole.size() ? 8 : 7) << size;
  }
}

// Guards against an object that is cut short and taken for a smaller one.
TEST_F(store_answers, objects_that_are_cut_short_are_errors) {
  const std::string whole =
      R"({"meta":{"name":"main","rev":3},"spec":{"version":5}})";
  for (size_t size = 0; size <= whole.size(); ++size) {
    this->server.body = whole.substr(0, size);
    platform_call call;
    call.key = {"config", "main"};
    const platform_answer out = this->run(this->store->call(call));
    EXPECT_EQ(out.status == call_status::ok, size == whole.size()) << size;
  }
}

}  // namespace
}  // namespace spokesail
