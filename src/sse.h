// Server-sent events as model engines stream them.
#pragma once

#include <functional>
#include <string>

namespace spokesail {

/// Splits a byte stream into the data of its events.
class sse_parser {
 public:
  /// Takes bytes and calls `on_data` for the data of each event that is
  /// complete. False if `on_data` returned false or an event is too large.
  bool feed(const char* data, size_t size,
            const std::function<bool(const std::string&)>& on_data);

 private:
  std::string buffer;
};

/// One event with `data`.
std::string sse_event(const std::string& data);

}  // namespace spokesail
