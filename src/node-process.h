// Owns all parts of a node and runs them on one event loop.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "caller-acceptor.h"
#include "crash-gossip.h"
#include "departure-gossip.h"
#include "grant-coordinator.h"
#include "group-controller-runner.h"
#include "http-fetch.h"
#include "lease-manager.h"
#include "limit-gossip.h"
#include "node-context.h"
#include "node-discovery.h"
#include "node-gossip.h"
#include "peer-config-service.h"
#include "peer-link.h"
#include "spokesail/object-store.h"
#include "spokesail/platform-adapter.h"
#include "stall-detector.h"
#include "store-relay.h"
#include "store-sync.h"
#include "trial-coordinator.h"
#include "tunnel.h"

namespace spokesail {

/// A node with its listeners, its links to peers and, while it holds the lease,
/// the group controller. Must be used on the event loop's thread only.
class node_process {
 public:
  node_process(const node_settings& settings, boost::asio::io_context& loop,
               node_log& log);

  /// Binds all addresses. Logs and returns false if one cannot be bound.
  bool listen();

  /// Starts all parts.
  void start();

  /// Starts a graceful stop; `on_exit` is called when the process may exit.
  void stop(const std::string& why);

  /// Called once a graceful stop is complete.
  std::function<void()> on_exit;

  /// The node's state, for tests.
  node_context& context() { return this->state; }
  /// Whether this node holds the lease and so forms groups, for tests.
  bool holds_lease() const { return this->lease.holds(); }
  /// Whether this node watches the store itself, for tests.
  bool watches_store() const { return this->relay.watches_store(); }

 private:
  /// The state that this node publishes as the lease holder; nullopt if it is
  /// not the holder.
  std::optional<holder_state> own_holder_state();
  /// Connects the callbacks that dispatch messages from peers.
  void connect_messages();
  /// Connects the callbacks of the lease and of group formation.
  void connect_group_runner();
  /// Connects the callbacks of the store's feeds and of the relay.
  void connect_store();
  void spawn(boost::asio::awaitable<void> task);
  /// Serves the readiness probe (if `ready` is set) or metrics.
  boost::asio::awaitable<void> serve_admin(
      boost::asio::ip::tcp::acceptor& acceptor, bool ready);
  boost::asio::awaitable<void> answer_admin(boost::asio::ip::tcp::socket socket,
                                            bool ready);
  /// Runs the periodic checks of all parts.
  boost::asio::awaitable<void> tick();
  /// Reports the use of the host to the limit on accepted connections.
  void update_intake(absl::Duration loop_delay, absl::Time now);
  /// Logs periodically while connections are refused for lack of capacity.
  void log_intake(absl::Time now);
  void set_gauges();
  void set_evacuation_gauges();
  /// Removes expired sessions, connections and entries, and logs changes of the
  /// node's state.
  void run_housekeeping(absl::Time now);
  void log_readiness(absl::Time now);
  /// Logs when this node's list of servers becomes too old to notice in time
  /// that a server is leaving, and when it is current again.
  void log_servers_age(absl::Time now);
  /// Logs the data halls that get no requests, when they change.
  void log_closed_halls(absl::Time now);
  /// Logs the data halls whose servers are out of reach, when they change.
  void log_halls_out_of_reach(absl::Time now);
  /// Logs the number of store calls periodically.
  void log_store_calls(absl::Time now);
  /// Whether a stopping node has finished its work or run out of time.
  bool can_exit(absl::Time now) const;

  const node_settings& settings;
  boost::asio::io_context& loop;
  node_log& log;
  std::unique_ptr<platform_adapter> adapter;
  http_fetcher fetcher;
  std::unique_ptr<object_store> store;
  node_context state;
  store_sync sync;
  peer_link link;
  node_discovery discovery;
  node_gossip gossip;
  store_relay relay;
  crash_gossip crashes;
  trial_coordinator trials;
  peer_config_service config;
  tunnel_service tunnels;
  lease_manager lease;
  group_controller_runner group_runner;
  grant_coordinator cold;
  limit_gossip limits;
  departure_gossip departures;
  stall_detector stalls;
  caller_acceptor callers;
  boost::asio::ip::tcp::acceptor readiness{loop};
  boost::asio::ip::tcp::acceptor metrics{loop};
  /// Readiness as last logged; only changes are logged.
  bool logged_ready = false;
  /// Whether the list of servers was last logged as too old.
  bool logged_servers_late = false;
  /// The data halls that were last logged as closed to requests.
  std::set<std::string> logged_closed_halls;
  /// The data halls that were last logged as out of reach.
  std::set<std::string> logged_halls_out_of_reach;
  /// When the store calls were last logged.
  absl::Time store_calls_logged = absl::InfinitePast();
  /// When pauses in accepting connections were last logged, and how many there
  /// had been.
  absl::Time intake_logged = absl::InfinitePast();
  uint64_t intake_logged_count = 0;
  /// The state last published as the lease holder.
  holder_state published_holder_state;
};

}  // namespace spokesail
