// Processing of requests at an entry host: queue, attempts, outcome.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "spokesail/admission.h"
#include "spokesail/config.h"
#include "spokesail/routing.h"

namespace spokesail {

/// Whether a request goes to a model's groups or to a plain service.
enum class target_kind { model, service };

/// A caller's request, without its body.
struct request_info {
  uint64_t id = 0;
  target_kind kind = target_kind::model;
  /// Name of the model or service.
  std::string target;
  std::string workspace;
  int priority = 0;
  bool repeatable = true;
  /// Whether the caller stated `repeatable` itself; if not, the service's list
  /// of methods decides.
  bool repeatable_stated = false;
  std::string method;
  /// Idempotency key; empty if the caller gave none.
  std::string key;
  absl::Time deadline;
  std::optional<uint64_t> prefix;
  /// Expected cost relative to other requests in the queue.
  double cost = 1;
  /// Whether another data hall's entry host forwarded it here.
  bool forwarded = false;
  bool operator==(const request_info&) const = default;
};

/// The kind of result that the caller gets.
enum class outcome_kind { answered, refused, failed };

/// The result of a request. `refused` means that it was not run, `failed` that
/// it may have run.
struct outcome {
  outcome_kind kind = outcome_kind::answered;
  int http_status = 200;
  std::string code;
  std::string reason;
  /// When to retry; zero if waiting makes no difference.
  absl::Duration retry_after = absl::ZeroDuration();
  bool operator==(const outcome&) const = default;
};

/// How one attempt ended.
enum class attempt_end {
  /// The whole answer was passed on, whatever its status.
  whole,
  /// The backend server certainly did not start it.
  not_started,
  /// It may have run; a part of the answer may have come.
  broken
};

/// Where an attempt is sent.
struct attempt_target {
  /// Name of the group, service host or entry host.
  std::string name;
  std::string address;
  int64_t incarnation = 0;
  bool remote_hall = false;
  bool operator==(const attempt_target&) const = default;
};

/// An attempt to start.
struct attempt_start {
  uint64_t request = 0;
  /// Unique over all attempts of all nodes; echoed by the backend server.
  std::string attempt;
  attempt_target target;
  /// A call that may not be repeated uses a new connection, since a failed
  /// write on an old one leaves open whether it ran.
  bool new_connection = false;
  bool operator==(const attempt_start&) const = default;
};

/// Actions that the request table requests of its caller.
struct request_actions {
  std::vector<attempt_start> starts;
  /// Attempts to cancel; their requests are retried or have ended.
  std::vector<std::string> cancels;
  struct finish {
    uint64_t request = 0;
    outcome result;
    bool operator==(const finish&) const = default;
  };
  std::vector<finish> finishes;
};

/// A target that accepts requests now.
struct open_target {
  attempt_target target;
  int capacity = 1;
  int share = 1;
  int reported = 0;
};

/// What the request table needs to know about the fleet.
class routing_view {
 public:
  virtual ~routing_view() = default;
  /// Targets of this data hall that accept requests now.
  virtual std::vector<open_target> open_places(
      target_kind kind, const std::string& target) const = 0;
  /// Whether an attempt there can still complete: all members of the group are
  /// present, even if it is draining and takes no new requests.
  virtual bool can_complete(target_kind kind,
                            const attempt_target& target) const = 0;
  /// Entry hosts of other data halls that have an open target.
  virtual std::vector<attempt_target> other_halls(
      target_kind kind, const std::string& target) const = 0;
  /// The accepted configuration; null before there is one.
  virtual const configuration* config() const = 0;
  /// Estimated time until a target opens, for callers that are refused.
  virtual absl::Duration estimated_reopen(const std::string& target) const = 0;
};

/// All requests that this entry host has accepted and not yet ended.
class request_table {
 public:
  request_table() = default;
  request_table(std::string node, uint64_t boot)
      : node(std::move(node)), boot(boot) {}

  void arrive(const request_info& info, const routing_view& view,
              random_stream& random, absl::Time now, request_actions& out);

  void attempt_ended(uint64_t request, const std::string& attempt,
                     attempt_end end, const routing_view& view,
                     random_stream& random, absl::Time now,
                     request_actions& out);

  /// Ends a request whose caller has disconnected.
  void caller_gone(uint64_t request, request_actions& out);

  /// Ends overdue requests, abandons attempts at groups that closed, and sends
  /// queued requests.
  void step(const routing_view& view, random_stream& random, absl::Time now,
            request_actions& out);

  /// Refuses all new requests from now on.
  void stop() { this->stopping = true; }

  size_t size() const { return this->requests.size(); }
  size_t queued() const;
  /// The target of a running attempt; nothing if it was abandoned.
  std::optional<attempt_target> where(uint64_t request,
                                      const std::string& attempt) const;
  /// Number of this node's attempts running at a target.
  int in_flight(const std::string& target) const;

 private:
  struct entry {
    request_info info;
    int weight = 1;
    bool queued = false;
    absl::Time queued_since;
    std::string attempt;
    attempt_target target;
    int attempts = 0;
    int failures = 0;
    /// Targets that failed the request, and until when they are avoided.
    std::vector<std::string> avoided;
    absl::Time avoid_until = absl::InfinitePast();
  };
  struct pool_key {
    target_kind kind;
    std::string target;
    auto operator<=>(const pool_key&) const = default;
  };
  struct pool {
    fair_queue queue;
    /// Mean time that an attempt occupies its target, to estimate waits.
    double service_seconds = 1;
  };

  std::optional<outcome> reason_to_refuse(const request_info& info,
                                          const routing_view& view,
                                          absl::Time now);
  void finish(uint64_t id, outcome result, request_actions& out);
  void release_target(entry& e);
  void send_queued(const pool_key& key, const routing_view& view,
                   random_stream& random, absl::Time now, request_actions& out);
  bool start_attempt(entry& e, const routing_view& view, random_stream& random,
                     absl::Time now, request_actions& out);
  void retry(entry& e, attempt_end end, const routing_view& view,
             random_stream& random, absl::Time now, request_actions& out);
  void abandon_closed(const routing_view& view, random_stream& random,
                      absl::Time now, request_actions& out);
  absl::Duration queue_wait(const pool& p, int targets) const;
  outcome refuse_closed(const entry& e, const routing_view& view) const;

  std::string node;
  uint64_t boot = 0;
  bool stopping = false;
  std::map<uint64_t, entry> requests;
  std::map<pool_key, pool> pools;
  std::map<std::string, int> running;
  std::map<std::string, token_bucket> rates;
  token_bucket retry_budget{0, 20};
  uint64_t attempt_count = 0;
};

}  // namespace spokesail
