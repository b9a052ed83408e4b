// Lists and watches of the platform's store.
#include "store-sync.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>

namespace spokesail {
namespace {

namespace net = boost::asio;

/// Bounds of the delay after a failed call. Nodes that others may follow use
/// the shorter delays and detect the end of an outage for all. The other nodes
/// retry only in case the store rejects just their calls.
constexpr absl::Duration min_retry_delay = absl::Milliseconds(150);
constexpr absl::Duration max_retry_delay = absl::Milliseconds(900);
constexpr absl::Duration min_slow_retry_delay = absl::Milliseconds(600);
constexpr absl::Duration max_slow_retry_delay = absl::Milliseconds(2400);

/// Interval at which a node checks whether it must watch or may list.
constexpr absl::Duration recheck_interval = absl::Milliseconds(50);

}  // namespace

store_sync::store_sync(node_context& state)
    : node(state),
      reachability(state),
      config(state),
      servers(state, this->reachability),
      evacuations(state) {
  this->config.on_change = [this] { this->on_change(); };
  this->config.expected_from_relay = [this] { return this->expects_config(); };
  this->servers.on_change = [this] { this->on_change(); };
  this->servers.low_latency_needed = [this] {
    return this->low_latency_needed();
  };
  this->servers.expected_from_relay = [this] {
    return this->expects_servers();
  };
  this->evacuations.expected_from_relay = [this] {
    return this->expects_evacuations();
  };
}

net::awaitable<void> store_sync::follow_config() {
  return this->follow(this->config);
}

net::awaitable<void> store_sync::follow_servers() {
  return this->follow(this->servers);
}

net::awaitable<void> store_sync::follow_evacuations() {
  return this->follow(this->evacuations);
}

net::awaitable<void> store_sync::follow(store_feed& feed) {
  backoff delays(min_retry_delay, max_retry_delay);
  // Revision after which to watch; none while the kind has to be listed.
  std::optional<int64_t> revision;
  bool started = false;
  for (;;) {
    if (!feed.may_list()) {
      co_await this->node.sleep(recheck_interval);
      continue;
    }
    // A relay may have sent all servers before the first list.
    const int64_t relayed = feed.known_revision();
    if (!started && relayed > 0 && !feed.must_list()) revision = relayed;
    if (revision) revision = std::max(*revision, relayed);
    started = true;
    bool answered = true;
    if (!revision) {
      int64_t listed = relayed;
      answered = co_await this->list(feed, listed);
      if (answered) revision = listed;
    }
    if (answered) {
      delays.reset();
      const store_status end = co_await this->follow_changes(feed, *revision);
      answered = end == store_status::ok;
      // A store that was out of reach still has the changes since then, unless
      // it says otherwise.
      if (end != store_status::unavailable) revision.reset();
    }
    if (!answered) co_await this->node.sleep(this->retry_delay(delays));
  }
}

net::awaitable<store_status> store_sync::follow_changes(store_feed& feed,
                                                        int64_t& revision) {
  bool first = true;
  for (;;) {
    if (this->watches_directly()) {
      const store_status status =
          co_await this->watch_once(feed, revision, first);
      if (status != store_status::ok) co_return status;
      first = false;
      continue;
    }
    first = true;
    co_await this->node.sleep(recheck_interval);
    if (feed.must_list()) co_return store_status::ok;
    revision = std::max(revision, feed.known_revision());
  }
}

net::awaitable<store_status> store_sync::watch_once(store_feed& feed,
                                                    int64_t& revision,
                                                    bool first) {
  const absl::Time sent = this->node.now();
  object_changes changes =
      co_await this->node.store.watch(feed.kind, revision, feed.wait(first));
  this->node.metrics.count_store_call(feed.watch_name,
                                      store_status_name(changes.status));
  const bool unavailable = changes.status == store_status::unavailable;
  if (feed.indicates_reachability())
    this->reachability.record_call(!unavailable, changes.error);
  if (changes.status != store_status::ok) co_return changes.status;
  revision = std::max(revision, changes.revision);
  changes.revision = revision;
  const absl::Duration delay = feed.apply_changes(changes, sent);
  this->on_answer();
  if (delay > absl::ZeroDuration()) co_await this->node.sleep(delay);
  co_return store_status::ok;
}

net::awaitable<bool> store_sync::list(store_feed& feed, int64_t& revision) {
  if (feed.allows_stale_copy()) {
    bool found = co_await this->list_from_peer(feed, revision);
    if (!found) found = co_await this->list_stale_copy(feed, revision);
    if (found) co_return true;
  }
  const absl::Time sent = this->node.now();
  const object_listing listing =
      co_await this->node.store.list(feed.kind, false);
  const bool ok = listing.status == store_status::ok;
  this->node.metrics.count_store_call(feed.list_name,
                                      store_status_name(listing.status));
  if (feed.indicates_reachability())
    this->reachability.record_call(ok, listing.error);
  if (!ok) co_return false;
  feed.apply_listing(listing, sent);
  revision = listing.revision;
  co_return true;
}

net::awaitable<bool> store_sync::list_from_peer(store_feed& feed,
                                                int64_t& revision) {
  const object_listing listing = co_await this->fetch_from_peer();
  const bool found =
      listing.status == store_status::ok && feed.contains_requested(listing);
  if (!found) {
    this->node.log.state_change("peer_has_not",
                                {{"kind", feed.kind}, {"why", listing.error}},
                                this->node.now());
    co_return false;
  }
  feed.apply_listing(listing, absl::InfinitePast());
  revision = listing.revision;
  co_return true;
}

net::awaitable<bool> store_sync::list_stale_copy(store_feed& feed,
                                                 int64_t& revision) {
  const object_listing listing =
      co_await this->node.store.list(feed.kind, true);
  const bool found =
      listing.status == store_status::ok && feed.contains_requested(listing);
  this->node.metrics.count_store_call(
      absl::StrCat(feed.list_name, "_copy"),
      found ? store_status_name(listing.status) : "old");
  if (!found) co_return false;
  feed.apply_listing(listing, absl::InfinitePast());
  revision = listing.revision;
  co_return true;
}

absl::Duration store_sync::retry_delay(backoff& delays) {
  if (this->may_have_followers()) {
    delays.set_bounds(min_retry_delay, max_retry_delay);
  } else {
    delays.set_bounds(min_slow_retry_delay, max_slow_retry_delay);
  }
  return delays.next(this->node.random);
}

}  // namespace spokesail
