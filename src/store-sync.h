// Keeps a node's configuration, servers and evacuations up to date.
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

/// Follows changes in the platform's store: lists each kind of object and then
/// watches it, or leaves watching to a relay.
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

  /// Called whenever a watch was answered.
  std::function<void()> on_answer;
  /// Called whenever the servers or the configuration have changed.
  std::function<void()> on_change;
  /// Whether changes of servers are needed without delay.
  std::function<bool()> low_latency_needed;
  /// Whether this node watches the store itself; otherwise a relay sends it the
  /// changes.
  std::function<bool()> watches_directly;
  /// Whether a relay is about to announce the first configuration.
  std::function<bool()> expects_config;
  /// Whether a relay is about to send all servers.
  std::function<bool()> expects_servers;
  /// Whether a relay is about to send the evacuations.
  std::function<bool()> expects_evacuations;
  /// Whether other nodes depend on this one to notice that the store is
  /// available again.
  std::function<bool()> may_have_followers;
  /// Reads the configuration from the peer that announced its last change.
  std::function<boost::asio::awaitable<object_listing>()> fetch_from_peer;
  /// Requests that the configuration of at least this revision be read.
  void request_config(int64_t revision) {
    this->config.request_revision(revision);
  }

 private:
  /// Lists a kind of object and follows its changes until the process ends.
  boost::asio::awaitable<void> follow(store_feed& feed);
  /// Follows changes after `revision`, which advances with them, until the kind
  /// must be listed again or a watch fails.
  boost::asio::awaitable<store_status> follow_changes(store_feed& feed,
                                                      int64_t& revision);
  /// Makes one watch call.
  boost::asio::awaitable<store_status> watch_once(store_feed& feed,
                                                  int64_t& revision,
                                                  bool first);
  boost::asio::awaitable<bool> list(store_feed& feed, int64_t& revision);
  /// Lists from a peer. Returns false if it lacks the requested revision.
  boost::asio::awaitable<bool> list_from_peer(store_feed& feed,
                                              int64_t& revision);
  /// Lists from a copy of the store that may be stale, which costs less.
  /// Returns false if it lacks the requested revision.
  boost::asio::awaitable<bool> list_stale_copy(store_feed& feed,
                                               int64_t& revision);
  /// Delay after a failed call.
  absl::Duration retry_delay(backoff& delays);

  node_context& node;
  store_reachability reachability;
  config_feed config;
  server_feed servers;
  evacuation_feed evacuations;
};

}  // namespace spokesail
