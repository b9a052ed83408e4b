// Counts what callers asked a node for in the last seconds.
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
  /// Whole seconds that are averaged: requests of one second are too few to
  /// tell models apart at a small node.
  static constexpr int window_s = 3;
  /// Models that are counted at most.
  static constexpr size_t max_models = 64;

  /// Takes a request as arrived. A model beyond the bound is left out, and
  /// the answer is then false.
  bool count_arrival(const std::string& service, const std::string& model,
                     const request_size& size, absl::Time now);

  /// Takes a request that arrived as refused for want of room.
  void count_refusal(const std::string& service, const std::string& model,
                     absl::Time now);

  /// Rates over the last whole seconds, of each model ever asked for.
  std::vector<model_demand> rates(absl::Time now) const;

 private:
  /// What came in one second.
  struct second_count {
    int64_t second = 0;
    double requests = 0;
    double prompt_tokens = 0;
    double answer_tokens = 0;
    double refused = 0;
  };
  using seconds = std::array<second_count, window_s + 1>;
  using model_key = std::pair<std::string, std::string>;

  /// The count of the second that runs.
  static second_count& current(seconds& counts, absl::Time now);

  std::map<model_key, seconds> models;
};

}  // namespace spokesail
