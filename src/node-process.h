// All parts of a node on one event loop.
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

#include "crash-gossip.h"
#include "grant-coordinator.h"
#include "group-controller-runner.h"
#include "http-fetch.h"
#include "lease-manager.h"
#include "limit-gossip.h"
#include "node-context.h"
#include "node-gossip.h"
#include "peer-config-service.h"
#include "peer-link.h"
#include "spokesail/object-store.h"
#include "spokesail/platform-adapter.h"
#include "stall-detector.h"
#include "store-relay.h"
#include "store-sync.h"

namespace spokesail {

/// A node, from its listeners to its duties. Used on the loop's thread only.
class node_process {
 public:
  node_process(const node_settings& settings, boost::asio::io_context& loop,
               node_log& log);

  /// Binds all addresses. False, with a log line, if one cannot be had.
  bool listen();

  /// Starts all parts.
  void start();

  /// Begins to stop; `on_exit` is called when the process may end.
  void stop(const std::string& why);

  /// Called once a stop is done.
  std::function<void()> on_exit;

  /// The node's state, for tests.
  node_context& context() { return this->state; }
  /// Whether this node forms groups, for tests.
  bool holds_lease() const { return this->lease.holds(); }
  /// Whether this node watches the store itself, for tests.
  bool watches_store() const { return this->relay.watches_store(); }

 private:
  /// What this node says as the holder of the lease; nothing if it is not.
  std::optional<holder_state> own_holder_state();
  /// Hands messages of peers to the parts that they are for.
  void connect_messages();
  /// Tells the parts that form groups of the others.
  void connect_group_runner();
  /// Tells the parts that follow the store of the others.
  void connect_store();
  void spawn(boost::asio::awaitable<void> task);
  /// Takes callers' connections while there are descriptors for them.
  boost::asio::awaitable<void> accept_callers();
  /// Serves the address of readiness (if `ready` is set) or of metrics.
  boost::asio::awaitable<void> serve_admin(
      boost::asio::ip::tcp::acceptor& acceptor, bool ready);
  boost::asio::awaitable<void> answer_admin(boost::asio::ip::tcp::socket socket,
                                            bool ready);
  /// Has the parts look at their limits, again and again.
  boost::asio::awaitable<void> tick();
  void set_gauges();
  void set_evacuation_gauges();
  /// Ends what has rested or been kept for too long, and logs readiness.
  void run_housekeeping(absl::Time now);
  void log_readiness(absl::Time now);
  /// Logs that this node may be late to learn of a server's leave, or no more.
  void log_servers_age(absl::Time now);
  /// Logs which data halls get no requests, when that changes.
  void log_closed_halls(absl::Time now);
  /// Logs how often the store was called, once in a while.
  void log_store_calls(absl::Time now);
  /// Whether a node that was told to stop has nothing left to do, or no time.
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
  node_gossip gossip;
  store_relay relay;
  crash_gossip crashes;
  peer_config_service config;
  lease_manager lease;
  group_controller_runner group_runner;
  grant_coordinator cold;
  limit_gossip limits;
  stall_detector stalls;
  boost::asio::ip::tcp::acceptor callers{loop};
  boost::asio::ip::tcp::acceptor readiness{loop};
  boost::asio::ip::tcp::acceptor metrics{loop};
  /// Readiness at the last look, so that only changes are logged.
  bool logged_ready = false;
  /// Whether the list of servers was too old at the last look.
  bool logged_servers_late = false;
  /// The data halls that got no requests at the last look.
  std::set<std::string> logged_closed_halls;
  /// When the calls to the store were last logged.
  absl::Time store_calls_logged = absl::InfinitePast();
  /// The last word as the holder of the lease.
  holder_state published_holder_state;
};

}  // namespace spokesail
