// Bounded queues in front of models and services, fair among workspaces.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
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
  bool operator==(const queued_request&) const = default;
};

/// Requests waiting for one model or service. Workspaces take turns by weight
/// (start-time fair queueing); within one, priority and then arrival decide.
class fair_queue {
 public:
  /// Adds a request; false if the queue holds `limit` already, or if the
  /// workspace alone holds more than its share of a queue that is half full.
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

  size_t size() const { return this->count; }
  bool empty() const { return this->count == 0; }

 private:
  struct line {
    double start_tag = 0;
    std::deque<queued_request> waiting;
  };
  /// The workspace whose turn it is, in either kind of map.
  template <typename Lines>
  static auto turn(Lines& lines);

  std::map<std::string, line> lines;
  double virtual_time = 0;
  size_t count = 0;
};

/// A token bucket on the caller's clock.
class token_bucket {
 public:
  token_bucket() = default;
  /// `rate` tokens a second, at most `burst` saved.
  token_bucket(double rate, double burst)
      : rate(rate), burst(burst), tokens(burst) {}

  /// Takes `amount` tokens if there are as many.
  bool take(double amount, absl::Time now);

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
