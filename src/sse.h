// Server-sent events, in the form that model engines stream.
#pragma once

#include <functional>
#include <string>

namespace spokesail {

/// Incremental parser that splits a byte stream into the data of its events.
class sse_parser {
 public:
  /// Adds bytes and calls `on_data` for the data of each event they complete.
  /// Returns false if `on_data` did or an event is too large.
  bool feed(const char* data, size_t size,
            const std::function<bool(const std::string&)>& on_data);

 private:
  std::string buffer;
};

/// Formats one event with `data`.
std::string sse_event(const std::string& data);

}  // namespace spokesail
