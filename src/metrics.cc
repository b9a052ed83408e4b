#include "metrics.h"

#include <prometheus/text_serializer.h>

namespace spokesail {
namespace {

prometheus::Family<prometheus::Counter>& make_counters(
    prometheus::Registry& registry, const std::string& name,
    const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

const prometheus::Histogram::BucketBoundaries first_token_buckets = {
    0.01, 0.02, 0.05, 0.1, 0.2, 0.33, 0.5, 1, 2, 5, 10, 30};

}  // namespace

metrics::metrics()
    : platform_calls(make_counters(this->registry,
                                   "spokesail_platform_calls_total",
                                   "Calls to the platform, by verb")),
      control_bytes(make_counters(this->registry,
                                  "spokesail_control_bytes_total",
                                  "Bytes between entry hosts, by direction")),
      outcomes(make_counters(this->registry, "spokesail_requests_total",
                             "Ended requests, by outcome and code")),
      attempts(make_counters(this->registry, "spokesail_attempts_total",
                             "Ended attempts, by result")),
      events(make_counters(this->registry, "spokesail_events_total",
                           "Events processed by the reducer")
                 .Add({})),
      tokens(make_counters(this->registry, "spokesail_tokens_total",
                           "Tokens sent to callers")
                 .Add({})),
      first_token(prometheus::BuildHistogram()
                      .Name("spokesail_first_token_seconds")
                      .Help("Time from a request's arrival to its first token")
                      .Register(this->registry)
                      .Add({}, first_token_buckets)),
      state(prometheus::BuildGauge()
                .Name("spokesail_state")
                .Help("Gauges of the node's state, by name")
                .Register(this->registry)) {}

void metrics::count_platform_call(const std::string& verb) {
  this->platform_calls.Add({{"verb", verb}}).Increment();
}

void metrics::count_control_bytes(const char* direction, size_t bytes) {
  this->control_bytes.Add({{"direction", direction}})
      .Increment(static_cast<double>(bytes));
}

void metrics::count_event() { this->events.Increment(); }

void metrics::count_outcome(const std::string& kind, const std::string& code) {
  this->outcomes.Add({{"outcome", kind}, {"code", code}}).Increment();
}

void metrics::count_attempt(const std::string& end) {
  this->attempts.Add({{"end", end}}).Increment();
}

void metrics::observe_first_token(double seconds) {
  this->first_token.Observe(seconds);
}

void metrics::count_tokens(size_t n) {
  this->tokens.Increment(static_cast<double>(n));
}

void metrics::set(const gauges_effect& g) {
  const auto put = [this](const char* name, double value) {
    this->state.Add({{"name", name}}).Set(value);
  };
  put("ready", g.ready ? 1 : 0);
  put("revision", static_cast<double>(g.revision));
  put("open_groups", g.open_groups);
  put("stranded_accelerators", g.stranded_accelerators);
  put("members", g.members);
  put("queued", g.queued);
  put("leads", g.leads ? 1 : 0);
}

std::string metrics::text() const {
  return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

}  // namespace spokesail
