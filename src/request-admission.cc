// Admission decisions, based on the predicted times of the groups that a
// request may use.
#include "spokesail/request-admission.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace spokesail {
namespace {

constexpr double infinite = std::numeric_limits<double>::infinity();

/// Lowest rank of requests; 0 is the highest.
constexpr int lowest_rank = 9;

/// Time constant of the exponentially weighted event rates.
constexpr absl::Duration rate_time_constant = absl::Seconds(1);

/// Every so many turns, one goes to the kind and workspace that has waited
/// longest, so that low ranks do not starve.
constexpr int starvation_guard_interval = 5;

/// Value of a late answer relative to one in time.
constexpr double late_value = 0.25;

/// Half-width of the distribution of first events around their prediction,
/// relative to the mean goal.
constexpr double first_event_spread = 0.2;

/// Weight of one request in the moving average of the goal.
constexpr double goal_weight = 0.125;

/// Largest retry delay, as a fraction of the caller's remaining time. Callers
/// do not wait for longer delays.
constexpr double max_retry_delay_fraction = 1.0 / 3;

/// Tolerance for callers that return earlier than they were told to.
constexpr absl::Duration early_return_tolerance = absl::Milliseconds(20);

/// Maximum number of refused callers that are remembered.
constexpr size_t max_retry_times = 1024;

/// Free slots are ample if they exceed by this factor what other nodes may have
/// taken since the load was reported.
constexpr double ample_slot_factor = 4;

/// Fraction of the known free slots that all nodes together may take until they
/// learn of each other's requests. The rest covers slots taken just before,
/// which are not known either.
constexpr double unseen_slot_fraction = 0.5;

/// Minimum fraction of a group's prefill capacity that is assumed to be left
/// for the prompts in its queue.
constexpr double min_spare_fraction = 0.05;

double millis(absl::Duration time) { return absl::ToDoubleMilliseconds(time); }

/// Prefill time of a prompt at one group, in ms.
double prefill_ms(const admission_view& view, double prompt) {
  return view.model.pace * prompt / view.engine.prefill_tokens_per_ms;
}

/// Time that a request occupies a slot beside this many others, in ms.
double service_ms(const admission_view& view, const request_size& size,
                  int running) {
  group_option full;
  full.running = running;
  const double events =
      size.answer / std::max(1, view.engine.decode_steps_per_pass);
  return predict_first_event_ms(view.engine, view.model, full, size.prompt) +
         events * predict_event_gap_ms(view.engine, view.model, full, 0);
}

/// The option after one more request has joined it.
group_option with_request(group_option option, double prompt) {
  option.running++;
  option.pending_prefill_tokens += prompt;
  return option;
}

/// Number of requests that can join `option` one after the other and have their
/// first event within `left_ms`.
double slots_in_time(const admission_view& view, const group_option& option,
                     double prompt, double left_ms) {
  const int free_slots = view.engine.slots - option.running;
  if (free_slots <= 0) return 0;
  const double first_ms =
      predict_first_event_ms(view.engine, view.model, option, prompt);
  if (first_ms > left_ms) return 0;
  const double second_ms = predict_first_event_ms(
      view.engine, view.model, with_request(option, prompt), prompt);
  const double added_ms = std::max(second_ms - first_ms, 1e-3);
  return std::min<double>(free_slots,
                          1 + std::floor((left_ms - first_ms) / added_ms));
}

}  // namespace

/// Probability that a first event predicted after `first_ms` comes within
/// `left_ms`.
static double probability_in_time(double first_ms, double left_ms,
                                  double mean_goal) {
  const double spread = first_event_spread * mean_goal;
  return std::clamp(0.5 + (left_ms - first_ms) / (2 * spread), 0.0, 1.0);
}

/// Expected number of requests that become late because this one joins
/// `option`: those that arrive until the group has caught up, each delayed by
/// this request's prompt.
static double requests_made_late(const admission_request& request,
                                 const admission_view& view,
                                 const group_option& option, double error_ms,
                                 double group_rate, double mean_goal) {
  const double mean_prompt = view.engine.mean_prompt_tokens;
  const group_option loaded = with_request(option, request.size.prompt);
  const double next_first_event_ms =
      error_ms +
      predict_first_event_ms(view.engine, view.model, loaded, mean_prompt);
  const double spread = first_event_spread * mean_goal;
  if (next_first_event_ms <= mean_goal - spread) return 0;
  const double utilization = group_rate * prefill_ms(view, mean_prompt);
  if (utilization >= 1 - min_spare_fraction) return infinite;
  const double affected = group_rate *
                          prefill_ms(view, loaded.pending_prefill_tokens) /
                          (1 - utilization);
  return affected * prefill_ms(view, request.size.prompt) / (2 * spread);
}

