// Listing and watching of evacuations.
#include "evacuation-feed.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace spokesail {
namespace {

/// Maximum wait of a watch, as a share of the time within which a hall has to
/// be empty. A watch that times out proves that nothing has changed, and each
/// watch is charged as a call. The rest of the time is for another node's
/// watch.
constexpr double watch_wait_share = 0.3;

/// The first watch of a node that starts to watch is short, so that the node
/// has verified the evacuations itself before its followers consider it stale.
constexpr absl::Duration first_watch_wait = absl::Milliseconds(50);

/// Maximum number of evacuated halls, above that of any installation: each
/// message to followers holds all of them.
constexpr size_t max_evacuated_halls = 64;

/// Number of servers in a data hall, as known to this node.
int64_t servers_in(const node_context& node, const std::string& hall) {
  const auto& servers = node.directory.servers();
  return std::count_if(servers.begin(), servers.end(), [&](const auto& item) {
    return item.second.entry.hall == hall;
  });
}

void log_change(node_context& node, const char* event, const std::string& hall,
                const std::string& source) {
  const absl::Time now = node.now();
  const evacuation_snapshot known = node.evacuations.snapshot(now);
  node.log.state_change(
      event,
      {{"hall", hall},
       {"rev", absl::StrCat(known.revision)},
       {"age_ms", absl::StrCat(absl::ToInt64Milliseconds(known.age))},
       {"source", source},
       {"servers", absl::StrCat(servers_in(node, hall))},
       {"servers_rev", absl::StrCat(node.directory.revision())}},
      now);
}

}  // namespace

void apply_evacuations(node_context& node, const evacuation_snapshot& snapshot,
                       absl::Time as_of, const std::string& source) {
  const evacuation_change change =
      node.evacuations.apply(snapshot, as_of, node.now());
  for (const auto& hall : change.begun) {
    log_change(node, "evacuation_begun", hall, source);
  }
  for (const auto& hall : change.ended) {
    log_change(node, "evacuation_ended", hall, source);
  }
}

evacuation_feed::evacuation_feed(node_context& state)
    : store_feed(state.adapter.kinds().evacuations, "list_evacuations",
                 "watch_evacuations"),
      node(state) {}

absl::Duration evacuation_feed::wait(bool first) {
  const absl::Duration bound =
      this->node.settings.bounds.evacuate_deadline.value_or(
          absl::ZeroDuration());
  this->current_watch_wait =
      first ? first_watch_wait : watch_wait_share * bound;
  return this->current_watch_wait;
}

bool evacuation_feed::may_list() const {
  // While the store is unreachable, only the configuration is requested.
  return this->node.store_reachable && !this->expected_from_relay();
}

bool evacuation_feed::must_list() const {
  return !this->node.evacuations.known();
}

int64_t evacuation_feed::known_revision() const {
  return this->node.evacuations.snapshot(this->node.now()).revision;
}

void evacuation_feed::add_hall(evacuation_snapshot& snapshot, const object& o) {
  const bool usable = is_plain_name(o.key.name) &&
                      (snapshot.halls.size() < max_evacuated_halls ||
                       snapshot.halls.count(o.key.name) != 0);
  if (usable) {
    snapshot.halls.insert(o.key.name);
  } else {
    this->node.unusable.report(o, "not a data hall", this->node.now());
  }
}

void evacuation_feed::apply_listing(const object_listing& listing,
                                    absl::Time verified_at) {
  evacuation_snapshot snapshot;
  snapshot.revision = listing.revision;
  snapshot.age = absl::ZeroDuration();
  for (const auto& o : listing.objects) this->add_hall(snapshot, o);
  apply_evacuations(this->node, snapshot, verified_at, "store");
}

absl::Duration evacuation_feed::apply_changes(const object_changes& changes,
                                              absl::Time sent) {
  evacuation_snapshot snapshot =
      this->node.evacuations.snapshot(this->node.now());
  snapshot.revision = changes.revision;
  snapshot.age = absl::ZeroDuration();
  for (const auto& o : changes.objects) {
    if (o.deleted) {
      snapshot.halls.erase(o.key.name);
    } else {
      this->add_hall(snapshot, o);
    }
  }
  // A watch that timed out saw no change until the end of its wait.
  const absl::Time wait_end = sent + this->current_watch_wait;
  const bool timed_out =
      changes.objects.empty() && this->node.now() >= wait_end;
  const absl::Time verified_at = timed_out ? wait_end : sent;
  apply_evacuations(this->node, snapshot, verified_at, "store");
  return absl::ZeroDuration();
}

}  // namespace spokesail
