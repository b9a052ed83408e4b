// When a node reports its requests in flight to the nodes of its data hall.
#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>

namespace spokesail {

/// Paces a node's messages to its hall. Requests that it has just sent are
/// reported at once, since other nodes would otherwise choose the same endpoint
/// by stale reports; everything else waits for the period.
class gossip_pacer {
 public:
  /// Minimum time between two messages that report no new request.
  static constexpr absl::Duration min_period = absl::Milliseconds(100);
  /// The period grows with the number of nodes in the hall, so that a node
  /// sends and receives at most about this many such messages a second; the
  /// second constant bounds messages that report new requests.
  static constexpr double messages_per_s = 160;
  static constexpr double new_request_messages_per_s = 600;
  /// In a small hall, a node that died is noticed after this time at the
  /// earliest: a process may be paused for a second.
  static constexpr absl::Duration min_silence_timeout = absl::Seconds(3);
  static constexpr absl::Duration min_report_lifetime =
      absl::Milliseconds(1500);

  /// Time between two messages without new requests, with this many other
  /// nodes in the hall.
  static absl::Duration period(int peers) {
    return std::max(min_period, absl::Seconds(peers / messages_per_s));
  }

  /// How long a report counts. Spans two periods and the sender's delays, so
  /// that one lost datagram has no effect, in a hall of any size.
  static absl::Duration report_lifetime(int peers) {
    return std::max(min_report_lifetime, 2.5 * period(peers));
  }

  /// A node that has sent nothing for this long does not count as alive.
  static absl::Duration silence_timeout(int peers) {
    return std::max(min_silence_timeout, 3.5 * period(peers));
  }

  /// Whether a message is due. `begun` counts the requests that this node has
  /// sent so far, `peers` the other nodes of the hall.
  bool due(uint64_t begun, int peers, absl::Time now) const {
    const absl::Duration gap =
        absl::Seconds(peers / new_request_messages_per_s);
    const bool sent = begun != this->sent_begun;
    return now >= this->next || (sent && now - this->sent_at >= gap);
  }

  /// Records that a message was sent, or that there was nothing to send.
  void on_sent(uint64_t begun, int peers, absl::Time now) {
    this->sent_begun = begun;
    this->sent_at = now;
    this->next = now + period(peers);
  }

 private:
  uint64_t sent_begun = 0;
  absl::Time sent_at = absl::InfinitePast();
  absl::Time next = absl::InfinitePast();
};

}  // namespace spokesail
