// Limits the number of calls that a node has outstanding to servers.
#pragma once

#include <absl/time/time.h>

#include <set>
#include <string>

namespace spokesail {

/// Limits of the window, in outstanding calls.
struct window_limits {
  /// Size at the start of a term: reading one round of answers takes a few
  /// milliseconds of processor time, which a node on an eighth of a core has
  /// within a tenth of a second.
  double initial_size = 32;
  /// Lower bound after repeated losses: about one server at a time in a hall of
  /// ten.
  double min_size = 8;
  /// Upper bound; a node that reads all answers in time needs no more.
  double max_size = 256;
  /// After a loss the window is not reduced again for this long, since calls
  /// that were sent before it carry no new information.
  absl::Duration min_shrink_interval = absl::Milliseconds(300);
  /// A node whose event loop is delayed by more than this reads answers late. A
  /// step of a holder of 2,000 servers takes less on an eighth of a core.
  absl::Duration max_loop_delay = absl::Milliseconds(60);
  bool operator==(const window_limits&) const = default;
};

/// A congestion window over outstanding calls to servers. It grows by one for
/// each window of answers, and by one for each answer until it first shrinks. A
/// call without an answer halves it only if the node's own loop was delayed. A
/// node with more outstanding calls than it can read answers to wrongly finds
/// servers unresponsive: with 931 calls outstanding at once, a holder on an
/// eighth of a core finds up to half of its servers unresponsive. Servers that
/// are down do not indicate load of the node itself: when a tenth of them
/// failed and halved the window, repairs were delayed by 1.4 s.
class congestion_window {
 public:
  explicit congestion_window(const window_limits& limits = {})
      : limits(limits), size(limits.initial_size) {}

  /// Whether another call may be sent now.
  bool has_capacity() const {
    return static_cast<double>(this->outstanding.size()) < this->size;
  }
  /// Whether a call to `server` is outstanding.
  bool is_outstanding(const std::string& server) const {
    return this->outstanding.count(server) != 0;
  }
  void on_sent(const std::string& server) { this->outstanding.insert(server); }
  /// Handles the end of a call, with the worst recent delay of the node's loop.
  /// Returns false if no call to `server` was outstanding.
  bool on_ended(const std::string& server, bool answered,
                absl::Duration loop_delay, absl::Time now);
  double limit() const { return this->size; }

 private:
  window_limits limits;
  double size;
  bool shrunk = false;
  absl::Time shrunk_at = absl::InfinitePast();
  std::set<std::string> outstanding;
};

}  // namespace spokesail
