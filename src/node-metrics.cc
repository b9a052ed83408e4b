// Names and descriptions of a node's metrics.
#include "node-metrics.h"

#include <prometheus/text_serializer.h>

namespace spokesail {
namespace {

/// Bounds of the latency buckets in seconds, from one engine step to the
/// longest time that callers wait.
const prometheus::Histogram::BucketBoundaries latency_bounds = {
    0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 2, 4, 8};

prometheus::Family<prometheus::Counter>& counter(prometheus::Registry& r,
                                                 const char* name,
                                                 const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(r);
}

prometheus::Histogram& histogram(prometheus::Registry& r, const char* name,
                                 const char* help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(r).Add(
      {}, latency_bounds);
}

}  // namespace

node_metrics::node_metrics()
    : connections(counter(registry, "spokesail_connections_total",
                          "callers' connections, accepted or left unread")),
      connection_pauses(counter(registry, "spokesail_connection_pauses_total",
                                "pauses in accepting callers' connections")),
      requests(counter(registry, "spokesail_requests_total",
                       "requests by outcome and reason")),
      refusals(counter(registry, "spokesail_refusals_total",
                       "requests refused for lack of capacity")),
      attempts(counter(registry, "spokesail_attempts_total",
                       "attempts at backend servers by result")),
      given_up(counter(registry, "spokesail_attempts_given_up_total",
                       "attempts aborted by this node by cause and by what "
                       "followed")),
      kept(counter(registry, "spokesail_attempts_kept_total",
                   "attempts kept in doubt by cause and reason")),
      responses(counter(registry, "spokesail_responses_total",
                        "responses of backend servers by framing and end")),
      retries(counter(registry, "spokesail_repeats_total",
                      "retried requests, and retries refused by the budget")),
      store_calls(counter(registry, "spokesail_store_calls_total",
                          "calls to the platform's store")),
      orders(counter(registry, "spokesail_orders_total",
                     "orders to servers by kind and result")),
      server_connections(counter(registry, "spokesail_server_connections_total",
                                 "connections to servers by path or result")),
      tunnels(counter(registry, "spokesail_tunnels_total",
                      "tunnels that other nodes asked for, by result")),
      peer_bytes(counter(registry, "spokesail_peer_bytes_total",
                         "bytes exchanged with other nodes")),
      update_events(counter(registry, "spokesail_news_total",
                            "missed changes of servers, by event")),
      unusable_entries(counter(registry, "spokesail_entries_unusable_total",
                               "objects of the store that cannot be used, "
                               "by kind and reason")),
      cold_requests(counter(registry, "spokesail_cold_requests_total",
                            "requests to cold servers, by event")),
      trials(counter(registry, "spokesail_trials_total",
                     "requests with a suspected trait, by event")),
      limited_requests(
          counter(registry, "spokesail_limited_requests_total",
                  "requests to servers with a rate limit, by event")),
      events(counter(registry, "spokesail_events_total",
                     "stream events such as resumes and stalls")),
      state(prometheus::BuildGauge()
                .Name("spokesail_state")
                .Help("current values of the node's state, by name")
                .Register(registry)),
      model_groups(prometheus::BuildGauge()
                       .Name("spokesail_model_groups")
                       .Help("groups by model and kind, set by lease holder")
                       .Register(registry)),
      resumed(events.Add({{"event", "resumed"}})),
      stalled(events.Add({{"event", "stalled"}})),
      first_event(histogram(registry, "spokesail_first_event_seconds",
                            "time from a request to its first event")),
      pause(histogram(registry, "spokesail_pause_seconds",
                      "longest pause between events of a stream")),
      request_time(histogram(registry, "spokesail_request_seconds",
                             "time from a request to the end of its answer")),
      queue_time(histogram(registry, "spokesail_queue_seconds",
                           "time from a request to its first attempt")) {}

void node_metrics::count_connection(const std::string& result) {
  this->connections.Add({{"result", result}}).Increment();
}

void node_metrics::count_connection_pause(const std::string& reason) {
  this->connection_pauses.Add({{"reason", reason}}).Increment();
}

void node_metrics::count_request(const std::string& outcome,
                                 const std::string& reason) {
  this->requests.Add({{"outcome", outcome}, {"reason", reason}}).Increment();
}

void node_metrics::count_refusal(const std::string& reason,
                                 const std::string& workspace) {
  this->refusals.Add({{"reason", reason}, {"workspace", workspace}})
      .Increment();
}

void node_metrics::count_attempt(const std::string& end) {
  this->attempts.Add({{"end", end}}).Increment();
}

void node_metrics::count_retry(const std::string& service,
                               const std::string& event) {
  this->retries.Add({{"service", service}, {"event", event}}).Increment();
}

void node_metrics::count_given_up(const std::string& cause,
                                  const std::string& next) {
  this->given_up.Add({{"cause", cause}, {"next", next}}).Increment();
}

void node_metrics::count_kept(const std::string& cause,
                              const std::string& reason) {
  this->kept.Add({{"cause", cause}, {"reason", reason}}).Increment();
}

void node_metrics::count_response(const std::string& framing,
                                  const std::string& end) {
  this->responses.Add({{"framing", framing}, {"end", end}}).Increment();
}

void node_metrics::count_resume() { this->resumed.Increment(); }

void node_metrics::count_store_call(const std::string& verb,
                                    const std::string& result) {
  this->store_calls.Add({{"verb", verb}, {"result", result}}).Increment();
  this->call_totals[verb]++;
}

void node_metrics::count_order(const std::string& kind,
                               const std::string& result) {
  this->orders.Add({{"kind", kind}, {"result", result}}).Increment();
}

void node_metrics::count_stall() { this->stalled.Increment(); }

void node_metrics::count_server_connection(const std::string& result) {
  this->server_connections.Add({{"result", result}}).Increment();
}

void node_metrics::count_tunnel(const std::string& result) {
  this->tunnels.Add({{"result", result}}).Increment();
}

void node_metrics::count_peer_bytes(const char* direction, double bytes) {
  this->peer_bytes.Add({{"direction", direction}}).Increment(bytes);
}

void node_metrics::count_trial(const std::string& event) {
  this->trials.Add({{"event", event}}).Increment();
}

void node_metrics::count_cold(const std::string& event, int requests) {
  if (requests <= 0) return;
  this->cold_requests.Add({{"event", event}}).Increment(requests);
}

void node_metrics::count_limited(const std::string& event) {
  this->limited_requests.Add({{"event", event}}).Increment();
}

void node_metrics::count_unusable_entry(const std::string& kind,
                                        const std::string& why) {
  this->unusable_entries.Add({{"kind", kind}, {"why", why}}).Increment();
}

void node_metrics::count_update_event(const std::string& event) {
  this->update_events.Add({{"event", event}}).Increment();
}

void node_metrics::observe_first_event(double seconds) {
  this->first_event.Observe(seconds);
}

void node_metrics::observe_pause(double seconds) {
  this->pause.Observe(seconds);
}

void node_metrics::observe_request(double seconds) {
  this->request_time.Observe(seconds);
}

void node_metrics::observe_queue(double seconds) {
  this->queue_time.Observe(seconds);
}

void node_metrics::set_gauge(const std::string& name, double value) {
  this->state.Add({{"name", name}}).Set(value);
}

void node_metrics::set_model_groups(const std::string& model,
                                    const std::string& kind, double count) {
  auto& gauge = this->model_groups.Add({{"model", model}, {"kind", kind}});
  gauge.Set(count);
  this->model_gauges.insert(&gauge);
}

void node_metrics::forget_model_groups() {
  for (auto* gauge : this->model_gauges) this->model_groups.Remove(gauge);
  this->model_gauges.clear();
}

std::string node_metrics::text() const {
  return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

}  // namespace spokesail
