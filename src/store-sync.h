// Keeps a node's view of the configuration and of the servers up to date.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <vector>

#include "node-context.h"
#include "spokesail/backoff.h"

namespace spokesail {

class store_feed;

/// Follows what others write to the platform's store.
class store_sync {
 public:
  explicit store_sync(node_context& node) : node(node) {}

  /// Follows the configuration until the process ends.
  boost::asio::awaitable<void> follow_config();

  /// Follows the servers' entries until the process ends.
  boost::asio::awaitable<void> follow_servers();

  /// Called whenever the servers or the configuration have changed.
  std::function<void()> on_change;
  /// Whether news of servers is wanted without delay.
  std::function<bool()> urgent;
  /// Whether this node watches the store itself; otherwise a relay tells it.
  std::function<bool()> watches;
  /// Whether others rely on this node to find a store that comes back.
  std::function<bool()> relied_on;
  /// Asks for the configuration of at least this revision to be read.
  void read_config(int64_t revision) { this->config_wanted = revision; }

 private:
  friend class config_feed;
  friend class server_feed;

  /// Lists a kind of objects and follows their changes, again and again.
  boost::asio::awaitable<void> follow(store_feed& feed);
  /// Follows changes from a revision on until the kind has to be listed again.
  boost::asio::awaitable<void> follow_changes(store_feed& feed,
                                              int64_t revision);
  /// Watches once. False if the kind has to be listed again.
  boost::asio::awaitable<bool> watch_once(store_feed& feed, int64_t& revision,
                                          bool first);
  boost::asio::awaitable<bool> list(store_feed& feed, int64_t& revision);
  /// Lists from a copy that may be old, which costs less. False if it holds
  /// less than what is wanted.
  boost::asio::awaitable<bool> list_copy(store_feed& feed, int64_t& revision);
  void take_config(const object& o);
  /// Takes the configuration in force as proven at `proof`, unless a later one
  /// is there that could not be read.
  void take_proof(absl::Time proof);
  void take_servers(const std::vector<object>& objects, int64_t revision);
  void replace_servers(const object_listing& listing);
  /// Until when entries that are missing after an outage are kept; infinite
  /// past if there was none.
  absl::Time keep_missing_until() const;
  /// Pause after a failed call.
  absl::Duration retry_pause(backoff& pauses);
  void note_store(bool reachable, const std::string& error);

  node_context& node;
  bool reachable = true;
  /// Revision of the configuration that a relay has told of.
  int64_t config_wanted = 0;
  /// Revision of the last configuration that could not be read.
  int64_t unreadable_config = 0;
  absl::Time lost_at = absl::InfinitePast();
  /// When the store came back after it was away.
  absl::Time back_at = absl::InfinitePast();
};

}  // namespace spokesail
