// Limits retries by service. Each node has a share of a budget that all nodes
// of the fleet use together.
#pragma once

#include <absl/time/time.h>

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace spokesail {

/// The fleet's budget: in any window, retries at a service stay within `ratio`
/// of the requests for it plus `slack`.
struct retry_limits {
  double ratio = 0.2;
  absl::Duration window = absl::Seconds(10);
  /// In requests.
  double slack = 0;
  bool operator==(const retry_limits&) const = default;
};

/// Usage of a service's budget at one node.
struct retry_usage {
  /// Callers' requests, and retries sent, within the window.
  int requests = 0;
  int retries = 0;
  /// Retries that are reserved and not sent yet.
  int reserved = 0;
  /// Retries that are left.
  double remaining = 0;
  bool operator==(const retry_usage&) const = default;
};

class retry_reservation;

/// One node's share of the budget. A node may retry `ratio` of its own requests
/// plus an equal part of the slack, so that the sum over all nodes stays within
/// the budget whatever the others do. A process does not know what its
/// predecessor used. Until one window has passed it assumes that this was the
/// node's whole share, and uses no slack.
class retry_budget {
 public:
  /// `started` is when the process began.
  retry_budget(retry_limits limits, absl::Time started)
      : limits(limits), started(started) {}

  /// Counts a caller's request.
  void count_request(const std::string& service, absl::Time now);

  /// Reserves one retry; nothing if none is left. `nodes` is the largest number
  /// of nodes that may share the slack; without it no slack is used. The budget
  /// must outlive the reservation.
  std::optional<retry_reservation> reserve(const std::string& service,
                                           std::optional<int> nodes,
                                           absl::Time now);

  /// Current usage of a service's budget.
  retry_usage usage(const std::string& service, std::optional<int> nodes,
                    absl::Time now);

 private:
  friend class retry_reservation;
  /// A service's requests and retries within the window.
  struct history {
    std::deque<absl::Time> requests;
    std::deque<absl::Time> retries;
    int reserved = 0;
  };
  /// A service's history, after entries older than the window are dropped.
  history& current_history(const std::string& service, absl::Time now);
  /// Number of retries that this node may send within the window.
  double allowance(const history& h, std::optional<int> nodes,
                   absl::Time now) const;

  retry_limits limits;
  absl::Time started;
  std::map<std::string, history> services;
};

/// A reserved retry. It returns to the budget unless it is spent.
class retry_reservation {
 public:
  retry_reservation(retry_reservation&& other) noexcept;
  retry_reservation& operator=(retry_reservation&&) = delete;
  ~retry_reservation();

  /// Counts the retry as sent.
  void spend(absl::Time now);

 private:
  friend class retry_budget;
  explicit retry_reservation(retry_budget::history& source);

  /// Null once it is spent or moved from.
  retry_budget::history* history;
};

}  // namespace spokesail
