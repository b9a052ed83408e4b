// Metrics of a node in the Prometheus text format.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

#include "spokesail/effect.h"

namespace spokesail {

/// All counters, gauges and histograms of one node. Thread-safe.
class metrics {
 public:
  metrics();

  void count_platform_call(const std::string& verb);
  void count_control_bytes(const char* direction, size_t bytes);
  void count_event();
  void count_outcome(const std::string& kind, const std::string& code);
  void count_attempt(const std::string& end);
  void observe_first_token(double seconds);
  void count_tokens(size_t n);
  void set(const gauges_effect& gauges);

  /// All metrics in the text format.
  std::string text() const;

 private:
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& platform_calls;
  prometheus::Family<prometheus::Counter>& control_bytes;
  prometheus::Family<prometheus::Counter>& outcomes;
  prometheus::Family<prometheus::Counter>& attempts;
  prometheus::Counter& events;
  prometheus::Counter& tokens;
  prometheus::Histogram& first_token;
  prometheus::Family<prometheus::Gauge>& state;
};

}  // namespace spokesail
