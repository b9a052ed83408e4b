// Predicts an engine's answer times and chooses the group for a request.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "spokesail/hash.h"
#include "spokesail/routing-config.h"

namespace spokesail {

/// A serving group as a candidate for a request.
struct group_option {
  std::string name;
  /// Requests in flight there, over all entry hosts.
  int running = 0;
  /// Prompt tokens of the requests there whose first event has not come.
  double pending_prefill_tokens = 0;
  /// Above 1 if the group is slower than its engine's figures.
  double slowness = 1;
  /// Added cost of sending a request there, in ms.
  double remote_penalty_ms = 0;
  bool operator==(const group_option&) const = default;
};

/// The size of a request, in tokens.
struct request_size {
  double prompt = 0;
  double answer = 0;
  bool operator==(const request_size&) const = default;
};

/// Time of one step of a group that runs this many requests of this mean size,
/// in ms, before the model's factor is applied.
double step_ms(const engine_profile& engine, double requests,
               const request_size& mean);

/// Time until the first event of a request that joins `option`, in ms.
double predict_first_event_ms(const engine_profile& engine,
                              const model_profile& model,
                              const group_option& option, double prompt);

/// Time between two events of the requests in `option` once `more` have joined,
/// in ms, without the prefill of further prompts.
double predict_event_gap_ms(const engine_profile& engine,
                            const model_profile& model,
                            const group_option& option, int more);

/// The option with the least predicted cost: the time to answer plus the delay
/// for the requests running there. Nothing if all options are full. Options
/// with nearly equal cost are drawn from at random, so that entry hosts with
/// the same view do not all choose the same one.
std::optional<size_t> choose_group(const engine_profile& engine,
                                   const model_profile& model,
                                   const std::vector<group_option>& options,
                                   const request_size& size,
                                   random_stream& random);

}  // namespace spokesail
