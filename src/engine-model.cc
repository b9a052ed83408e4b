// Predictions from an engine's figures, and the choice based on them.
#include "spokesail/engine-model.h"

#include <algorithm>
#include <limits>

namespace spokesail {
namespace {

/// Mean context of a running request, as a fraction of its prompt plus answer.
constexpr double mean_context_fraction = 0.75;

/// Predictions that differ by less than this, in ms, count as equal: the known
/// load of the other entry hosts lags.
constexpr double tie_margin_ms = 10;

/// Passes until a first event, in addition to the prefill of the prompt: half
/// of the pass running when the request arrives, and the one that writes the
/// event.
constexpr double passes_to_first_event = 1.5;

/// Weight of the time between events against the time to the first one, for
/// each event of the answer.
constexpr double gap_weight = 0.1;

/// Mean size of a service's requests, before any were seen.
request_size mean_request_size(const engine_profile& engine) {
  return {engine.mean_prompt_tokens, engine.mean_answer_tokens};
}

}  // namespace

double step_ms(const engine_profile& engine, double requests,
               const request_size& mean) {
  const double context =
      requests * mean_context_fraction * (mean.prompt + mean.answer) / 1000;
  return engine.step_ms + engine.step_ms_per_request * requests +
         engine.step_ms_per_1k_context * context;
}

double predict_first_event_ms(const engine_profile& engine,
                              const model_profile& model,
                              const group_option& option, double prompt) {
  const double prefill_ms =
      (option.pending_prefill_tokens + prompt) / engine.prefill_tokens_per_ms;
  const double steps =
      engine.decode_steps_per_pass *
      step_ms(engine, option.running + 1.0, mean_request_size(engine));
  return model.pace * option.slowness *
         (prefill_ms + passes_to_first_event * steps);
}

double predict_event_gap_ms(const engine_profile& engine,
                            const model_profile& model,
                            const group_option& option, int more) {
  return model.pace * option.slowness * engine.decode_steps_per_pass *
         step_ms(engine, option.running + more, mean_request_size(engine));
}

std::optional<size_t> choose_group(const engine_profile& engine,
                                   const model_profile& model,
                                   const std::vector<group_option>& options,
                                   const request_size& size,
                                   random_stream& random) {
  std::vector<double> costs;
  double min_cost = std::numeric_limits<double>::infinity();
  for (const auto& option : options) {
    double cost = std::numeric_limits<double>::infinity();
    if (option.running < engine.slots) {
      // The other requests there wait during the prefill of the prompt.
      const double events =
          size.answer / std::max(1, engine.decode_steps_per_pass);
      cost =
          option.remote_penalty_ms +
          predict_first_event_ms(engine, model, option, size.prompt) +
          gap_weight * events * predict_event_gap_ms(engine, model, option, 1);
    }
    costs.push_back(cost);
    min_cost = std::min(min_cost, cost);
  }
  if (min_cost == std::numeric_limits<double>::infinity()) return std::nullopt;
  std::vector<size_t> candidates;
  for (size_t i = 0; i < costs.size(); ++i) {
    if (costs[i] <= min_cost + tie_margin_ms) candidates.push_back(i);
  }
  return candidates[random.below(candidates.size())];
}

}  // namespace spokesail