double engine_time_ms(const engine_profile& engine, const model_profile& model,
                      const request_size& size) {
  group_option full;
  full.running = engine.slots;
  const double events = size.answer / std::max(1, engine.decode_steps_per_pass);
  return model.pace * size.prompt / engine.prefill_tokens_per_ms +
         events * predict_event_gap_ms(engine, model, full, 0) /
             std::max(1, engine.slots);
}

/// The predicted chances of a request over all its options.
struct request_admission::forecast {
  /// Slots in which requests like this one are in time, by option and in total.
  std::vector<double> slots_by_option;
  double timely_slots = 0;
  /// Free slots of all options, in time or not.
  double free_slots = 0;
  /// Shortest predicted time, error included, over options with a free slot.
  double best_ms = infinite;
  /// Time until a slot of a full option becomes free.
  double slot_free_ms = infinite;
  /// Shortest time to the first event over full options, waiting included.
  double full_option_ms = infinite;
  double error_ms = 0;
  /// Time left until the request is late.
  double left_ms = 0;
  /// Requests per ms that all nodes send to one group.
  double group_rate = 0;
};

request_admission::pool_state::pool_state()
    : queue(queue_policy{true, starvation_guard_interval}) {}

void request_admission::event_rate::add(absl::Time now) {
  this->rate = this->at(now) + 1 / absl::ToDoubleSeconds(rate_time_constant);
  this->last = now;
}

double request_admission::event_rate::at(absl::Time now) const {
  if (this->last == absl::InfinitePast()) return 0;
  const double periods =
      absl::FDivDuration(now - this->last, rate_time_constant);
  return this->rate * std::exp(-std::max(periods, 0.0));
}

bool request_admission::enqueue(const admission_request& request,
                                absl::Time now) {
  pool_state& pool = this->pools[request.pool];
  const double goal = millis(request.due - request.arrived);
  pool.mean_goal +=
      (pool.mean_goal == 0 ? 1 : goal_weight) * (goal - pool.mean_goal);
  this->check_early_retry(request, now);
  if (this->bytes + request.bytes > this->limits.bytes) return false;
  queued_request entry;
  entry.id = request.id;
  entry.workspace = request.workspace;
  entry.priority = lowest_rank - request.rank;
  entry.cost = request.cost_ms;
  entry.deadline = request.deadline;
  entry.caller = request.caller;
  entry.kind = request.kind;
  if (!pool.queue.push(entry, this->limits.entries)) return false;
  pool.queued_bytes[request.id] = request.bytes;
  this->bytes += request.bytes;
  return true;
}

void request_admission::dequeue(const admission_request& request) {
  const auto pool = this->pools.find(request.pool);
  if (pool == this->pools.end()) return;
  const auto entry = pool->second.queued_bytes.find(request.id);
  if (entry == pool->second.queued_bytes.end()) return;
  pool->second.queue.remove(request.id);
  this->bytes -= entry->second;
  pool->second.queued_bytes.erase(entry);
}

void request_admission::check_early_retry(const admission_request& request,
                                          absl::Time now) {
  const auto retry_time = this->retry_times.find(request.caller);
  if (retry_time == this->retry_times.end()) return;
  // A caller that returns early is charged for it in its own turns.
  if (now + early_return_tolerance < retry_time->second) {
    this->pools[request.pool].queue.charge(request.workspace, request.caller,
                                           request.cost_ms);
    return;
  }
  this->retry_times.erase(retry_time);
}

void request_admission::store_retry_time(const admission_request& request,
                                         absl::Time at, absl::Time now) {
  this->retry_times[request.caller] = at;
  if (this->retry_times.size() <= max_retry_times) return;
  std::erase_if(this->retry_times,
                [&](const auto& item) { return item.second <= now; });
  if (this->retry_times.size() > max_retry_times) this->retry_times.clear();
}

