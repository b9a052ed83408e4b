// Objects in the store that were left by another writer: each costs its own
// entry only.
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fixed-answer-store.h"

namespace spokesail {
namespace {

const std::unique_ptr<platform_adapter> adapter = make_fleet_adapter();

std::string object_text(const std::string& name, int64_t revision,
                        const std::string& spec) {
  return absl::StrCat(R"({"meta":{"name":")", name, R"(","rev":)", revision,
                      R"(},"spec":)", spec, R"(,"status":null})");
}

/// A valid entry of a server.
std::string server_spec(const std::string& service) {
  return absl::StrCat(R"({"service":")", service,
                      R"(","addr":"10.0.0.1:80","zone":"z","version":"v1",)"
                      R"("slots":8,"state":"ready","cold_left_ms":0,"seq":4})");
}

std::string listing_text(const std::vector<std::string>& objects) {
  return absl::StrCat(R"({"items":[)", absl::StrJoin(objects, ","),
                      R"(],"more":false,"at":7})");
}

/// An array that contains an array, and so on, as large as an object may be.
std::string nested_array() {
  constexpr size_t depth = 500000;
  return std::string(depth, '[') + std::string(depth, ']');
}

class other_writers : public test::store_client_test {
 protected:
  /// Names of the listed servers that can be used.
  static std::vector<std::string> usable(const std::vector<object>& objects) {
    std::vector<std::string> out;
    std::string fault;
    for (const auto& o : objects) {
      if (adapter->read_server(o, fault)) out.push_back(o.key.name);
    }
    return out;
  }
};

const std::vector<std::string> only_a = {"a"};

// Guards against a stack overflow that ended each node which read an entry with
// a deeply nested field, again at each start.
TEST_F(other_writers, nested_field_does_not_overflow_the_stack) {
  const std::vector<std::string> objects = {
      object_text("a", 5, server_spec("x")),
      object_text("other", 6,
                  absl::StrCat(R"({"service":)", nested_array(), "}"))};
  this->server.body = listing_text(objects);
  const auto listed = this->run(this->store->list("servers", false));
  EXPECT_EQ(listed.status, store_status::ok);
  EXPECT_EQ(usable(listed.objects), only_a);
  this->server.body = absl::StrCat(R"({"events":[{"object":)", objects[1],
                                   R"(,"gone":false},{"object":)", objects[0],
                                   R"(,"gone":false}],"at":7})");
  const auto watched =
      this->run(this->store->watch("servers", 4, absl::Seconds(1)));
  EXPECT_EQ(watched.status, store_status::ok);
  EXPECT_EQ(usable(watched.objects), only_a);
  this->server.body = objects[1];
  for (const char* status : {"200 OK", "409 Conflict"}) {
    this->server.status = status;
    platform_call call;
    call.key = {"servers", "other"};
    const auto read = this->run(this->store->call(call));
    EXPECT_EQ(read.found.version, 6);
    EXPECT_TRUE(usable({read.found}).empty());
  }
}

}  // namespace
}  // namespace spokesail
