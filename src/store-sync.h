// Keeps a node's view of the configuration and of the servers up to date.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>

#include "config-feed.h"
#include "evacuation-feed.h"
#include "node-context.h"
#include "server-feed.h"
#include "spokesail/backoff.h"
#include "store-feed.h"
#include "store-reachability.h"

namespace spokesail {

/// Follows what others write to the platform's store: lists each kind and
/// watches it, or leaves the watching to a relay.
class store_sync {
 public:
  explicit store_sync(node_context& node);
  store_sync(const store_sync&) = delete;
  store_sync& operator=(const store_sync&) = delete;

  /// Follows the configuration until the process ends.
  boost::asio::awaitable<void> follow_config();

  /// Follows the servers' entries until the process ends.
  boost::asio::awaitable<void> follow_servers();

  /// Follows evacuations until the process ends.
  boost::asio::awaitable<void> follow_evacuations();

  /// Called whenever the servers or the configuration have changed.
  std::function<void()> on_change;
  /// Whether news of servers is wanted without delay.
  std::function<bool()> low_latency_needed;
  /// Whether this node watches the store itself; otherwise a relay tells it.
  std::function<bool()> watches_directly;
  /// Whether a relay is about to tell of all servers.
  std::function<bool()> expects_servers;
  /// Whether a relay is about to tell of evacuations.
  std::function<bool()> expects_evacuations;
  /// Whether others rely on this node to find a store that comes back.
  std::function<bool()> may_have_followers;
  /// Reads the configuration from the peer that told of the last change.
  std::function<boost::asio::awaitable<object_listing>()> fetch_from_peer;
  /// Asks for the configuration of at least this revision to be read.
  void request_config(int64_t revision) {
    this->config.request_revision(revision);
  }

 private:
  /// Lists a kind of objects and follows their changes, again and again.
  boost::asio::awaitable<void> follow(store_feed& feed);
  /// Follows changes from a revision on until the kind has to be listed again.
  /// False if that is because a watch has failed.
  boost::asio::awaitable<bool> follow_changes(store_feed& feed,
                                              int64_t revision);
  /// Watches once. False if it failed.
  boost::asio::awaitable<bool> watch_once(store_feed& feed, int64_t& revision,
                                          bool first);
  boost::asio::awaitable<bool> list(store_feed& feed, int64_t& revision);
  /// Lists from a peer. False if it holds less than what is wanted.
  boost::asio::awaitable<bool> list_from_peer(store_feed& feed,
                                              int64_t& revision);
  /// Lists from a copy that may be old, which costs less. False if it holds
  /// less than what is wanted.
  boost::asio::awaitable<bool> list_stale_copy(store_feed& feed,
                                               int64_t& revision);
  /// Pause after a failed call.
  absl::Duration retry_delay(backoff& pauses);

  node_context& node;
  store_reachability reach;
  config_feed config;
  server_feed servers;
  evacuation_feed evacuations;
};

}  // namespace spokesail
