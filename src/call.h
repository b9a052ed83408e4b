// One caller's request in progress: attempts write into it, the caller's
// connection reads from it.
#pragma once

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "spokesail/backend.h"
#include "sse.h"

namespace spokesail {

/// The part of a model's answer received so far.
struct partial_response {
  std::string text;
  int64_t tokens = 0;
};

/// A request from its arrival until the last byte is sent to its caller.
///
/// Only the current attempt may write; data from an abandoned attempt is
/// dropped. A model's tokens are counted, so that a later attempt resumes
/// without repeating or skipping one.
class call {
 public:
  uint64_t id = 0;
  /// The request as received.
  std::string method;
  std::string path;
  std::multimap<std::string, std::string> headers;
  std::string body;
  bool model_call = false;
  bool streamed = false;
  bool forwarded = false;
  std::string model;
  absl::Time arrived;

  /// Sets the part of the answer that the caller already has from an earlier
  /// request.
  void resume_from(const partial_response& received);

  /// Makes `attempt` the current one.
  void begin(const std::string& attempt);

  /// Stores the head of the attempt's answer. Returns false if the attempt is
  /// not current.
  bool head(const std::string& attempt, const exchange_head& head);

  /// Appends to a plain answer. Returns false if the attempt is not current or
  /// the answer is too large.
  bool append_plain(const std::string& attempt, const char* data, size_t size);

  /// Appends one event of a model's stream. Returns false if the attempt is not
  /// current or the event is out of order.
  bool append_event(const std::string& attempt, const std::string& data);

  /// Whether the model's answer has reached its end mark or is not a stream.
  bool complete(const std::string& attempt) const;

  /// Ends the request.
  void finish(const outcome& result);

  /// The part of the model's answer received so far.
  partial_response received_so_far() const;

  /// Waits until there are stream bytes to send or the request has ended.
  /// Returns the outcome if it ended with nothing to send.
  std::optional<outcome> wait_for_output();

  /// Returns the bytes to send to the caller, waiting for them up to `limit`.
  /// Empty if none came. Sets `ended` to whether the request has ended.
  std::string take(absl::Duration limit, bool& ended);

  std::optional<outcome> result() const;
  exchange_head answer_head() const;
  /// The whole of a plain answer.
  std::string plain_body() const;
  /// The finish reason of a model's answer, such as "stop".
  std::string finish_reason() const;
  /// Whether any event of the answer was received.
  bool begun() const;

 private:
  bool pending() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

  mutable absl::Mutex mutex;
  std::string current_attempt ABSL_GUARDED_BY(mutex);
  exchange_head received_head ABSL_GUARDED_BY(mutex);
  bool event_stream ABSL_GUARDED_BY(mutex) = false;
  bool end_mark_received ABSL_GUARDED_BY(mutex) = false;
  std::string plain_content ABSL_GUARDED_BY(mutex);
  std::string outgoing ABSL_GUARDED_BY(mutex);
  partial_response partial ABSL_GUARDED_BY(mutex);
  std::string stop_reason ABSL_GUARDED_BY(mutex);
  std::optional<outcome> final_outcome ABSL_GUARDED_BY(mutex);
  bool any_received ABSL_GUARDED_BY(mutex) = false;
};

}  // namespace spokesail
