// Marks the end of what a proxy has carried.
#pragma once

#include <string>
#include <string_view>

#include "spokesail/hash.h"

namespace spokesail {

/// A new mark, chosen by the node that asks for a tunnel. It cannot be guessed
/// by servers, which do not see it.
std::string make_end_mark(random_stream& random);

/// Finds a mark at the end of the bytes that came through a tunnel. A proxy
/// sends the mark only after its server has closed the connection in an orderly
/// way, so that neither a reset nor the end of the proxy looks like such a
/// close.
class end_mark_filter {
 public:
  /// Longest mark, in bytes.
  static constexpr size_t max_mark_bytes = 64;

  /// Without a mark, all bytes are passed on.
  explicit end_mark_filter(std::string mark = "") : mark(std::move(mark)) {}

  /// Appends the bytes to `out`, but for those at the end that may belong to
  /// the mark.
  void feed(std::string_view bytes, std::string& out);

  /// Whether the bytes so far end with the mark.
  bool marked() const {
    return !this->mark.empty() && this->held == this->mark;
  }

 private:
  std::string mark;
  /// The longest end of the bytes so far that the mark begins with.
  std::string held;
};

}  // namespace spokesail
