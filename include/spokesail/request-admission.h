// Decides which requests a node sends, queues or refuses when capacity is
// short.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "spokesail/admission.h"
#include "spokesail/engine-model.h"
#include "spokesail/hash.h"
#include "spokesail/prediction-error.h"
#include "spokesail/routing-config.h"

namespace spokesail {

/// Limits of the queues of one node.
struct admission_limits {
  /// Requests that wait for one model.
  size_t entries = 64;
  /// Total bytes of all waiting requests.
  uint64_t bytes = 16 << 20;
  /// Longest time that a request waits for a slot.
  absl::Duration wait = absl::Milliseconds(150);
  bool operator==(const admission_limits&) const = default;
};

/// A request for an engine's groups: its needs and its sender.
struct admission_request {
  uint64_t id = 0;
  /// The slots that it competes for, named by service and model.
  std::string pool;
  /// Name of its route.
  std::string kind;
  std::string workspace;
  std::string caller;
  /// 0 is the most urgent, 9 the least.
  int rank = 0;
  request_size size;
  /// Engine time that it needs, in ms.
  double cost_ms = 0;
  uint64_t bytes = 0;
  absl::Time arrived;
  /// Its first event is in time until then.
  absl::Time due;
  /// Its caller waits until then.
  absl::Time deadline;
  bool operator==(const admission_request&) const = default;
};

/// Engine time that a request needs when groups are full, in ms: the prefill of
/// its prompt, and its share of the steps that decode its answer.
double engine_time_ms(const engine_profile& engine, const model_profile& model,
                      const request_size& size);

/// What a node knows of the slots of one pool at one moment.
struct admission_view {
  const engine_profile& engine;
  const model_profile& model;
  /// Groups that the request may be sent to.
  const std::vector<group_option>& options;
  /// Number of groups that all nodes send to; `options` may be a subset.
  size_t groups = 1;
  /// Number of nodes that send to them.
  int nodes = 1;
  /// Age of the reported load.
  absl::Duration load_age;
};

/// What is done with a request.
enum class admission_action { send, wait, refuse };

/// An admission decision and the figures it is based on.
struct admission_decision {
  admission_action action = admission_action::wait;
  /// Index of the chosen option, if the request is sent.
  size_t option = 0;
  /// Whether it is sent although its answer will be late.
  bool late = false;
  const char* reason = "";
  /// Expected time until a slot is free, if it is not sent.
  absl::Duration expected_wait = absl::ZeroDuration();
  /// Delay after which its caller should retry, if it is refused.
  absl::Duration retry_after = absl::ZeroDuration();
  /// The learned error of the prediction, in ms.
  double error_ms = 0;
  /// Number of requests that can be in time, over all options.
  double timely_slots = 0;
};

/// Orders one node's requests that compete for slots of groups.
class request_admission {
 public:
  explicit request_admission(admission_limits limits = {}) : limits(limits) {}

  /// Queues a request. Returns false if the queues are full.
  bool enqueue(const admission_request& request, absl::Time now);

  /// Removes a request; must be called once it has ended, for any reason.
  void dequeue(const admission_request& request);

  /// Decides on a queued request. One that is to wait must ask again shortly
  /// after.
  admission_decision decide(const admission_request& request,
                            const admission_view& view, absl::Time now,
                            random_stream& random);

  /// The refusal of a request that could not be queued.
  admission_decision refuse_unqueued(const admission_request& request,
                                     const admission_view& view, absl::Time now,
                                     random_stream& random);

  /// Records a first event; times in ms.
  void record_first_event(const std::string& pool, double predicted_ms,
                          double actual_ms, absl::Time now);

  /// Number of requests that wait for a pool's slots.
  size_t waiting(const std::string& pool) const;
  /// Total bytes of all waiting requests.
  uint64_t waiting_bytes() const { return this->bytes; }

 private:
  /// Exponentially weighted rate of an event, per second.
  struct event_rate {
    double rate = 0;
    absl::Time last = absl::InfinitePast();
    void add(absl::Time now);
    double at(absl::Time now) const;
  };
  /// State of the requests for one model.
  struct pool_state {
    pool_state();
    fair_queue queue;
    std::map<uint64_t, uint64_t> queued_bytes;
    prediction_error error;
    event_rate sent;
    /// Rate of draws for scarce slots, and the time until which no draw is made
    /// after a miss.
    event_rate draw_rate;
    absl::Time next_draw_at = absl::InfinitePast();
    /// Moving average of the routes' goals, in ms; 0 before the first request.
    double mean_goal = 0;
    /// When the caller that was refused last is to return.
    absl::Time next_retry_at = absl::InfinitePast();
  };
  struct forecast;

  static forecast make_forecast(const admission_request& request,
                                const admission_view& view,
                                const pool_state& pool, absl::Time now);
  /// Sends a request that can be in time and is first in the queue, unless the
  /// draw for scarce slots makes it wait.
  static admission_decision decide_in_time(const forecast& prediction,
                                           const admission_view& view,
                                           const request_size& size,
                                           pool_state& pool, absl::Time now,
                                           random_stream& random);
  /// Draws whether this node takes a share of scarce slots.
  static bool claim_share(const forecast& prediction,
                          const admission_view& view, pool_state& pool,
                          absl::Time now, random_stream& random);
  /// Decides on a request that cannot be in time at any option.
  static admission_decision decide_late(const admission_request& request,
                                        const admission_view& view,
                                        const pool_state& pool,
                                        const forecast& prediction,
                                        absl::Time now);
  /// Fills in a refusal, with the time after which the caller should return.
  static void refuse(const admission_request& request,
                     const admission_view& view, pool_state& pool,
                     const char* reason, absl::Time now, random_stream& random,
                     admission_decision& out);
  void check_early_retry(const admission_request& request, absl::Time now);
  void store_retry_time(const admission_request& request, absl::Time at,
                        absl::Time now);

  admission_limits limits;
  std::map<std::string, pool_state> pools;
  uint64_t bytes = 0;
  /// When refused callers were told to return.
  std::map<std::string, absl::Time> retry_times;
};

}  // namespace spokesail
