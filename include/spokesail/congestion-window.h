// Bounds the questions that a node has open at once, by what is answered.
#pragma once

#include <absl/time/time.h>

#include <set>
#include <string>

namespace spokesail {

/// How many questions may be open.
struct window_limits {
  /// At the start of a term: one round of answers takes a few milliseconds of
  /// processor time, which a node on an eighth of a core has within a tenth of
  /// a second.
  double first = 32;
  /// One server in a hall of ten is asked at a time however bad it goes.
  double least = 8;
  /// A node that answers in time everywhere needs no more.
  double most = 256;
  /// After a loss the window stays for this long, since questions that were
  /// sent before it tell nothing new.
  absl::Duration min_shrink_interval = absl::Milliseconds(300);
  /// A node whose loop is later than this reads answers late. A step of a
  /// holder of 2,000 servers takes less on an eighth of a core.
  absl::Duration late = absl::Milliseconds(60);
  bool operator==(const window_limits&) const = default;
};

/// A window over open questions. It grows by one for each window of answers,
/// and by one for each answer until it first shrank. A question without an
/// answer halves it if the node was late itself: a node that asks more than it
/// can read takes its own slowness for the silence of others, and with all of
/// 931 questions at once a holder on an eighth of a core finds up to half of
/// its servers silent. Servers that are gone say nothing of the node: when a
/// tenth of them went, a window that they halved held repairs up for 1.4 s.
class congestion_window {
 public:
  explicit congestion_window(const window_limits& limits = {})
      : limits(limits), size(limits.first) {}

  /// Whether another question may be sent now.
  bool open() const {
    return static_cast<double>(this->asked.size()) < this->size;
  }
  /// Whether a question to `server` is open.
  bool asks(const std::string& server) const {
    return this->asked.count(server) != 0;
  }
  void sent(const std::string& server) { this->asked.insert(server); }
  /// Takes the end of a question, and how late the node's loop was at worst of
  /// late. False if none was open.
  bool ended(const std::string& server, bool answered,
             absl::Duration loop_delay, absl::Time now);
  double limit() const { return this->size; }

 private:
  window_limits limits;
  double size;
  bool shrunk = false;
  absl::Time shrunk_at = absl::InfinitePast();
  std::set<std::string> asked;
};

}  // namespace spokesail
