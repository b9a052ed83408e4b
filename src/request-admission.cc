// Verdicts on requests from the predictions for the groups that they may use.
#include "spokesail/request-admission.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace spokesail {
namespace {

constexpr double no_end = std::numeric_limits<double>::infinity();

/// Ranks of requests, 0 first.
constexpr int lowest_rank = 9;

/// Time over which events are counted.
constexpr absl::Duration rate_memory = absl::Seconds(1);

/// Each so many turns, one goes to who has waited for most of them.
constexpr int starvation_guard_interval = 5;

/// What a late answer is worth against one in time.
constexpr double late_worth = 0.25;

/// First events come this part of the goal earlier or later than expected.
constexpr double spread_share = 0.2;

/// Weight of one request in the usual goal.
constexpr double goal_weight = 0.125;

/// The part of its time left beyond which a caller does not wait to come back.
constexpr double heeded_share = 1.0 / 3;

/// A caller that comes back this much earlier than told has kept the time.
constexpr absl::Duration return_slack = absl::Milliseconds(20);

/// Refused callers that are remembered.
constexpr size_t most_returns = 1024;

/// Room is ample if it is this many times what others may take meanwhile.
constexpr double ample_room = 4;

/// The part of known places that all nodes together take until they hear of
/// each other's requests; what was taken just before is not known either.
constexpr double taken_share = 0.5;

/// Part of its reading that a group keeps for what has queued up, at least.
constexpr double least_spare = 0.05;

double millis(absl::Duration time) { return absl::ToDoubleMilliseconds(time); }

/// Time that a group reads a prompt, in ms.
double read_ms(const admission_view& view, double prompt) {
  return view.model.pace * prompt / view.engine.prefill_tokens_per_ms;
}

/// Time that a request with this many others holds a place, in ms.
double service_ms(const admission_view& view, const request_size& size,
                  int running) {
  group_option full;
  full.running = running;
  const double events =
      size.answer / std::max(1, view.engine.decode_steps_per_pass);
  return predict_first_event_ms(view.engine, view.model, full, size.prompt) +
         events * predict_event_gap_ms(view.engine, view.model, full, 0);
}

/// An option with one more request in it.
group_option joined(group_option option, double prompt) {
  option.running++;
  option.pending_prefill_tokens += prompt;
  return option;
}

/// Requests that can join `option` one after the other and have their first
/// event within `left_ms`.
double slots_in_time(const admission_view& view, const group_option& option,
                     double prompt, double left_ms) {
  const int free = view.engine.slots - option.running;
  if (free <= 0) return 0;
  const double first =
      predict_first_event_ms(view.engine, view.model, option, prompt);
  if (first > left_ms) return 0;
  const double second = predict_first_event_ms(view.engine, view.model,
                                               joined(option, prompt), prompt);
  const double each = std::max(second - first, 1e-3);
  return std::min<double>(free, 1 + std::floor((left_ms - first) / each));
}

}  // namespace

/// How likely a first event that is expected after `first_ms` comes within
/// `left_ms`.
static double chance_in_time(double first_ms, double left_ms,
                             double mean_goal) {
  const double spread = spread_share * mean_goal;
  return std::clamp(0.5 + (left_ms - first_ms) / (2 * spread), 0.0, 1.0);
}

