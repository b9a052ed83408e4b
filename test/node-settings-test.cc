// A node's settings: parsing, validation and defaults.
#include "node-settings.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

#include "spokesail/settings.h"

namespace spokesail {
namespace {

namespace leaf = boost::leaf;

const std::string minimal_settings =
    "node: n1\nhall: h1\nlisten:\n  callers: 127.0.0.1:1\n"
    "  ready: 127.0.0.1:2\n  metrics: 127.0.0.1:3\n  peers: 127.0.0.1:4\n"
    "platform: 127.0.0.1:5\n";

/// Reads settings from a text. Appends the invalid keys to `faults`.
node_settings read(const std::string& text, std::vector<std::string>& faults) {
  const std::string file = testing::TempDir() + "node-settings-test.yaml";
  std::ofstream(file) << text;
  const auto out =
      leaf::try_handle_all([&] { return read_node_settings(file); },
                           [&](const yaml_error& error) {
                             for (const auto& fault : error.faults)
                               faults.push_back(fault.key);
                             return node_settings{};
                           },
                           [] { return node_settings{}; });
  std::remove(file.c_str());
  return out;
}

TEST(node_settings, have_safe_defaults) {
  std::vector<std::string> faults;
  const node_settings settings = read(minimal_settings, faults);
  EXPECT_TRUE(faults.empty());
  EXPECT_TRUE(settings.keys_fail_closed);
  EXPECT_TRUE(settings.policy.repeat_failed_calls);
  EXPECT_TRUE(settings.groups.spares_serve);
  EXPECT_FALSE(settings.bounds.evacuate_deadline);
  EXPECT_FALSE(settings.policy.admit_in_time);
  EXPECT_FALSE(settings.policy.learn_speeds);
  EXPECT_FALSE(settings.groups.follow_demand);
}

TEST(node_settings, read_bounds_and_policy) {
  std::vector<std::string> faults;
  const node_settings settings =
      read(minimal_settings +
               "cores: 0.125\nmemory_mb: 160\n"
               "bounds:\n  keys_fail_closed: false\n  repeat_slack: 7\n"
               "  config_ms: 4000\n  drain_ms: 3000\n  evacuate_ms: 5000\n"
               "  stall_ms: 4000\n"
               "policy:\n  repeat_failed_calls: false\n  spare_share: 0.3\n"
               "  spares_serve: false\n  warm_spares: false\n"
               "  smaller_yield: true\n  admit_in_time: true\n"
               "  learn_speeds: true\n  follow_demand: true\n",
           faults);
  EXPECT_TRUE(faults.empty());
  EXPECT_EQ(settings.cores, 0.125F);
  EXPECT_EQ(settings.memory, size_t{160} << 20);
  EXPECT_EQ(settings.bounds.evacuate_deadline, absl::Seconds(5));
  EXPECT_TRUE(settings.policy.admit_in_time);
  EXPECT_TRUE(settings.policy.learn_speeds);
  EXPECT_TRUE(settings.groups.follow_demand);
  EXPECT_EQ(settings.bounds.config_deadline, absl::Seconds(4));
  EXPECT_EQ(settings.bounds.drain_deadline, absl::Seconds(3));
  EXPECT_EQ(settings.groups.leaving_member_grace, absl::Milliseconds(2100));
  EXPECT_EQ(settings.groups.stall_time, absl::Seconds(4));
  EXPECT_TRUE(settings.groups.smaller_yield);
  EXPECT_FALSE(settings.keys_fail_closed);
  EXPECT_EQ(settings.retries.slack, 7);
  EXPECT_FALSE(settings.policy.repeat_failed_calls);
  EXPECT_FALSE(settings.groups.spares_serve);
  EXPECT_FALSE(settings.groups.warm_spares);
  EXPECT_EQ(settings.groups.spare_share, 0.3);
}

TEST(node_settings, reject_unknown_keys_and_values_out_of_range) {
  std::vector<std::string> faults;
  read(minimal_settings + "policy:\n  spare_share: 2\n  no_such_policy: 1\n",
       faults);
  EXPECT_EQ(faults.size(), 2U);
}

}  // namespace
}  // namespace spokesail
