// Bounded queues for models and services, fair among workspaces.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace spokesail {

/// What the queue needs to know of a waiting request.
struct queued_request {
  uint64_t id = 0;
  std::string workspace;
  int weight = 1;
  /// 0 to 9, higher first within the workspace.
  int priority = 0;
  /// Expected cost relative to other requests, for instance in tokens.
  double cost = 1;
  absl::Time deadline;
  /// Sender within the workspace; empty if callers are not distinguished.
  std::string caller{};
  /// Kind of the request, for the starvation guard; empty if kinds are not
  /// distinguished.
  std::string kind{};
  bool operator==(const queued_request&) const = default;
};

/// What determines the order besides the workspaces' shares.
struct queue_policy {
  /// Whether higher priorities also go first across workspaces.
  bool priority_across_workspaces = false;
  /// Guards against starvation: one of every so many turns goes to the kind and
  /// workspace that has waited for the most turns; 0 if none does.
  int starvation_guard_interval = 0;
  bool operator==(const queue_policy&) const = default;
};

/// Requests waiting for one model or service. Workspaces take turns by weight
/// (start-time fair queueing). Within a workspace, priority decides, then the
/// callers' turns by cost, then arrival.
class fair_queue {
 public:
  explicit fair_queue(queue_policy policy = {}) : policy(policy) {}

  /// Adds a request. Returns false if the queue already holds `limit` requests,
  /// if the queue is half full and the workspace holds more than its share, or
  /// if a distinguished caller holds more than its share within its workspace.
  bool push(const queued_request& request, size_t limit);

  /// Puts a request back at the head of its workspace's queue.
  void push_front(const queued_request& request);

  /// The request whose turn it is, which stays queued; null if none waits.
  const queued_request* front() const;

  /// Removes and returns the request whose turn it is.
  std::optional<queued_request> pop();

  /// Removes a request at any position. Returns false if it is not queued.
  bool remove(uint64_t id);

  /// Removes and returns all requests whose deadline is at or before `now`.
  std::vector<queued_request> expire(absl::Time now);

  /// Charges `cost` to a caller as if a request of that cost had been served.
  void charge(const std::string& workspace, const std::string& caller,
              double cost);

  size_t size() const { return this->count; }
  bool empty() const { return this->count == 0; }

 private:
  using kind_and_workspace = std::pair<std::string, std::string>;
  struct workspace_queue {
    double start_tag = 0;
    std::deque<queued_request> waiting;
    /// Start tags of the callers within the workspace, and their virtual time.
    std::map<std::string, double> callers;
    double caller_virtual_time = 0;
  };
  /// The position of a request: its workspace, and its index in that queue.
  struct position {
    std::string workspace;
    size_t index = 0;
  };

  /// The position of the next request; nothing if none waits.
  std::optional<position> next_position() const;
  /// The next request by priority and the workspaces' shares.
  std::optional<position> next_by_share() const;
  /// The next request of the kind and workspace that has waited for the most
  /// turns.
  std::optional<position> next_by_starvation_guard() const;
  /// Index of the next request in a workspace's queue, of one kind or of all.
  static size_t first_index(const workspace_queue& queue,
                            const std::string* kind);
  /// Advances the virtual time after the request with the tag `served_tag` was
  /// served.
  void advance(double served_tag);
  /// Whether a caller holds more than its part of its workspace's share.
  static bool exceeds_caller_share(const workspace_queue& queue,
                                   const std::string& caller, size_t share);
  /// Adds a caller, with a tag not before the callers that are being served.
  static void add_caller(workspace_queue& queue, const std::string& caller);
  /// Drops callers that have no requests waiting, first those whose tag the
  /// virtual time has passed.
  static void prune_callers(workspace_queue& queue);

  queue_policy policy;
  std::map<std::string, workspace_queue> workspace_queues;
  double virtual_time = 0;
  size_t count = 0;
  /// Number of turns taken, and the last turn of each kind and workspace.
  uint64_t turns_taken = 0;
  std::map<kind_and_workspace, uint64_t> last_turn;
};

/// A token bucket; the user supplies the time.
class token_bucket {
 public:
  token_bucket() = default;
  /// `rate` tokens per second are added, up to `burst`.
  token_bucket(double rate, double burst)
      : rate(rate), burst(burst), tokens(burst) {}

  /// Removes `amount` tokens; returns false if there are fewer.
  bool try_consume(double amount, absl::Time now);

  /// Adds tokens, up to the burst.
  void add(double amount);

  /// Time until `amount` tokens are available.
  absl::Duration wait_for(double amount) const;

 private:
  double rate = 0;
  double burst = 0;
  double tokens = 0;
  absl::Time last = absl::InfinitePast();
};

}  // namespace spokesail
