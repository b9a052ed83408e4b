// State shared by all parts of a node, which run on one event loop.
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
#include "server-connector.h"
#include "server-prober.h"
#include "spokesail/byte-budget.h"
#include "spokesail/crash-tracker.h"
#include "spokesail/crash-trials.h"
#include "spokesail/demand-table.h"
#include "spokesail/demand-window.h"
#include "spokesail/engine-model.h"
#include "spokesail/failover.h"
#include "spokesail/fleet-size.h"
#include "spokesail/grant-client.h"
#include "spokesail/hall-evacuations.h"
#include "spokesail/hall-reachability.h"
#include "spokesail/intake-limiter.h"
#include "spokesail/limit-share.h"
#include "spokesail/load-table.h"
#include "spokesail/object-store.h"
#include "spokesail/platform-adapter.h"
#include "spokesail/request-admission.h"
#include "spokesail/retry-budget.h"
#include "spokesail/server-backoffs.h"
#include "spokesail/server-directory.h"
#include "spokesail/server-limits.h"
#include "spokesail/server-reachability.h"
#include "spokesail/speed-table.h"
#include "spokesail/staleness.h"
#include "unusable-entries.h"

namespace spokesail {

class exchange;
class caller_session;

/// Time constants shared by the parts of a node.
struct node_timing {
  /// Period of the checks of limits, stalls and expired entries.
  static constexpr absl::Duration tick = absl::Milliseconds(20);
  /// Fraction of the revoke time after which the node's configuration counts as
  /// stale: a route or key that it lacks may have been added since.
  static constexpr double fresh_fraction = 0.7;
  /// How long an endpoint is excluded after a failure.
  static constexpr absl::Duration avoid_duration = absl::Milliseconds(1000);
  /// Factor by which the recorded worst loop delay decays at each tick. It
  /// falls to a third in half a second; by then the answers to requests that
  /// were pending during the delay have been read.
  static constexpr double loop_delay_decay = 0.957;
  /// How long a stopping node accepts requests. The platform probes readiness
  /// once a second and stops sending connections after two failed probes. A
  /// request accepted later might not finish before the process is killed.
  static constexpr absl::Duration stop_accept_time = absl::Milliseconds(2900);
  /// A stopping process exits this long before the platform would kill it.
  static constexpr absl::Duration exit_margin = absl::Milliseconds(400);
  /// Time before the exit in which callers get an answer to what has not been
  /// served.
  static constexpr absl::Duration last_answer_time = absl::Milliseconds(300);
};

/// Memory for responses that are being read and not passed on yet, in bytes; 0
/// for no limit. Both the calls for callers and the other calls have so much.
size_t max_incoming_bytes(const node_settings& settings);

/// A node's state. Must be used on the event loop's thread only.
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
  /// Opens direct connections to backend servers; never null. Replaced by
  /// tests.
  std::shared_ptr<server_dialer> dialer = std::make_shared<tcp_dialer>();
  node_metrics metrics;
  unusable_entries unusable{metrics, log};
  connection_pool pool;
  /// Which servers this node reaches over its own links.
  server_reachability reachability;
  server_connector connector{*this};
  server_prober prober{*this};
  /// Paces the searches for other endpoints of running attempts, by service.
  std::map<std::string, failover_pacer> failovers;
  /// Number of other nodes' connections to servers that this node carries.
  size_t tunnel_count = 0;
  random_stream random;

  /// When the process started.
  const absl::Time started;

  /// The configuration in force; null until the first is read.
  std::shared_ptr<const routing_table> routes;
  /// Revision of the configuration in the store.
  int64_t config_revision = 0;
  /// The configuration as stored, for peers; null until the first is read.
  std::shared_ptr<const object> config_object;
  /// The latest time at which this configuration is known to have been the
  /// store's current one.
  absl::Time config_verified_at = absl::InfinitePast();

  /// Whether the last call to the store was answered.
  bool store_reachable = true;

  server_directory directory;
  /// The latest time up to which all changes of servers are known.
  absl::Time servers_verified_at = absl::InfinitePast();
  /// Whether all servers have been listed at least once.
  bool directory_listed = false;

  /// Evacuated data halls; always unknown if evacuations are not followed.
  hall_evacuations evacuations;

  load_table loads;
  /// Data halls from which nothing is received any more.
  hall_reachability remote_halls;
  /// Bytes of requests and answers that are buffered for callers.
  byte_budget held;
  /// Memory for what servers have sent and no reader has passed on or held yet:
  /// heads, and parts of chunks and of events.
  byte_budget incoming;
  /// Limits the connections that are accepted to what the host can process.
  intake_limiter intake;
  /// Requests that are read or served, and new connections whose request has
  /// not come yet.
  int requests_in_progress = 0;
  /// Bytes exchanged with callers and servers.
  uint64_t bytes_in = 0;
  uint64_t bytes_out = 0;
  /// Speeds of groups and servers; empty unless the policy enables learning.
  speed_table speeds;
  /// Demand of this node's callers.
  demand_window own_demand;
  /// Demand of other nodes' callers.
  demand_table demand;
  retry_budget retries;
  /// Admits requests that wait for a group.
  request_admission admission;
  /// The last number given to a request by admission.
  uint64_t admission_number = 0;
  /// Traits of requests during which servers crashed.
  crash_tracker crashes;
  /// Requests with a suspected trait, which run one at a time.
  trial_queue trials;
  /// Number of requests that were added to it.
  uint64_t trial_number = 0;
  /// Grants for servers that are cold or advertise a rate limit.
  grant_client cold;
  /// Request rate limits that servers advertise.
  server_limits limits;
  /// This node's share of these limits, which needs no grant.
  limit_share limit_shares;
  /// Backoffs that servers have asked this node for.
  server_backoffs backoffs;
  /// Number of nodes known to be alive, including this one.
  int live_nodes = 1;
  /// Upper bound on the number of nodes, including unreachable ones.
  peak_fleet_size fleet;
  /// Whether this node or a peer has received requests.
  bool requests_seen = false;
  /// Interval at which this hall receives the load of remote halls.
  absl::Duration remote_update_period = absl::ZeroDuration();

