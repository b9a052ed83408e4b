// The demand for a model, and its share of the hosts.
#pragma once

#include <string>

namespace spokesail {

/// Requests for one model over a recent window, all as rates per second.
struct model_demand {
  std::string service;
  std::string model;
  double requests = 0;
  /// Tokens of the prompts, and expected tokens of the answers.
  double prompt_tokens = 0;
  double answer_tokens = 0;
  /// Requests that were refused for lack of capacity.
  double refused = 0;
  bool operator==(const model_demand&) const = default;
};

/// A model's share of its service's hosts where it differs from the configured
/// one.
struct model_share {
  std::string service;
  std::string model;
  double share = 0;
  bool operator==(const model_share&) const = default;
};

}  // namespace spokesail
