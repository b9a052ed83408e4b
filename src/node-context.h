// What a node knows, shared by its parts, which all run on one event loop.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "connection-pool.h"
#include "http-fetch.h"
#include "node-log.h"
#include "node-message.h"
#include "node-metrics.h"
#include "node-settings.h"
#include "spokesail/byte-budget.h"
#include "spokesail/crash-tracker.h"
#include "spokesail/demand-table.h"
#include "spokesail/demand-window.h"
#include "spokesail/engine-model.h"
#include "spokesail/fleet-size.h"
#include "spokesail/grant-client.h"
#include "spokesail/hall-evacuations.h"
#include "spokesail/limit-share.h"
#include "spokesail/load-table.h"
#include "spokesail/object-store.h"
#include "spokesail/platform-adapter.h"
#include "spokesail/request-admission.h"
#include "spokesail/retry-budget.h"
#include "spokesail/server-directory.h"
#include "spokesail/server-limits.h"
#include "spokesail/speed-table.h"
#include "spokesail/staleness.h"

namespace spokesail {

class exchange;
class caller_session;

/// Times that the parts of a node share.
struct node_timing {
  /// Period of the check of limits, stalls and lapsed entries.
  static constexpr absl::Duration tick = absl::Milliseconds(20);
  /// Part of the revoke time after which what a node knows of the configuration
  /// is old. Where keys fail closed, it then refuses requests with keys; the
  /// rest is for requests that wait at a server before they run.
  static constexpr double fresh_fraction = 0.7;
  /// How long a group or server that failed is passed over.
  static constexpr absl::Duration avoid_duration = absl::Milliseconds(1000);
  /// The part of the loop's worst delay that is left after one tick. It is down
  /// to a third after half a second, when answers to questions that were open
  /// at the time have been read.
  static constexpr double loop_delay_decay = 0.957;
  /// A node that was told to stop takes requests for this long: until its
  /// platform, which asks once a second and wants two misses, sends no more
  /// connections. One taken later may not end before the process does.
  static constexpr absl::Duration stop_accept_time = absl::Milliseconds(2900);
};

/// A node's state. Everything here is used on the loop's thread only.
struct node_context {
  node_context(const node_settings& settings, boost::asio::io_context& loop,
               platform_adapter& adapter, object_store& store,
               http_fetcher& fetcher, node_log& log);

  const node_settings& settings;
  boost::asio::io_context& loop;
  platform_adapter& adapter;
  object_store& store;
  http_fetcher& fetcher;
  node_log& log;
  node_metrics metrics;
  connection_pool pool;
  random_stream random;

  /// When the process began.
  const absl::Time started;

  /// The configuration in force; null before the first.
  std::shared_ptr<const routing_table> routes;
  /// The store's revision of it.
  int64_t config_revision = 0;
  /// Its content as in the store, for peers; null before the first.
  std::shared_ptr<const object> config_object;
  /// The latest time at which the configuration is known to have been in
  /// force in the store.
  absl::Time config_verified_at = absl::InfinitePast();

  /// Whether the last call to the store was answered.
  bool store_reachable = true;

  server_directory directory;
  /// The latest time as of which all changes of servers are known.
  absl::Time servers_verified_at = absl::InfinitePast();
  /// Whether all servers have been listed once.
  bool directory_listed = false;

  /// Evacuated data halls; never known where they are not followed.
  hall_evacuations evacuations;

  load_table loads;
  /// Requests and answers that are held for callers.
  byte_budget held;
  /// Which groups and servers are slow; nothing where policy says not to learn.
  speed_table speeds;
  /// What this node's callers ask for, and the callers of others.
  demand_window own_demand;
  demand_table demand;
  retry_budget retries;
  /// Requests that wait for a group, and what admits them.
  request_admission admission;
  /// The last number that a request got for it.
  uint64_t admission_number = 0;
  /// Requests under which servers ended.
  crash_tracker crashes;
  /// Grants for servers that are cold or advertise a rate limit.
  grant_client cold;
  /// Request rate limits that servers advertise.
  server_limits limits;
  /// This node's share of these limits, which needs no grant.
  limit_share limit_shares;
  /// Nodes that live, this one included, as far as it knows.
  int live_nodes = 1;
  /// How many nodes may be there, those that are not heard included.
  peak_fleet_size fleet;
  /// Whether this node or a peer has had requests.
  bool requests_seen = false;
  /// How often this hall hears of other halls' requests in flight.
  absl::Duration remote_update_period = absl::ZeroDuration();

  /// Groups and servers that are passed over for a while.
  std::map<std::string, absl::Time> avoided_until;
  /// Servers that do not answer, by this node's traffic, and when it saw so.
  std::map<std::string, absl::Time> suspected_servers;
  /// Servers that the holder of the lease found not to answer.
  std::set<std::string> unresponsive_servers;
  /// The last word of a holder of the lease, and when it was last heard.
  std::optional<holder_state> last_holder_state;
  absl::Time holder_heard_at = absl::InfinitePast();
  /// How late the loop was at worst of late; what seems to be the silence of
  /// others may be this node's own.
  absl::Duration loop_delay = absl::ZeroDuration();

  /// Exchanges and sessions that run; each enters and removes itself.
  std::unordered_set<exchange*> exchanges;
  std::unordered_set<caller_session*> sessions;

  /// Since when the process is to stop; infinite future if it is not.
  absl::Time stopping_since = absl::InfiniteFuture();

  /// The time on the clock that all parts use.
  absl::Time now() const;
  /// Waits on the loop.
  boost::asio::awaitable<void> sleep(absl::Duration time);
  /// Takes note of how late the loop was for a tick.
  void record_loop_delay(absl::Duration delay);
  /// Whether the process was told to stop.
  bool stopping() const {
    return this->stopping_since != absl::InfiniteFuture();
  }
  /// Whether it is too late to take another request before the stop.
  bool closing() const {
    return this->now() - this->stopping_since >= node_timing::stop_accept_time;
  }
  /// Age of what is known of the configuration.
  absl::Duration config_age() const;
  /// Age of what is known of the configuration, servers and evacuations.
  news_age age() const;
  /// Whether the configuration is known to have been in force of late.
  bool config_fresh() const;
  /// Whether a key that is known may be served. Where keys need not fail
  /// closed, an outage of the store refuses nobody.
  bool keys_trusted() const;
  /// Whether the evacuated halls are known, where they are followed. Until
  /// then nothing is sent to any server.
  bool evacuations_known() const;
  /// Whether a data hall's servers are to get no requests.
  bool hall_closed(const std::string& hall) const;
  /// Whether all servers of a service are in such halls.
  bool service_closed(const std::string& service) const;
  /// Nodes that what servers take of all is divided by. Until it is known how
  /// many there are, those that are heard: callers are served meanwhile.
  int capacity_sharing_nodes();
  /// Whether the node takes new connections.
  bool ready() const;

  /// Passes a group or server over for a while.
  void avoid_endpoint(const std::string& endpoint);
  bool avoided(const std::string& endpoint) const;
  /// Takes note that a server did not answer.
  void suspect_server(const std::string& server);

  /// A service's groups, by the servers' own words.
  const std::vector<group_view>& groups(const std::string& service);
  /// To be called when the directory or the configuration has changed.
  void invalidate_group_cache() { this->group_cache.clear(); }

 private:
  /// Groups by service, until the directory or the configuration changes.
  std::map<std::string, std::vector<group_view>> group_cache;
};

}  // namespace spokesail