  /// Endpoints that are excluded after a failure, and until when.
  std::map<std::string, absl::Time> avoided_until;
  /// Servers that did not answer this node's requests, with the time at which
  /// that was noticed.
  std::map<std::string, absl::Time> suspected_servers;
  /// Servers that the lease holder, which may be this node, finds unresponsive.
  std::set<std::string> unresponsive_servers;
  /// The last state received from a lease holder, and when.
  std::optional<holder_state> last_holder_state;
  absl::Time holder_heard_at = absl::InfinitePast();
  /// Recent worst delay of the event loop. Peers may seem unresponsive only
  /// because this node was late to read their messages.
  absl::Duration loop_delay = absl::ZeroDuration();

  /// Running exchanges and sessions; each registers and removes itself.
  std::unordered_set<exchange*> exchanges;
  std::unordered_set<caller_session*> sessions;

  /// When the stop was requested; infinite future if it was not.
  absl::Time stopping_since = absl::InfiniteFuture();

  /// Current time on the clock that all parts use.
  absl::Time now() const;
  /// Suspends the calling coroutine.
  boost::asio::awaitable<void> sleep(absl::Duration time);
  /// Sends one request to a backend server and reads the complete response.
  /// `timeout` covers the whole call.
  boost::asio::awaitable<fetch_result> call_server(std::string address,
                                                   http_request request,
                                                   absl::Duration timeout);
  /// Records how late the loop ran a tick.
  void record_loop_delay(absl::Duration delay);
  /// Whether a connection may serve another request after the current one. A
  /// node that serves more than it can closes connections, so that callers open
  /// new ones elsewhere.
  bool keeps_connections() const {
    return !this->stopping() &&
           this->requests_in_progress <= this->intake.limit();
  }
  /// Whether the process was asked to stop.
  bool stopping() const {
    return this->stopping_since != absl::InfiniteFuture();
  }
  /// Until when attempts may last, so that their callers get an answer before
  /// a stopping process exits; infinite unless it is stopping.
  absl::Time serves_until() const {
    return this->stopping_since + this->settings.stop_grace -
           node_timing::exit_margin - node_timing::last_answer_time;
  }
  /// Whether the node no longer accepts requests because it is stopping. Half
  /// of a short grace is left to the requests that were accepted.
  bool closing() const {
    if (!this->stopping()) return false;
    const absl::Duration accepts =
        std::min(node_timing::stop_accept_time,
                 (this->serves_until() - this->stopping_since) / 2);
    return this->now() - this->stopping_since >= accepts;
  }
  /// Time since the configuration was last verified as current.
  absl::Duration config_age() const;
  /// Ages of the configuration, the servers and the evacuations.
  snapshot_age age() const;
  /// Whether the configuration was verified as current recently enough.
  bool config_fresh() const;
  /// Whether requests with a known key may be served. Where keys need not fail
  /// closed, known keys are served even while the store is unavailable.
  bool keys_trusted() const;
  /// Whether the evacuated halls are known, if evacuations are followed. Until
  /// then nothing is sent to any server.
  bool evacuations_known() const;
  /// Whether a data hall's servers must not get requests.
  bool hall_closed(const std::string& hall) const;
  /// Whether all servers of a service are in closed data halls.
  bool service_closed(const std::string& service) const;
  /// Number of nodes among which the servers' capacity is divided. Counts only
  /// live nodes until the total is known, so that callers are served meanwhile.
  int capacity_sharing_nodes();
  /// Whether the node accepts new connections.
  bool ready() const;

  /// Excludes an endpoint for a while.
  void avoid_endpoint(const std::string& endpoint);
  bool avoided(const std::string& endpoint) const;
  /// Records that a server is about to end. Returns whether this was not yet
  /// known.
  bool mark_leaving(const server_instance& server);
  /// Why a server must not get a request that was about to be sent to it; null
  /// if it may.
  const char* reason_to_withhold(const server_instance& server) const;
  /// Records that a server did not answer.
  void suspect_server(const std::string& server);
  /// Forgets what was concluded about servers since any was last heard: this
  /// node's own links had failed.
  void forget_recent_blame();
  /// Records what a response says about the server's own state: that it asks
  /// this node to back off, or that it is leaving.
  void note_server_state(const server_instance& server,
                         const answer_head& head);
  /// Number of sockets in use or reserved.
  size_t used_sockets() const;
  /// Whether a connection of another node to a server can be carried.
  bool has_socket_for_tunnel() const;

  /// A service's groups, derived from the servers' own entries.
  const std::vector<group_view>& groups(const std::string& service);
  /// Must be called when the directory or the configuration has changed.
  void invalidate_group_cache() { this->group_cache.clear(); }

 private:
  /// Groups by service; cleared when the directory or configuration changes.
  std::map<std::string, std::vector<group_view>> group_cache;
};

}  // namespace spokesail
