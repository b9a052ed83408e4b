// How the body of a server's response was delimited and how it ended.
#pragma once

#include <compare>
#include <cstddef>

namespace spokesail {

/// How the end of a body is found.
enum class body_framing {
  /// The response has no body.
  none,
  length,
  chunked,
  /// The body ends with the connection.
  until_close
};

/// How reading of a body ended.
enum class body_end {
  /// It has not ended.
  open,
  /// Its framing is complete: its length was read, its last chunk, or it has
  /// none.
  framed,
  /// The connection was closed in an orderly way, which ends a body without a
  /// length.
  closed,
  /// The connection failed: by a reset, a time limit, or a close before the end
  /// that the framing announced.
  failed
};

/// Name of a framing, for logs and metrics.
const char* body_framing_name(body_framing framing);
/// Name of an end, for logs and metrics.
const char* body_end_name(body_end end);

/// What was observed of a response's body.
struct body_evidence {
  body_framing framing = body_framing::none;
  body_end end = body_end::open;
  /// Of a stream: bytes after its last whole event.
  size_t unfinished_bytes = 0;
  auto operator<=>(const body_evidence&) const = default;
};

}  // namespace spokesail
