// Applies listings and watches of the configuration.
#include "config-feed.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <memory>

namespace spokesail {
namespace {

/// Maximum wait of a watch of the configuration. A watch that times out
/// verifies that the configuration is unchanged. If the store silently drops a
/// node's calls, the node notices after this wait and the slack of a watch. Its
/// followers then still have time to read the store themselves: a change has to
/// be in force everywhere two seconds after it was made. Few calls are made,
/// since normally only the lease holder watches.
constexpr absl::Duration watch_wait = absl::Milliseconds(400);

/// Wait of the first watch after a node starts to watch. It is short so that
/// the node has verified the configuration itself before its followers consider
/// it stale and choose another relay.
constexpr absl::Duration first_watch_wait = absl::Milliseconds(50);

/// Minimum time between two reads of the configuration by a node that is
/// notified of changes: changes come in bursts, and each read is charged.
constexpr absl::Duration min_read_interval = absl::Milliseconds(350);

}  // namespace

config_feed::config_feed(node_context& state)
    : store_feed(state.adapter.kinds().config, "list_config", "watch_config"),
      node(state) {}

absl::Duration config_feed::wait(bool first) {
  this->current_watch_wait = first ? first_watch_wait : watch_wait;
  return this->current_watch_wait;
}

bool config_feed::may_list() const {
  return this->requested_revision > this->node.config_revision ||
         !this->expected_from_relay();
}

bool config_feed::must_list() const {
  return this->requested_revision > this->node.config_revision &&
         this->node.now() - this->listed_at >= min_read_interval;
}

bool config_feed::allows_stale_copy() const {
  // The relay has verified the revision, so the content may come from any copy.
  return this->requested_revision > this->node.config_revision;
}

bool config_feed::contains_requested(const object_listing& listing) const {
  return std::any_of(listing.objects.begin(), listing.objects.end(),
                     [this](const object& o) {
                       return o.version >= this->requested_revision;
                     });
}

void config_feed::apply_listing(const object_listing& listing,
                                absl::Time verified_at) {
  this->listed_at = this->node.now();
  for (const auto& o : listing.objects) this->apply_config(o);
  this->advance_verified_at(verified_at);
}

absl::Duration config_feed::apply_changes(const object_changes& changes,
                                          absl::Time sent) {
  const absl::Time verified_at =
      verified_by_watch(sent, this->current_watch_wait, this->node.now(),
                        !changes.objects.empty());
  for (const auto& o : changes.objects) this->apply_config(o);
  this->advance_verified_at(verified_at);
  return absl::ZeroDuration();
}

void config_feed::apply_config(const object& o) {
  if (o.key.name != this->node.adapter.kinds().config_name || o.deleted) return;
  if (o.version <= this->node.config_revision) return;
  auto config = this->node.adapter.read_config(o);
  if (!config) {
    this->unreadable_revision = o.version;
    this->node.unusable.report(o, "not a configuration", this->node.now());
    this->node.log.state_change("config_unreadable",
                                {{"rev", absl::StrCat(o.version)}},
                                this->node.now());
    return;
  }
  this->node.config_revision = o.version;
  this->node.config_object = std::make_shared<const object>(o);
  this->node.routes = std::make_shared<const routing_table>(*config);
  this->node.invalidate_group_cache();
  this->node.log.state_change(
      "config_in_force",
      {{"version", absl::StrCat(config->version)},
       {"rev", absl::StrCat(o.version)},
       {"routes", absl::StrCat(config->routes.size())},
       {"workspaces", absl::StrCat(config->workspaces.size())}},
      this->node.now());
  this->on_change();
}

void config_feed::advance_verified_at(absl::Time verified_at) {
  if (this->unreadable_revision > this->node.config_revision) return;
  this->node.config_verified_at =
      std::max(this->node.config_verified_at, verified_at);
}

}  // namespace spokesail
