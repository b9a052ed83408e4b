// Keeps a node's view of the configuration and of the servers up to date.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

#include "node-context.h"

namespace spokesail {

/// Follows what others write to the platform's store.
class store_sync {
 public:
  explicit store_sync(node_context& node) : node(node) {}

  /// Follows the configuration until the process ends.
  boost::asio::awaitable<void> follow_config();

  /// Follows the servers' entries until the process ends.
  boost::asio::awaitable<void> follow_servers();

  /// Called whenever the servers have changed.
  std::function<void()> on_servers;
  /// Whether news of servers is wanted without delay.
  std::function<bool()> urgent;
  /// Whether this node watches the store itself; otherwise a relay tells it.
  std::function<bool()> watches;
  /// Asks for the configuration to be read once.
  void read_config() { this->config_wanted = true; }

 private:
  boost::asio::awaitable<bool> list_config(int64_t& revision);
  void take_config(const object& o, absl::Time proof);
  void take_servers(const std::vector<object>& objects, int64_t revision);
  boost::asio::awaitable<bool> list_servers(int64_t& revision);
  boost::asio::awaitable<void> pause(absl::Duration time);
  void note_store(bool reachable, const std::string& error);

  node_context& node;
  boost::asio::awaitable<void> wait_for_relay();

  bool reachable = true;
  bool config_wanted = false;
  absl::Time lost_at = absl::InfinitePast();
  /// When the store came back after it was away.
  absl::Time back_at = absl::InfinitePast();
};

}  // namespace spokesail
