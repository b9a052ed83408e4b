// Bounds how often requests are sent again, by service, as a node's share of
// a budget that all nodes spend together.
#pragma once

#include <absl/time/time.h>

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace spokesail {

/// The fleet's budget: in any window, repeats at a service stay within
/// `ratio` of the requests for it plus `slack`.
struct retry_limits {
  double ratio = 0.2;
  absl::Duration window = absl::Seconds(10);
  /// In requests.
  double slack = 0;
  bool operator==(const retry_limits&) const = default;
};

/// A service's budget at one node, as it stands.
struct retry_usage {
  /// Callers' requests, and repeats that were sent, within the window.
  int requests = 0;
  int retries = 0;
  /// Repeats that are reserved and not sent yet.
  int reserved = 0;
  /// Repeats that are left now.
  double left = 0;
  bool operator==(const retry_usage&) const = default;
};

class retry_reservation;

/// One node's part. A node may repeat `ratio` of its own requests and an equal
/// part of the slack, so that the sum over all nodes keeps the budget whatever
/// the others do. A process does not know what the one before it spent; until
/// the window has passed it takes that for all that a node may spend, and
/// spends no slack.
class retry_budget {
 public:
  /// `started` is when the process began.
  retry_budget(retry_limits limits, absl::Time started)
      : limits(limits), started(started) {}

  /// Takes note of a caller's request.
  void count_request(const std::string& service, absl::Time now);

  /// Sets one repeat aside; nothing if none is left. `nodes` is the most nodes
  /// that may share the slack; nothing of it is used if that is not known. The
  /// budget must outlive the reservation.
  std::optional<retry_reservation> reserve(const std::string& service,
                                           std::optional<int> nodes,
                                           absl::Time now);

  /// How a service's budget stands.
  retry_usage account(const std::string& service, std::optional<int> nodes,
                      absl::Time now);

 private:
  friend class retry_reservation;
  /// A service's requests and repeats within the window.
  struct history {
    std::deque<absl::Time> requests;
    std::deque<absl::Time> retries;
    int reserved = 0;
  };
  /// A service's history without what is older than the window.
  history& recent(const std::string& service, absl::Time now);
  /// Repeats that this node may send within the window.
  double allowed(const history& h, std::optional<int> nodes,
                 absl::Time now) const;

  retry_limits limits;
  absl::Time started;
  std::map<std::string, history> services;
};

/// A repeat that was set aside. It goes back to the budget unless it is spent.
class retry_reservation {
 public:
  retry_reservation(retry_reservation&& other) noexcept;
  retry_reservation& operator=(retry_reservation&&) = delete;
  ~retry_reservation();

  /// Counts the repeat as sent.
  void spend(absl::Time now);

 private:
  friend class retry_budget;
  explicit retry_reservation(retry_budget::history& of);

  /// Null once it is spent or moved from.
  retry_budget::history* history;
};

}  // namespace spokesail
