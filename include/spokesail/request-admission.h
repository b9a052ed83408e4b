// Which requests a node sends, keeps waiting or refuses where room is short.
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

/// Bounds of what waits at one node.
struct admission_limits {
  /// Requests that wait for one model.
  size_t entries = 64;
  /// Bytes of all that wait.
  uint64_t bytes = 16 << 20;
  /// Longest wait for a place.
  absl::Duration wait = absl::Milliseconds(150);
  bool operator==(const admission_limits&) const = default;
};

/// What a request asks of an engine's groups, and for whom.
struct admission_request {
  uint64_t id = 0;
  /// The places that it competes for: its service and model.
  std::string pool;
  /// Its route.
  std::string kind;
  std::string workspace;
  std::string caller;
  /// 0 is the most urgent, 9 the least.
  int rank = 0;
  request_size size;
  /// Engine time that it asks for, in ms.
  double cost_ms = 0;
  uint64_t bytes = 0;
  absl::Time arrived;
  /// Its first event is in time until then.
  absl::Time due;
  /// Its caller waits until then.
  absl::Time deadline;
  bool operator==(const admission_request&) const = default;
};

/// Engine time that a request asks for where groups are full, in ms: the
/// reading of its prompt, and its part of the steps that write its answer.
double engine_time_ms(const engine_profile& engine, const model_profile& model,
                      const request_size& size);

/// The places of one pool, as a node knows them at one moment.
struct admission_view {
  const engine_profile& engine;
  const model_profile& model;
  /// Groups that the request may go to.
  const std::vector<group_option>& options;
  /// Groups that all nodes send to; `options` may be some of them.
  size_t groups = 1;
  /// Nodes that send to them.
  int nodes = 1;
  /// Age of what is known of their load.
  absl::Duration load_age;
};

/// What becomes of a request.
enum class admission_action { send, wait, refuse };

/// A verdict, and what it was given by.
struct admission_decision {
  admission_action action = admission_action::wait;
  /// Where to, if it is sent.
  size_t option = 0;
  /// Whether it is sent though its answer will be late.
  bool late = false;
  const char* reason = "";
  /// When a place is expected, if it is not sent.
  absl::Duration expected_wait = absl::ZeroDuration();
  /// When its caller should come back, if it is refused.
  absl::Duration retry_after = absl::ZeroDuration();
  /// The learned error of the prediction, in ms.
  double error_ms = 0;
  /// Requests that can be in time, over all options.
  double timely_slots = 0;
};

/// Orders the requests of one node that compete for groups' places.
class request_admission {
 public:
  explicit request_admission(admission_limits limits = {}) : limits(limits) {}

  /// Lets a request compete. False if too much waits already.
  bool enqueue(const admission_request& request, absl::Time now);

  /// Takes a request out; to be called however it ended.
  void dequeue(const admission_request& request);

  /// What becomes of a request that competes. One that is to wait asks again
  /// a moment later.
  admission_decision decide(const admission_request& request,
                            const admission_view& view, absl::Time now,
                            random_stream& random);

  /// The refusal of a request that could not enter.
  admission_decision refuse_unqueued(const admission_request& request,
                                     const admission_view& view, absl::Time now,
                                     random_stream& random);

  /// Takes note of a first event, its times in ms.
  void note_first_event(const std::string& pool, double predicted_ms,
                        double taken_ms, absl::Time now);

  /// Requests that wait for a pool's places.
  size_t waiting(const std::string& pool) const;
  /// Bytes of all that wait.
  uint64_t waiting_bytes() const { return this->bytes; }

 private:
  /// How often something happens a second, of late.
  struct event_rate {
    double rate = 0;
    absl::Time last = absl::InfinitePast();
    void add(absl::Time now);
    double at(absl::Time now) const;
  };
  /// What is kept of the requests for one model.
  struct pool_state {
    pool_state();
    fair_queue queue;
    std::map<uint64_t, uint64_t> entered;
    prediction_error error;
    event_rate sent;
    /// Times that a request took its chance at places that are short, and until
    /// when the next one waits after a miss.
    event_rate draw_rate;
    absl::Time next_draw = absl::InfinitePast();
    /// Usual time that answers have, in ms; 0 before the first request.
    double mean_goal = 0;
    /// When the caller that was refused last is to come back.
    absl::Time next_retry_at = absl::InfinitePast();
  };
  struct forecast;

  static forecast make_forecast(const admission_request& request,
                                const admission_view& view,
                                const pool_state& pool, absl::Time now);
  /// Has a request sent whose turn it is, or not yet.
  static admission_decision send_in_time(const forecast& seen,
                                         const admission_view& view,
                                         const request_size& size,
                                         pool_state& pool, absl::Time now,
                                         random_stream& random);
  /// Whether this node takes its part of places that are short.
  static bool claim_share(const forecast& seen, const admission_view& view,
                          pool_state& pool, absl::Time now,
                          random_stream& random);
  /// What becomes of one that can be in time nowhere.
  static admission_decision decide_late(const admission_request& request,
                                        const admission_view& view,
                                        const pool_state& pool,
                                        const forecast& seen, absl::Time now);
  /// Says when the caller should come back.
  static void refuse(const admission_request& request,
                     const admission_view& view, pool_state& pool,
                     const char* reason, absl::Time now, random_stream& random,
                     admission_decision& answer);
  void check_early_retry(const admission_request& request, absl::Time now);
  void store_retry_time(const admission_request& request, absl::Time at,
                        absl::Time now);

  admission_limits limits;
  std::map<std::string, pool_state> pools;
  uint64_t bytes = 0;
  /// When callers that were refused were told to come back.
  std::map<std::string, absl::Time> retry_times;
};

}  // namespace spokesail
