// Pace at which a node looks for a relay with fresh data.
#pragma once

namespace spokesail {

/// Bounds the requests of a node whose relays turn out to be stale. When a
/// whole data hall loses the store, each of its nodes is as stale as all
/// others: without a bound, every node would go through the hall as fast as the
/// answers arrive, n * n requests in all, while none of them can help.
class relay_search {
 public:
  /// Relays that are tried in one request period beside the regular request. A
  /// node whose parent and grandparent are both stale still reaches the first
  /// of its hall within one period.
  static constexpr int max_extra_requests = 2;

  /// Starts a request period, with its regular request.
  void begin_period() { this->extra_requests = 0; }

  /// Whether another relay may be asked before the next period. If it returns
  /// true, it records that one is.
  bool try_next() {
    if (this->extra_requests >= max_extra_requests) return false;
    ++this->extra_requests;
    return true;
  }

 private:
  int extra_requests = 0;
};

}  // namespace spokesail
