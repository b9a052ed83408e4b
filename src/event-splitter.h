// Splits a stream of server-sent events into whole events, bytes unchanged.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace spokesail {

/// The whole events found in one read.
struct event_batch {
  /// The events' bytes as received, line ends included.
  std::string bytes;
  int events = 0;
  /// Id of the last of them; -1 if none has an id.
  int64_t last_id = -1;
  bool operator==(const event_batch&) const = default;
};

/// Holds back the incomplete last event of a stream, so that another server can
/// resume after the last whole one.
class event_splitter {
 public:
  /// Largest event that is held back, in bytes.
  static constexpr size_t max_event_bytes = 1 << 20;

  /// Adds bytes and returns the events that are now complete. Returns nothing
  /// if an event is too large.
  std::optional<event_batch> feed(std::string_view bytes);

  /// Bytes that do not belong to a whole event.
  const std::string& remainder() const { return this->pending; }

  /// Size of the remainder, or zero if a stream may end with it: it consists of
  /// whole lines with comments.
  size_t unfinished_bytes() const;

 private:
  std::string pending;
  /// Bytes of `pending` that are known to hold no end of a line.
  size_t scanned = 0;
};

}  // namespace spokesail