/// Requests that would be in time without a request that joins `option`, and
/// not with it: of those that come until the group has caught up, by how much
/// later each is.
static double requests_made_late(const admission_request& request,
                                 const admission_view& view,
                                 const group_option& option, double error_ms,
                                 double group_rate, double mean_goal) {
  const double usual = view.engine.mean_prompt_tokens;
  const group_option with = joined(option, request.size.prompt);
  const double next =
      error_ms + predict_first_event_ms(view.engine, view.model, with, usual);
  const double spread = spread_share * mean_goal;
  if (next <= mean_goal - spread) return 0;
  const double busy = group_rate * read_ms(view, usual);
  if (busy >= 1 - least_spare) return no_end;
  const double others =
      group_rate * read_ms(view, with.pending_prefill_tokens) / (1 - busy);
  return others * read_ms(view, request.size.prompt) / (2 * spread);
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

/// What a request can expect of its options.
struct request_admission::forecast {
  /// Requests like it that can be in time, by option and in all.
  std::vector<double> places;
  double timely_slots = 0;
  /// Places of the options that are free, in time or not.
  double free = 0;
  /// Least predicted time, error included, over options with a free place.
  double best_ms = no_end;
  /// Time until a place of an option that is full comes free.
  double freed_ms = no_end;
  /// Least time to the first event over such options, waiting included.
  double full_ms = no_end;
  double error_ms = 0;
  /// Time left to be in time.
  double left_ms = 0;
  /// Requests that all nodes send to one group in a ms.
  double group_rate = 0;
};

request_admission::pool_state::pool_state()
    : queue(queue_policy{true, starvation_guard_interval}) {}

void request_admission::event_rate::add(absl::Time now) {
  this->rate = this->at(now) + 1 / absl::ToDoubleSeconds(rate_memory);
  this->last = now;
}

double request_admission::event_rate::at(absl::Time now) const {
  if (this->last == absl::InfinitePast()) return 0;
  const double past = absl::FDivDuration(now - this->last, rate_memory);
  return this->rate * std::exp(-std::max(past, 0.0));
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
  pool.entered[request.id] = request.bytes;
  this->bytes += request.bytes;
  return true;
}

void request_admission::dequeue(const admission_request& request) {
  const auto pool = this->pools.find(request.pool);
  if (pool == this->pools.end()) return;
  const auto entry = pool->second.entered.find(request.id);
  if (entry == pool->second.entered.end()) return;
  pool->second.queue.remove(request.id);
  this->bytes -= entry->second;
  pool->second.entered.erase(entry);
}

void request_admission::check_early_retry(const admission_request& request,
                                          absl::Time now) {
  const auto told = this->retry_times.find(request.caller);
  if (told == this->retry_times.end()) return;
  // Who does not wait as told pays for it out of its own turns.
  if (now + return_slack < told->second) {
    this->pools[request.pool].queue.charge(request.workspace, request.caller,
                                           request.cost_ms);
    return;
  }
  this->retry_times.erase(told);
}

void request_admission::store_retry_time(const admission_request& request,
                                         absl::Time at, absl::Time now) {
  this->retry_times[request.caller] = at;
  if (this->retry_times.size() <= most_returns) return;
  std::erase_if(this->retry_times,
                [&](const auto& item) { return item.second <= now; });
  if (this->retry_times.size() > most_returns) this->retry_times.clear();
}

request_admission::forecast request_admission::make_forecast(
    const admission_request& request, const admission_view& view,
    const pool_state& pool, absl::Time now) {
  forecast out;
  out.error_ms = pool.error.expected_ms(now);
  out.left_ms = millis(request.due - now);
  const double left = out.left_ms - out.error_ms;
  for (const auto& option : view.options) {
    const double places =
        slots_in_time(view, option, request.size.prompt, left);
    out.places.push_back(places);
    out.timely_slots += places;
    out.free += std::max(0, view.engine.slots - option.running);
    if (option.running < view.engine.slots) {
      out.best_ms = std::min(
          out.best_ms,
          out.error_ms + predict_first_event_ms(view.engine, view.model, option,
                                                request.size.prompt));
      continue;
    }
    group_option after = option;
    after.running = view.engine.slots - 1;
    const double ahead = option.running - view.engine.slots + 1;
    const double freed = ahead *
                         service_ms(view, request.size, view.engine.slots) /
                         view.engine.slots;
    out.freed_ms = std::min(out.freed_ms, freed);
    const double first = predict_first_event_ms(view.engine, view.model, after,
                                                request.size.prompt);
    out.full_ms = std::min(out.full_ms, freed + first + out.error_ms);
  }
  out.group_rate =
      view.nodes * pool.sent.at(now) / std::max<size_t>(view.groups, 1) / 1000;
  return out;
}

bool request_admission::claim_share(const forecast& seen,
                                    const admission_view& view,
                                    pool_state& pool, absl::Time now,
                                    random_stream& random) {
  if (now < pool.next_draw) return false;
  // Others decide by the same news at the same moment, so that each takes its
  // part of the places rather than all the same one.
  pool.draw_rate.add(now);
  const double weighed = static_cast<double>(view.options.size()) /
                         static_cast<double>(std::max<size_t>(view.groups, 1));
  // Where room is so short that this node has just missed a place, the other
  // nodes have requests waiting too.
  const bool missed = now - pool.next_draw < view.load_age;
  const double each =
      pool.draw_rate.at(now) * absl::ToDoubleSeconds(view.load_age);
  const double others =
      view.nodes * weighed * (missed ? std::max(1.0, each) : each);
  if (random.unit() * others < taken_share * seen.free) return true;
  pool.next_draw = now + view.load_age;
  return false;
}

admission_decision request_admission::send_in_time(
    const forecast& seen, const admission_view& view, const request_size& size,
    pool_state& pool, absl::Time now, random_stream& random) {
  admission_decision out;
  out.error_ms = seen.error_ms;
  out.timely_slots = seen.timely_slots;
  if (!claim_share(seen, view, pool, now, random)) return out;
  out.action = admission_action::send;
  const double unseen = view.nodes * pool.draw_rate.at(now) *
                        static_cast<double>(view.options.size()) /
                        static_cast<double>(std::max<size_t>(view.groups, 1)) *
                        absl::ToDoubleSeconds(view.load_age);
  if (seen.free >= ample_room * unseen) {
    std::vector<group_option> timely = view.options;
    for (size_t i = 0; i < timely.size(); ++i) {
      if (seen.places[i] <= 0) timely[i].running = view.engine.slots;
    }
    out.option =
        choose_group(view.engine, view.model, timely, size, random).value_or(0);
    return out;
  }
  double drawn = random.unit() * seen.timely_slots;
  for (size_t i = 0; i < seen.places.size(); ++i) {
    if (seen.places[i] <= 0) continue;
    out.option = i;
    drawn -= seen.places[i];
    if (drawn < 0) break;
  }
  return out;
}

admission_decision request_admission::decide_late(
    const admission_request& request, const admission_view& view,
    const pool_state& pool, const forecast& seen, absl::Time now) {
  admission_decision out;
  out.error_ms = seen.error_ms;
  out.timely_slots = seen.timely_slots;
  const double patience = millis(request.deadline - now);
  double best = 0;
  for (size_t i = 0; i < view.options.size(); ++i) {
    const group_option& option = view.options[i];
    if (option.running >= view.engine.slots) continue;
    const double first =
        seen.error_ms + predict_first_event_ms(view.engine, view.model, option,
                                               request.size.prompt);
    if (first > patience) continue;
    const double chance = chance_in_time(first, seen.left_ms, pool.mean_goal);
    const double gain = late_worth + (1 - late_worth) * chance;
    const double left =
        gain - requests_made_late(request, view, option, seen.error_ms,
                                  seen.group_rate, pool.mean_goal);
    if (left <= best) continue;
    best = left;
    out.option = i;
    out.action = admission_action::send;
    out.late = true;
  }
  return out;
}

void request_admission::refuse(const admission_request& request,
                               const admission_view& view, pool_state& pool,
                               const char* reason, absl::Time now,
                               random_stream& random,
                               admission_decision& answer) {
  const forecast seen = make_forecast(request, view, pool, now);
  const double goal = millis(request.due - request.arrived);
  const double usual = read_ms(view, view.engine.mean_prompt_tokens);
  const double busy = std::min(seen.group_rate * usual, 1 - least_spare);
  const double drained = std::max(0.0, seen.best_ms - goal) / (1 - busy);
  const double expected = std::min(drained, seen.freed_ms);
  // Places come free for all nodes together at this pace.
  const double held =
      service_ms(view, request.size, view.engine.slots) / view.engine.slots;
  const double interval = view.nodes * std::max(usual, held) /
                          static_cast<double>(std::max<size_t>(view.groups, 1));
  const absl::Duration heeded =
      heeded_share * std::max(request.deadline - now, absl::ZeroDuration());
  const absl::Duration place = std::min(
      heeded, absl::Milliseconds(expected == no_end ? interval : expected));
  const absl::Duration spacing =
      std::min(absl::Milliseconds(interval), heeded / 2);
  const absl::Time turn = std::max(now + place, pool.next_retry_at);
  absl::Duration wait = turn - now + random.unit() * spacing;
  // Beyond what is heeded there is no order left to keep, but they still
  // should not meet.
  if (wait > heeded) wait = heeded - random.unit() * spacing;
  pool.next_retry_at = std::min(turn + spacing, now + heeded);
  answer.action = admission_action::refuse;
  answer.reason = reason;
  answer.error_ms = seen.error_ms;
  answer.timely_slots = seen.timely_slots;
  answer.expected_wait = turn - now;
  answer.retry_after = std::max(wait, absl::Milliseconds(1));
}

admission_decision request_admission::decide(const admission_request& request,
                                             const admission_view& view,
                                             absl::Time now,
                                             random_stream& random) {
  pool_state& pool = this->pools[request.pool];
  const forecast seen = make_forecast(request, view, pool, now);
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
  out.error_ms = seen.error_ms;
  out.timely_slots = seen.timely_slots;
  if (seen.timely_slots > 0) {
    const queued_request* front = pool.queue.front();
    if (front != nullptr && front->id == request.id) {
      out = send_in_time(seen, view, request.size, pool, now, random);
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
  if (may_wait && seen.full_ms <= seen.left_ms) {
    out.expected_wait = absl::Milliseconds(seen.freed_ms);
    return out;
  }
  out = decide_late(request, view, pool, seen, now);
  // Whoever is in time goes before it where places are short.
  if (out.action == admission_action::send &&
      claim_share(seen, view, pool, now, random)) {
    this->dequeue(request);
    pool.sent.add(now);
    pool.queue.charge(request.workspace, request.caller, request.cost_ms);
    return out;
  }
  const bool full = seen.best_ms == no_end;
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

void request_admission::note_first_event(const std::string& pool,
                                         double predicted_ms, double taken_ms,
                                         absl::Time now) {
  this->pools[pool].error.add_sample(predicted_ms, taken_ms, now);
}

size_t request_admission::waiting(const std::string& pool) const {
  const auto found = this->pools.find(pool);
  return found == this->pools.end() ? 0 : found->second.queue.size();
}

}  // namespace spokesail
