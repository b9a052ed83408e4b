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
  /// Whether the close was the server's own: the connection was direct, or the
  /// proxy says so.
  bool close_confirmed = true;
  /// Whether it is a stream of events.
  bool event_stream = false;
  /// Of a stream: whether a whole event has come.
  bool events_seen = false;
  /// Whether the stream resumes an earlier one, which may have no event left.
  bool resumes = false;
  /// Of a stream: bytes of an event or a line that has not ended.
  size_t unfinished_bytes = 0;
  auto operator<=>(const body_evidence&) const = default;
};

/// Why a body is not known to be whole; nullptr if it is. Only a whole body may
/// be passed on in a way that looks whole to its reader. A stream that ends
/// inside an event is broken off in every framing. A body that ends with its
/// connection is whole if its server closed the connection in an orderly way,
/// since such a body has no other end.
const char* reason_incomplete(const body_evidence& body);

}  // namespace spokesail
