// Bounded queues in front of models and services, fair among workspaces.
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

/// A request that waits, as far as the queue needs to know it.
struct queued_request {
  uint64_t id = 0;
  std::string workspace;
  int weight = 1;
  /// 0 to 9, higher first within the workspace.
  int priority = 0;
  /// Expected cost against other requests, for instance in tokens.
  double cost = 1;
  absl::Time deadline;
  /// Who sent it, within the workspace; empty if callers are not told apart.
  std::string caller{};
  /// What it is, for the floor; empty if kinds are not told apart.
  std::string kind{};
  bool operator==(const queued_request&) const = default;
};

/// What decides turns beside the workspaces' shares.
struct queue_policy {
  /// Whether higher priorities go first among workspaces too.
  bool priority_across_workspaces = false;
  /// Each so many turns, one goes to the kind and workspace that has waited
  /// for most turns; 0 if none does.
  int starvation_guard_interval = 0;
  bool operator==(const queue_policy&) const = default;
};

/// Requests waiting for one model or service. Workspaces take turns by weight
/// (start-time fair queueing); within one, priority decides, then the callers'
/// turns by cost, then arrival.
class fair_queue {
 public:
  explicit fair_queue(queue_policy order = {}) : order(order) {}

  /// Adds a request; false if the queue holds `limit` already, if the
  /// workspace alone holds more than its share of a queue that is half full, or
  /// if a caller that is told apart does so within its workspace.
  bool push(const queued_request& request, size_t limit);

  /// Puts a request back at the head of its workspace.
  void push_front(const queued_request& request);

  /// The request whose turn it is; the queue keeps it.
  const queued_request* front() const;

  /// Takes the request whose turn it is.
  std::optional<queued_request> pop();

  /// Takes a request out, wherever it stands.
  bool remove(uint64_t id);

  /// Takes out all requests whose deadline is at or before `now`.
  std::vector<queued_request> expire(absl::Time now);

  /// Counts `cost` against a caller as if it had been served.
  void charge(const std::string& workspace, const std::string& caller,
              double cost);

  size_t size() const { return this->count; }
  bool empty() const { return this->count == 0; }

 private:
  using line_key = std::pair<std::string, std::string>;
  struct line {
    double start_tag = 0;
    std::deque<queued_request> waiting;
    /// Turns of callers within the workspace, and how far they have come.
    std::map<std::string, double> callers;
    double caller_time = 0;
  };
  /// A request's place: its workspace, and where it stands there.
  struct position {
    std::string workspace;
    size_t at = 0;
  };

  /// The request whose turn it is; nothing if none waits.
  std::optional<position> turn() const;
  /// The workspace whose turn it is by priority and share.
  std::optional<position> next_by_share() const;
  /// The request of the kind and workspace that has waited for most turns.
  std::optional<position> next_by_starvation_guard() const;
  /// Who goes first in a line, of one kind or of all.
  static size_t first_in_line(const line& line, const std::string* kind);
  /// Brings the virtual time on to what was served at the tag `served`.
  void advance(double served);
  /// Whether a caller holds more than its part of its workspace's share.
  static bool exceeds_caller_share(const line& line, const std::string& caller,
                                   size_t share);
  /// Gives a caller a turn of its own, not before those that are being served.
  static void join(line& line, const std::string& caller);
  /// Forgets callers that have nothing waiting and nothing counted.
  static void prune_callers(line& line);

  queue_policy order;
  std::map<std::string, line> lines;
  double virtual_time = 0;
  size_t count = 0;
  /// Turns taken, and the last one of each kind and workspace.
  uint64_t turns = 0;
  std::map<line_key, uint64_t> last_turn;
};

/// A token bucket on the caller's clock.
class token_bucket {
 public:
  token_bucket() = default;
  /// `rate` tokens a second, at most `burst` saved.
  token_bucket(double rate, double burst)
      : rate(rate), burst(burst), tokens(burst) {}

  /// Takes `amount` tokens if there are as many.
  bool try_consume(double amount, absl::Time now);

  /// Adds tokens, up to the burst.
  void add(double amount);

  /// How long until `amount` tokens are there.
  absl::Duration wait_for(double amount) const;

 private:
  double rate = 0;
  double burst = 0;
  double tokens = 0;
  absl::Time last = absl::InfinitePast();
};

}  // namespace spokesail
