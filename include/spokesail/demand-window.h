// Counts the requests that a node received in the last seconds.
#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "spokesail/engine-model.h"
#include "spokesail/model-demand.h"

namespace spokesail {

/// Requests by model over the last whole seconds.
class demand_window {
 public:
  /// Number of whole seconds that are averaged: a small node receives too few
  /// requests in one second to distinguish the demand for its models.
  static constexpr int window_s = 3;
  /// Upper bound of the number of models that are counted.
  static constexpr size_t max_models = 64;

  /// Counts a request that arrived. Returns false if the model is beyond the
  /// bound and not counted.
  bool count_arrival(const std::string& service, const std::string& model,
                     const request_size& size, absl::Time now);

  /// Counts an arrived request as refused for lack of capacity.
  void count_refusal(const std::string& service, const std::string& model,
                     absl::Time now);

  /// Rates over the last whole seconds of each model that was ever requested. A
  /// model without requests is included with zero rates.
  std::vector<model_demand> rates(absl::Time now) const;

 private:
  /// Counts of one second.
  struct second_count {
    int64_t second = 0;
    double requests = 0;
    double prompt_tokens = 0;
    double answer_tokens = 0;
    double refused = 0;
  };
  using seconds = std::array<second_count, window_s + 1>;
  using model_key = std::pair<std::string, std::string>;

  /// The count of the current second.
  static second_count& current(seconds& counts, absl::Time now);

  std::map<model_key, seconds> models;
};

}  // namespace spokesail
