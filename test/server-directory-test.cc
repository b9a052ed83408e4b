#include "spokesail/server-directory.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include "server-changes.h"

namespace spokesail {
namespace {

const absl::Time start = absl::FromUnixSeconds(100);
const std::map<std::string, int> sizes = {{"large", 2}};

listed_server server(const std::string& id, int64_t revision, int rank = 0,
                     member_phase phase = member_phase::none) {
  listed_server out;
  out.entry.id = id;
  out.entry.service = "lm";
  out.entry.domain = "d0";
  out.entry.membership = {phase == member_phase::none ? "" : "large.7", 7, rank,
                          phase};
  out.revision = revision;
  return out;
}

TEST(server_change, carries_the_remaining_cold_time) {
  server_directory from;
  listed_server cold;
  cold.entry.id = "s";
  cold.revision = 3;
  cold.cold_until = absl::UnixEpoch() + absl::Milliseconds(2750);
  from.update(cold);
  const absl::Time reported = absl::UnixEpoch() + absl::Milliseconds(750);
  const auto changes = server_changes_since(from, 0, reported);
  // The clocks of two nodes are unrelated.
  const absl::Time received_at = absl::UnixEpoch() + absl::Hours(9);
  server_directory to;
  apply_server_changes(to, changes, received_at);
  EXPECT_EQ(to.servers().at("s").cold_until, received_at + absl::Seconds(2));
  EXPECT_EQ(to.all_warm_at(), received_at + absl::Seconds(2));
}

TEST(server_change, omits_elapsed_cold_time) {
  server_directory from;
  listed_server warm;
  warm.entry.id = "s";
  warm.revision = 3;
  warm.cold_until = absl::UnixEpoch() + absl::Seconds(1);
  from.update(warm);
  const absl::Time reported = absl::UnixEpoch() + absl::Seconds(1);
  server_directory to;
  apply_server_changes(to, server_changes_since(from, 0, reported), reported);
  EXPECT_EQ(to.servers().at("s").cold_until, absl::InfinitePast());
}

/// A request for a plain service must not go through all model servers.
TEST(server_directory, finds_the_servers_of_a_service_by_its_name) {
  constexpr int model_servers = 5600;
  constexpr int plain_servers = 18;
  server_directory d;
  for (int i = 0; i < model_servers; ++i) {
    d.update(server(absl::StrCat("m", i), i + 1));
  }
  for (int i = 0; i < plain_servers; ++i) {
    listed_server plain = server(absl::StrCat("p", i), model_servers + i + 1);
    plain.entry.service = "ci";
    d.update(plain);
  }
  EXPECT_EQ(d.servers_of("ci").size(), 18U);
  EXPECT_EQ(d.servers_of("lm").size(), 5600U);
  EXPECT_TRUE(d.servers_of("other").empty());
  // A server that starts again under its id may be of another service.
  listed_server moved = server("p0", model_servers + plain_servers + 1);
  EXPECT_TRUE(d.update(moved));
  EXPECT_EQ(d.servers_of("ci").size(), 17U);
  EXPECT_EQ(d.servers_of("lm").size(), 5601U);
  d.remove("p1", model_servers + plain_servers + 2, absl::InfinitePast());
  EXPECT_EQ(d.servers_of("ci").count("p1"), 0U);
}

TEST(server_directory, keeps_the_newest_revision) {
  server_directory d;
  EXPECT_TRUE(d.update(server("s1", 5, 0, member_phase::open)));
  EXPECT_FALSE(d.update(server("s1", 4)));
  EXPECT_EQ(d.find("s1")->membership.phase, member_phase::open);
  EXPECT_TRUE(d.remove("s1", 6, absl::InfinitePast()));
  EXPECT_FALSE(d.update(server("s1", 6)));
  EXPECT_EQ(d.find("s1"), nullptr);
}

TEST(server_directory, list_removes_missing_servers) {
  server_directory d;
  d.update(server("s1", 1));
  d.update(server("s2", 2));
  d.replace({{"s2", server("s2", 2)}}, 9, absl::InfinitePast());
  EXPECT_EQ(d.find("s1"), nullptr);
  EXPECT_NE(d.find("s2"), nullptr);
  EXPECT_EQ(d.revision(), 9);
}

TEST(server_directory, older_list_keeps_newer_entries) {
  server_directory d;
  d.update(server("s1", 12));
  d.replace({}, 9, absl::InfinitePast());
  EXPECT_NE(d.find("s1"), nullptr);
}

TEST(server_directory, keeps_a_missing_server_until_its_grace_is_over) {
  server_directory d;
  d.update(server("s1", 1));
  d.replace({}, 9, start + absl::Seconds(2));
  EXPECT_NE(d.find("s1"), nullptr);
  EXPECT_FALSE(d.expire(start + absl::Seconds(1), start + absl::Seconds(1)));
  EXPECT_TRUE(d.expire(start + absl::Seconds(2), start + absl::Seconds(2)));
  EXPECT_EQ(d.find("s1"), nullptr);
}

TEST(server_directory, stale_directory_expires_no_entry) {
  server_directory d;
  d.update(server("s1", 5));
  d.remove("s1", 6, start + absl::Seconds(2));
  // It may be back since then; this node has received no update for a while.
  EXPECT_FALSE(d.expire(start + absl::Seconds(4), start + absl::Seconds(1)));
  EXPECT_NE(d.find("s1"), nullptr);
  EXPECT_TRUE(d.expire(start + absl::Seconds(4), start + absl::Seconds(3)));
  EXPECT_EQ(d.find("s1"), nullptr);
}

TEST(server_directory, returned_server_does_not_expire) {
  server_directory d;
  d.update(server("s1", 1));
  d.replace({}, 9, start + absl::Seconds(2));
  EXPECT_TRUE(d.update(server("s1", 10)));
  EXPECT_FALSE(d.expire(start + absl::Seconds(5), start + absl::Seconds(5)));
  EXPECT_NE(d.find("s1"), nullptr);
}

group_view group_of(const std::vector<listed_server>& members) {
  std::map<std::string, listed_server> all;
  for (const auto& m : members) all[m.entry.id] = m;
  const auto groups = collect_groups(all, "lm", sizes);
  return groups.empty() ? group_view{} : groups.front();
}

TEST(collect_groups, group_serves_once_members_are_ready_and_head_is_open) {
  EXPECT_TRUE(group_of({server("a", 1, 0, member_phase::open),
                        server("b", 1, 1, member_phase::ready)})
                  .serving());
  EXPECT_FALSE(group_of({server("a", 1, 0, member_phase::open)}).serving());
  EXPECT_FALSE(group_of({server("a", 1, 0, member_phase::open),
                         server("b", 1, 1, member_phase::joining)})
                   .serving());
  EXPECT_FALSE(group_of({server("a", 1, 0, member_phase::ready),
                         server("b", 1, 1, member_phase::ready)})
                   .serving());
  EXPECT_FALSE(group_of({server("a", 1, 0, member_phase::broken),
                         server("b", 1, 1, member_phase::ready)})
                   .serving());
}

TEST(collect_groups, rank_claimed_twice_makes_no_group) {
  EXPECT_FALSE(group_of({server("a", 1, 0, member_phase::open),
                         server("b", 1, 1, member_phase::ready),
                         server("c", 1, 1, member_phase::ready)})
                   .serving());
}

TEST(collect_groups, leaving_head_ends_serving) {
  auto leaving = server("a", 1, 0, member_phase::open);
  leaving.entry.draining = true;
  EXPECT_FALSE(
      group_of({leaving, server("b", 1, 1, member_phase::ready)}).serving());
}

/// A member stays for as long as its head has work, so that its group serves
/// until the controller ends it.
TEST(collect_groups, leaving_member_keeps_the_group_serving) {
  auto leaving = server("b", 1, 1, member_phase::ready);
  leaving.entry.draining = true;
  EXPECT_TRUE(
      group_of({server("a", 1, 0, member_phase::open), leaving}).serving());
}

TEST(collect_groups, members_of_another_epoch_do_not_count) {
  auto earlier = server("b", 1, 1, member_phase::ready);
  earlier.entry.membership.epoch = 6;
  EXPECT_FALSE(
      group_of({server("a", 1, 0, member_phase::open), earlier}).serving());
}

/// After a restart under the same id, an entry of the earlier start never
/// brings that start back; an entry without incarnation counts by its revision
/// alone.
TEST(server_directory, late_entry_of_an_earlier_start_is_ignored) {
  server_directory directory;
  const auto start_of = [](int64_t incarnation, int64_t revision) {
    listed_server out = server("a", revision);
    out.entry.incarnation = incarnation;
    return out;
  };
  EXPECT_TRUE(directory.update(start_of(5, 1)));
  EXPECT_TRUE(directory.update(start_of(9, 2)));
  EXPECT_FALSE(directory.update(start_of(5, 3)));
  EXPECT_EQ(directory.find("a")->incarnation, 9);
  EXPECT_TRUE(directory.update(start_of(9, 4)));
  EXPECT_TRUE(directory.update(start_of(0, 5)));
  EXPECT_EQ(directory.find("a")->incarnation, 0);
}

// Guards against sends to a server that has announced its end while the store
// still lists it as ready.
TEST(server_directory, announced_end_outweighs_the_entry) {
  server_directory d;
  d.update(server("a", 1));
  EXPECT_TRUE(d.mark_leaving({"a", 0}, start));
  EXPECT_FALSE(d.mark_leaving({"a", 0}, start));
  EXPECT_TRUE(d.find("a")->draining);
  d.update(server("a", 2));
  EXPECT_TRUE(d.find("a")->draining);
  d.remove("a", 3, absl::InfinitePast());
  d.update(server("a", 4));
  EXPECT_TRUE(d.find("a")->draining);
}

TEST(server_directory, announced_end_may_come_before_the_entry) {
  server_directory d;
  EXPECT_TRUE(d.mark_leaving({"a", 0}, start));
  d.update(server("a", 1));
  EXPECT_TRUE(d.find("a")->draining);
}

// Guards against servers that stay unused after a restart under the same id.
TEST(server_directory, announced_end_does_not_apply_to_a_new_incarnation) {
  server_directory d;
  listed_server entry = server("a", 1);
  entry.entry.incarnation = 5;
  d.update(entry);
  d.mark_leaving({"a", 5}, start);
  entry.entry.incarnation = 6;
  entry.revision = 2;
  d.update(entry);
  EXPECT_FALSE(d.find("a")->draining);
  EXPECT_FALSE(d.is_leaving({"a", 6}));
}

TEST(server_directory, announced_ends_of_removed_servers_are_forgotten) {
  server_directory d;
  d.update(server("a", 1));
  d.update(server("b", 2));
  d.mark_leaving({"a", 0}, start);
  d.mark_leaving({"b", 0}, start);
  d.remove("a", 3, absl::InfinitePast());
  d.expire(start + absl::Minutes(59), start);
  EXPECT_TRUE(d.is_leaving({"a", 0}));
  d.expire(start + absl::Hours(1), start);
  EXPECT_FALSE(d.is_leaving({"a", 0}));
  EXPECT_TRUE(d.is_leaving({"b", 0}));
}

TEST(collect_groups, out_of_range_rank_is_ignored) {
  EXPECT_EQ(group_of({server("a", 1, -1, member_phase::open)}).name, "");
  EXPECT_EQ(group_of({server("a", 1, 1 << 30, member_phase::open)}).name, "");
}

TEST(group_name, carries_the_model) {
  EXPECT_EQ(group_model(group_name("large.v2", 9)), "large.v2");
  EXPECT_EQ(group_model("nodot"), "");
}

/// A node that has just started lacks all servers, more than fit a datagram.
TEST(server_change, batches_transfer_a_large_directory_in_order) {
  constexpr int servers = 931;
  const batch_limits limits = {200, 1 << 20};
  server_directory from;
  for (int i = 1; i <= servers; ++i) {
    from.update(server(std::to_string(i), i));
  }
  from.advance_revision(servers + 5);
  const auto batches = split_server_changes(
      server_changes_since(from, 0, start), limits, 0, from.revision());
  server_directory to;
  for (const auto& batch : batches) {
    EXPECT_EQ(batch.from_revision, to.revision());
    EXPECT_LE(batch.changes.size(), limits.changes);
    apply_server_changes(to, batch.changes, start);
    to.advance_revision(batch.to_revision);
  }
  EXPECT_EQ(to.servers(), from.servers());
  EXPECT_EQ(to.revision(), from.revision());
}

TEST(server_change, without_changes_there_is_one_empty_batch) {
  const std::vector<server_change_batch> expected = {{7, 9, 0, {}, {}}};
  EXPECT_EQ(split_server_changes({}, batch_limits{}, 7, 9), expected);
}

TEST(server_change, expiring_servers_never_hide_later_changes) {
  server_directory from;
  for (int i = 1; i <= 9; ++i) from.update(server(std::to_string(i), i));
  for (int i = 1; i <= 7; ++i) {
    from.remove(std::to_string(i), i, start + absl::Seconds(2));
  }
  const auto batches = split_server_changes(
      server_changes_since(from, 7, start), {3, 1 << 20}, 7, 9);
  EXPECT_EQ(batches.front().from_revision, 7);
  EXPECT_EQ(batches.back().to_revision, 9);
  size_t reported = 0;
  for (const auto& batch : batches) reported += batch.changes.size();
  EXPECT_EQ(reported, 9U);
}

}  // namespace
}  // namespace spokesail