request_admission::forecast request_admission::make_forecast(
    const admission_request& request, const admission_view& view,
    const pool_state& pool, absl::Time now) {
  forecast out;
  out.error_ms = pool.error.expected_ms(now);
  out.left_ms = millis(request.due - now);
  const double adjusted_left_ms = out.left_ms - out.error_ms;
  for (const auto& option : view.options) {
    const double timely =
        slots_in_time(view, option, request.size.prompt, adjusted_left_ms);
    out.slots_by_option.push_back(timely);
    out.timely_slots += timely;
    out.free_slots += std::max(0, view.engine.slots - option.running);
    if (option.running < view.engine.slots) {
      out.best_ms = std::min(
          out.best_ms,
          out.error_ms + predict_first_event_ms(view.engine, view.model, option,
                                                request.size.prompt));
      continue;
    }
    group_option after_release = option;
    after_release.running = view.engine.slots - 1;
    const double ahead = option.running - view.engine.slots + 1;
    const double freed_ms = ahead *
                            service_ms(view, request.size, view.engine.slots) /
                            view.engine.slots;
    out.slot_free_ms = std::min(out.slot_free_ms, freed_ms);
    const double first_event_ms = predict_first_event_ms(
        view.engine, view.model, after_release, request.size.prompt);
    out.full_option_ms =
        std::min(out.full_option_ms, freed_ms + first_event_ms + out.error_ms);
  }
  out.group_rate =
      view.nodes * pool.sent.at(now) / std::max<size_t>(view.groups, 1) / 1000;
  return out;
}

bool request_admission::claim_share(const forecast& prediction,
                                    const admission_view& view,
                                    pool_state& pool, absl::Time now,
                                    random_stream& random) {
  if (now < pool.next_draw_at) return false;
  // Other nodes decide on the same reported load at the same moment, so each
  // takes a random share of the free slots rather than all the same one.
  pool.draw_rate.add(now);
  const double option_fraction =
      static_cast<double>(view.options.size()) /
      static_cast<double>(std::max<size_t>(view.groups, 1));
  // If this node has just failed to draw a slot, slots are so scarce that the
  // other nodes have requests waiting too.
  const bool missed = now - pool.next_draw_at < view.load_age;
  const double own_draws =
      pool.draw_rate.at(now) * absl::ToDoubleSeconds(view.load_age);
  const double all_draws = view.nodes * option_fraction *
                           (missed ? std::max(1.0, own_draws) : own_draws);
  if (random.unit() * all_draws < unseen_slot_fraction * prediction.free_slots)
    return true;
  pool.next_draw_at = now + view.load_age;
  return false;
}

admission_decision request_admission::decide_in_time(const forecast& prediction,
                                                     const admission_view& view,
                                                     const request_size& size,
                                                     pool_state& pool,
                                                     absl::Time now,
                                                     random_stream& random) {
  admission_decision out;
  out.error_ms = prediction.error_ms;
  out.timely_slots = prediction.timely_slots;
  if (!claim_share(prediction, view, pool, now, random)) return out;
  out.action = admission_action::send;
  const double unseen_requests =
      view.nodes * pool.draw_rate.at(now) *
      static_cast<double>(view.options.size()) /
      static_cast<double>(std::max<size_t>(view.groups, 1)) *
      absl::ToDoubleSeconds(view.load_age);
  if (prediction.free_slots >= ample_slot_factor * unseen_requests) {
    std::vector<group_option> timely = view.options;
    for (size_t i = 0; i < timely.size(); ++i) {
      if (prediction.slots_by_option[i] <= 0)
        timely[i].running = view.engine.slots;
    }
    out.option =
        choose_group(view.engine, view.model, timely, size, random).value_or(0);
    return out;
  }
  double drawn = random.unit() * prediction.timely_slots;
  for (size_t i = 0; i < prediction.slots_by_option.size(); ++i) {
    if (prediction.slots_by_option[i] <= 0) continue;
    out.option = i;
    drawn -= prediction.slots_by_option[i];
    if (drawn < 0) break;
  }
  return out;
}

admission_decision request_admission::decide_late(
    const admission_request& request, const admission_view& view,
    const pool_state& pool, const forecast& prediction, absl::Time now) {
  admission_decision out;
  out.error_ms = prediction.error_ms;
  out.timely_slots = prediction.timely_slots;
  const double time_left_ms = millis(request.deadline - now);
  double best_gain = 0;
  for (size_t i = 0; i < view.options.size(); ++i) {
    const group_option& option = view.options[i];
    if (option.running >= view.engine.slots) continue;
    const double first_event_ms =
        prediction.error_ms + predict_first_event_ms(view.engine, view.model,
                                                     option,
                                                     request.size.prompt);
    if (first_event_ms > time_left_ms) continue;
    const double chance =
        probability_in_time(first_event_ms, prediction.left_ms, pool.mean_goal);
    const double gain = late_value + (1 - late_value) * chance;
    const double net_gain =
        gain - requests_made_late(request, view, option, prediction.error_ms,
                                  prediction.group_rate, pool.mean_goal);
    if (net_gain <= best_gain) continue;
    best_gain = net_gain;
    out.option = i;
    out.action = admission_action::send;
    out.late = true;
  }
  return out;
}

