// Predicts an engine's answer times and chooses the group for a request.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "spokesail/hash.h"
#include "spokesail/routing-config.h"

namespace spokesail {

/// A serving group as a request may find it.
struct group_option {
  std::string name;
  /// Requests in it, over all entry hosts.
  int running = 0;
  /// Prompt tokens that are sent and not yet answered with a first event.
  double pending_prefill_tokens = 0;
  /// Above 1 if the group is slower than its engine's figures.
  double slowness = 1;
  /// What sending a request there counts as beside its time, in ms.
  double remote_penalty_ms = 0;
  bool operator==(const group_option&) const = default;
};

/// What a request asks of an engine, in tokens.
struct request_size {
  double prompt = 0;
  double answer = 0;
  bool operator==(const request_size&) const = default;
};

/// Time of one step of a group that runs so many requests of this mean size, in
/// ms, before the model's pace.
double step_ms(const engine_profile& engine, double requests,
               const request_size& mean);

/// Time until the first event of a request that joins `option`, in ms.
double predict_first_event_ms(const engine_profile& engine,
                              const model_profile& model,
                              const group_option& option, double prompt);

/// Time between two events of the requests in `option` once `more` have
/// joined, in ms, without the reading of further prompts.
double predict_event_gap_ms(const engine_profile& engine,
                            const model_profile& model,
                            const group_option& option, int more);

/// The option whose answer, and whose disturbance of those that run there, is
/// predicted to be least; nothing if each holds as many as it runs at once.
/// Options that are about alike are drawn from, so that entry hosts that see
/// the same do not all choose the same.
std::optional<size_t> choose_group(const engine_profile& engine,
                                   const model_profile& model,
                                   const std::vector<group_option>& options,
                                   const request_size& size,
                                   random_stream& random);

}  // namespace spokesail
