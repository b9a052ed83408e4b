// A node's metrics in the Prometheus text format.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace spokesail {

/// All metrics of one node. Histograms are in seconds.
class node_metrics {
 public:
  node_metrics();

  /// Counts a caller's connection: "accepted", or "left unread" if a kept one
  /// was closed with a request unread.
  void count_connection(const std::string& result);
  /// Counts a pause in accepting connections.
  void count_connection_pause(const std::string& reason);
  /// Counts a finished request of a caller.
  void count_request(const std::string& outcome, const std::string& reason);
  /// Counts a request that was refused for lack of capacity.
  void count_refusal(const std::string& reason, const std::string& workspace);
  /// Counts a finished attempt at a server.
  void count_attempt(const std::string& end);
  /// Counts an attempt that this node aborted, by the cause and by what
  /// followed: "retried", or why the request was not sent again.
  void count_given_up(const std::string& cause, const std::string& next);
  /// Counts an attempt that was kept although it was in doubt, by the cause of
  /// the doubt and the reason.
  void count_kept(const std::string& cause, const std::string& reason);
  /// Counts a response by its body's framing and end.
  void count_response(const std::string& framing, const std::string& end);
  /// Counts a retry, or a retry that the service's budget refused.
  void count_retry(const std::string& service, const std::string& event);
  /// Counts a stream that was resumed at another server.
  void count_resume();
  void count_store_call(const std::string& verb, const std::string& result);
  void count_order(const std::string& kind, const std::string& result);
  /// Counts a group that was abandoned because its streams stalled.
  void count_stall();
  /// Counts a connection to a server: "direct", "proxied", "server_failed" or
  /// "no_path".
  void count_server_connection(const std::string& result);
  /// Counts a request of another node for a tunnel: "open", "refused" or
  /// "not_connected".
  void count_tunnel(const std::string& result);
  void count_peer_bytes(const char* direction, double bytes);
  /// Counts an object of the store that cannot be used.
  void count_unusable_entry(const std::string& kind, const std::string& why);
  /// Counts an event that made the node miss changes of servers or recover
  /// missed ones.
  void count_update_event(const std::string& event);
  /// Counts an event of a request to a server with a rate limit.
  void count_limited(const std::string& event);
  /// Counts requests to cold servers for which a grant was requested, granted,
  /// used or lost.
  void count_cold(const std::string& event, int requests);
  /// Counts a request with a suspected trait that has begun or ended its trial,
  /// or was refused.
  void count_trial(const std::string& event);
  /// Record times of one request, in seconds.
  void observe_first_event(double seconds);
  void observe_pause(double seconds);
  void observe_request(double seconds);
  void observe_queue(double seconds);
  /// Sets the number of groups of a model; `kind` is "wanted", "standing" or
  /// "serving". Only the lease holder has these numbers.
  void set_model_groups(const std::string& model, const std::string& kind,
                        double count);
  void forget_model_groups();
  /// Sets one named value of the node's state.
  void set_gauge(const std::string& name, double value);

  /// Number of calls to the store since the start, by verb.
  const std::map<std::string, int64_t>& store_calls_by_verb() const {
    return this->call_totals;
  }

  /// All metrics as text.
  std::string text() const;

 private:
  prometheus::Registry registry;
  /// Number of calls to the store by verb.
  std::map<std::string, int64_t> call_totals;
  prometheus::Family<prometheus::Counter>& connections;
  prometheus::Family<prometheus::Counter>& connection_pauses;
  prometheus::Family<prometheus::Counter>& requests;
  prometheus::Family<prometheus::Counter>& refusals;
  prometheus::Family<prometheus::Counter>& attempts;
  prometheus::Family<prometheus::Counter>& given_up;
  prometheus::Family<prometheus::Counter>& kept;
  prometheus::Family<prometheus::Counter>& responses;
  prometheus::Family<prometheus::Counter>& retries;
  prometheus::Family<prometheus::Counter>& store_calls;
  prometheus::Family<prometheus::Counter>& orders;
  prometheus::Family<prometheus::Counter>& server_connections;
  prometheus::Family<prometheus::Counter>& tunnels;
  prometheus::Family<prometheus::Counter>& peer_bytes;
  prometheus::Family<prometheus::Counter>& update_events;
  prometheus::Family<prometheus::Counter>& unusable_entries;
  prometheus::Family<prometheus::Counter>& cold_requests;
  prometheus::Family<prometheus::Counter>& trials;
  prometheus::Family<prometheus::Counter>& limited_requests;
  prometheus::Family<prometheus::Counter>& events;
  prometheus::Family<prometheus::Gauge>& state;
  prometheus::Family<prometheus::Gauge>& model_groups;
  /// Gauges of `model_groups` that are set.
  std::set<prometheus::Gauge*> model_gauges;
  prometheus::Counter& resumed;
  prometheus::Counter& stalled;
  prometheus::Histogram& first_event;
  prometheus::Histogram& pause;
  prometheus::Histogram& request_time;
  prometheus::Histogram& queue_time;
};

}  // namespace spokesail