void request_admission::refuse(const admission_request& request,
                               const admission_view& view, pool_state& pool,
                               const char* reason, absl::Time now,
                               random_stream& random, admission_decision& out) {
  const forecast prediction = make_forecast(request, view, pool, now);
  const double goal = millis(request.due - request.arrived);
  const double mean_prefill_ms =
      prefill_ms(view, view.engine.mean_prompt_tokens);
  const double utilization =
      std::min(prediction.group_rate * mean_prefill_ms, 1 - min_spare_fraction);
  const double drain_ms =
      std::max(0.0, prediction.best_ms - goal) / (1 - utilization);
  const double expected_ms = std::min(drain_ms, prediction.slot_free_ms);
  // All nodes share the slots that become free, so the interval between the
  // returning callers of one node grows with the number of nodes.
  const double slot_interval_ms =
      service_ms(view, request.size, view.engine.slots) / view.engine.slots;
  const double return_interval_ms =
      view.nodes * std::max(mean_prefill_ms, slot_interval_ms) /
      static_cast<double>(std::max<size_t>(view.groups, 1));
  const absl::Duration max_delay =
      max_retry_delay_fraction *
      std::max(request.deadline - now, absl::ZeroDuration());
  const absl::Duration delay = std::min(
      max_delay, absl::Milliseconds(expected_ms == infinite ? return_interval_ms
                                                            : expected_ms));
  const absl::Duration spacing =
      std::min(absl::Milliseconds(return_interval_ms), max_delay / 2);
  const absl::Time return_at = std::max(now + delay, pool.next_retry_at);
  absl::Duration wait = return_at - now + random.unit() * spacing;
  // If the delay exceeds the maximum, callers cannot return in order, but they
  // must still not return at the same time.
  if (wait > max_delay) wait = max_delay - random.unit() * spacing;
  pool.next_retry_at = std::min(return_at + spacing, now + max_delay);
  out.action = admission_action::refuse;
  out.reason = reason;
  out.error_ms = prediction.error_ms;
  out.timely_slots = prediction.timely_slots;
  out.expected_wait = return_at - now;
  out.retry_after = std::max(wait, absl::Milliseconds(1));
}

admission_decision request_admission::decide(const admission_request& request,
                                             const admission_view& view,
                                             absl::Time now,
                                             random_stream& random) {
  pool_state& pool = this->pools[request.pool];
  const forecast prediction = make_forecast(request, view, pool, now);
  const absl::Duration waited = now - request.arrived;
  const bool may_wait = waited < this->limits.wait;
  const auto refused = [&](const char* reason) {
    admission_decision out;
    refuse(request, view, pool, reason, now, random, out);
    this->store_retry_time(request, now + out.retry_after, now);
    this->dequeue(request);
    return out;
  };
  admission_decision out;
  out.error_ms = prediction.error_ms;
  out.timely_slots = prediction.timely_slots;
  if (prediction.timely_slots > 0) {
    const queued_request* front = pool.queue.front();
    if (front != nullptr && front->id == request.id) {
      out = decide_in_time(prediction, view, request.size, pool, now, random);
      if (out.action == admission_action::send) {
        pool.queue.pop();
        pool.sent.add(now);
        this->dequeue(request);
        return out;
      }
    }
    if (may_wait) return out;
    return refused("others went first");
  }
  if (may_wait && prediction.full_option_ms <= prediction.left_ms) {
    out.expected_wait = absl::Milliseconds(prediction.slot_free_ms);
    return out;
  }
  out = decide_late(request, view, pool, prediction, now);
  // Requests that can be in time take precedence where slots are scarce.
  if (out.action == admission_action::send &&
      claim_share(prediction, view, pool, now, random)) {
    this->dequeue(request);
    pool.sent.add(now);
    pool.queue.charge(request.workspace, request.caller, request.cost_ms);
    return out;
  }
  const bool full = prediction.best_ms == infinite;
  return refused(full ? "no group has room" : "would be late");
}

admission_decision request_admission::refuse_unqueued(
    const admission_request& request, const admission_view& view,
    absl::Time now, random_stream& random) {
  admission_decision out;
  refuse(request, view, this->pools[request.pool], "too many wait", now, random,
         out);
  this->store_retry_time(request, now + out.retry_after, now);
  return out;
}

void request_admission::record_first_event(const std::string& pool,
                                           double predicted_ms,
                                           double actual_ms, absl::Time now) {
  this->pools[pool].error.add_sample(predicted_ms, actual_ms, now);
}

size_t request_admission::waiting(const std::string& pool) const {
  const auto found = this->pools.find(pool);
  return found == this->pools.end() ? 0 : found->second.queue.size();
}

}  // namespace spokesail
