// A node's counters and histograms, in Prometheus' text format.
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

  /// A request of a caller that has ended.
  void count_request(const std::string& outcome, const std::string& reason);
  /// A request that was refused because room is short.
  void count_refusal(const std::string& reason, const std::string& workspace);
  /// A sending to a server that has ended.
  void count_attempt(const std::string& end);
  /// A request that was sent again, or that its service's budget refused.
  void count_retry(const std::string& service, const std::string& event);
  /// A stream that another server goes on with.
  void count_resume();
  void count_store_call(const std::string& verb, const std::string& result);
  void count_order(const std::string& kind, const std::string& result);
  /// A group that was given up because it stands still.
  void count_stall();
  void count_peer_bytes(const char* direction, double bytes);
  /// An entry that names no server to use.
  void count_unusable_entry(const std::string& why);
  /// Something that kept changes of servers from a node, or brought them again.
  void count_update_event(const std::string& event);
  /// An event of a request to a server with a rate limit.
  void count_limited(const std::string& event);
  /// Requests to cold servers that were asked for, granted, used or lost.
  void count_cold(const std::string& event, int requests);
  /// Times of one request, in seconds.
  void observe_first_event(double seconds);
  void observe_pause(double seconds);
  void observe_request(double seconds);
  void observe_queue(double seconds);
  /// Sets how many groups of a model there are; `kind` is "wanted", "standing"
  /// or "serving". Only the holder of the lease knows.
  void set_model_groups(const std::string& model, const std::string& kind,
                        double count);
  void forget_model_groups();
  /// Sets one value of what the node knows and holds.
  void set_gauge(const std::string& name, double value);

  /// Calls to the store since the start, by verb.
  const std::map<std::string, int64_t>& store_calls_by_verb() const {
    return this->call_totals;
  }

  /// All metrics as text.
  std::string text() const;

 private:
  prometheus::Registry registry;
  /// Calls to the store by verb.
  std::map<std::string, int64_t> call_totals;
  prometheus::Family<prometheus::Counter>& requests;
  prometheus::Family<prometheus::Counter>& refusals;
  prometheus::Family<prometheus::Counter>& attempts;
  prometheus::Family<prometheus::Counter>& retries;
  prometheus::Family<prometheus::Counter>& store_calls;
  prometheus::Family<prometheus::Counter>& orders;
  prometheus::Family<prometheus::Counter>& peer_bytes;
  prometheus::Family<prometheus::Counter>& update_events;
  prometheus::Family<prometheus::Counter>& unusable_entries;
  prometheus::Family<prometheus::Counter>& cold_requests;
  prometheus::Family<prometheus::Counter>& limited_requests;
  prometheus::Family<prometheus::Counter>& events;
  prometheus::Family<prometheus::Gauge>& state;
  prometheus::Family<prometheus::Gauge>& model_groups;
  /// Those that are set.
  std::set<prometheus::Gauge*> model_gauges;
  prometheus::Counter& resumed;
  prometheus::Counter& stalled;
  prometheus::Histogram& first_event;
  prometheus::Histogram& pause;
  prometheus::Histogram& request_time;
  prometheus::Histogram& queue_time;
};

}  // namespace spokesail
