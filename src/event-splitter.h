// Splits a stream of server-sent events at event ends, bytes untouched.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace spokesail {

/// Whole events that came together.
struct event_batch {
  /// The events' bytes as they came, ends included.
  std::string bytes;
  int events = 0;
  /// Id of the last of them; -1 if none has an id.
  int64_t last_id = -1;
  bool operator==(const event_batch&) const = default;
};

/// Holds back the part of a stream that is not yet a whole event, so that
/// another server can go on after the last whole one.
class event_splitter {
 public:
  /// Largest event that is held back, in bytes.
  static constexpr size_t largest_event = 1 << 20;

  /// Takes bytes and gives the events that are whole by now. Nothing if an
  /// event is too large.
  std::optional<event_batch> feed(std::string_view bytes);

  /// Bytes of the event that is not whole.
  const std::string& rest() const { return this->pending; }

 private:
  std::string pending;
};

}  // namespace spokesail
