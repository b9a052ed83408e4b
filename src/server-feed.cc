// Listing and watching of the servers' entries.
#include "server-feed.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <map>
#include <string>

namespace spokesail {
namespace {

/// Maximum wait of a watch. Long enough to cost few calls while nothing
/// changes, and short enough to notice a connection that died silently well
/// before an entry would expire.
constexpr absl::Duration watch_wait = absl::Milliseconds(500);

/// Delay before the next watch, in which changes of servers accumulate: each
/// watch costs a call, and groups change in bursts. The controller waits less,
/// since each of its steps depends on the servers' reports.
constexpr absl::Duration batch_time = absl::Milliseconds(150);
constexpr absl::Duration urgent_batch_time = absl::Milliseconds(30);

/// Entries that expired while the store was unreachable are written again
/// within about two seconds after it is reachable, if their servers are alive.
constexpr absl::Duration expiry_grace = absl::Milliseconds(2300);

}  // namespace

server_feed::server_feed(node_context& state, const store_reachability& store)
    : store_feed(state.adapter.kinds().servers, "list_servers",
                 "watch_servers"),
      node(state),
      reachability(store) {}

absl::Duration server_feed::wait(bool) { return watch_wait; }

bool server_feed::may_list() const {
  // While the store is unreachable, only the configuration is requested.
  return this->node.store_reachable && !this->expected_from_relay();
}

bool server_feed::must_list() const {
  // If no relay can send all servers, they have to be listed.
  return !this->node.directory_listed;
}

int64_t server_feed::known_revision() const {
  return this->node.directory.revision();
}

void server_feed::apply_listing(const object_listing& listing,
                                absl::Time verified_at) {
  std::map<std::string, listed_server> listed;
  std::vector<const object*> unusable;
  for (const auto& o : listing.objects) {
    const auto entry = this->parse_entry(o);
    if (entry) {
      listed[entry->id] = this->to_listed(*entry, o.version);
    } else {
      unusable.push_back(&o);
    }
  }
  this->node.directory.replace(listed, listing.revision,
                               this->keep_missing_until());
  // Missing entries are kept for a while; these exist but cannot be used, so
  // they are removed at once.
  for (const object* o : unusable) this->remove_unusable(*o, listing.revision);
  this->node.directory_listed = true;
  this->advance_verified_at(verified_at);
  this->node.invalidate_group_cache();
  this->node.log.state_change("servers_listed",
                              {{"count", absl::StrCat(listed.size())},
                               {"rev", absl::StrCat(listing.revision)}},
                              this->node.now());
  this->on_change();
}

absl::Duration server_feed::apply_changes(const object_changes& changes,
                                          absl::Time sent) {
  const bool changed = !changes.objects.empty();
  this->advance_verified_at(
      verified_by_watch(sent, watch_wait, this->node.now(), changed));
  if (changed) this->apply_entries(changes.objects, changes.revision);
  this->node.directory.advance_revision(changes.revision);
  if (!changed) return absl::ZeroDuration();
  this->on_change();
  return this->low_latency_needed() ? urgent_batch_time : batch_time;
}

void server_feed::advance_verified_at(absl::Time verified_at) {
  this->node.servers_verified_at =
      std::max(this->node.servers_verified_at, verified_at);
}

void server_feed::apply_entries(const std::vector<object>& objects,
                                int64_t revision) {
  const absl::Time keep_until = this->keep_missing_until();
  const std::vector<int64_t> missing_at = removal_revisions(objects, revision);
  for (size_t i = 0; i < objects.size(); ++i) {
    if (objects[i].deleted) {
      this->apply_removal(objects[i], missing_at[i], keep_until);
    } else {
      this->apply_entry(objects[i], revision);
    }
  }
  this->node.invalidate_group_cache();
}

void server_feed::apply_removal(const object& o, int64_t revision,
                                absl::Time keep_until) {
  if (!is_plain_name(o.key.name)) return;
  this->node.directory.remove(o.key.name, revision, keep_until);
  const bool kept = keep_until != absl::InfinitePast();
  this->node.log.state_change("server_gone",
                              {{"server", o.key.name},
                               {"rev", absl::StrCat(revision)},
                               {"kept", kept ? "1" : "0"}},
                              this->node.now());
}

std::optional<server_entry> server_feed::parse_entry(const object& o) {
  std::string fault;
  auto entry = this->node.adapter.read_server(o, fault);
  if (!entry) this->node.unusable.report(o, fault, this->node.now());
  return entry;
}

void server_feed::remove_unusable(const object& o, int64_t as_of) {
  if (!is_plain_name(o.key.name)) return;
  const int64_t revision = o.version > 0 ? o.version : as_of;
  this->node.directory.remove(o.key.name, revision, absl::InfinitePast());
}

void server_feed::apply_entry(const object& o, int64_t as_of) {
  const auto entry = this->parse_entry(o);
  if (!entry) {
    this->remove_unusable(o, as_of);
    return;
  }
  this->node.directory.update(this->to_listed(*entry, o.version));
  this->node.log.state_change(
      "server_entry",
      {{"server", entry->id},
       {"rev", absl::StrCat(o.version)},
       {"draining", entry->draining ? "1" : "0"},
       {"cold_ms",
        absl::StrCat(absl::ToInt64Milliseconds(entry->cold_remaining))},
       {"domain", entry->domain},
       {"staged", absl::StrJoin(entry->staged, ",")},
       {"group", entry->membership.group},
       {"rank", absl::StrCat(entry->membership.rank)},
       {"phase", phase_name(entry->membership.phase)}},
      this->node.now());
}

listed_server server_feed::to_listed(const server_entry& entry,
                                     int64_t revision) const {
  listed_server out;
  out.entry = entry;
  out.revision = revision;
  if (entry.cold_remaining > absl::ZeroDuration()) {
    out.cold_until = this->node.now() + entry.cold_remaining;
  }
  return out;
}

absl::Time server_feed::keep_missing_until() const {
  const absl::Time until = this->reachability.recovered_at() + expiry_grace;
  return until > this->node.now() ? until : absl::InfinitePast();
}

}  // namespace spokesail
