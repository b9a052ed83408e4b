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

/// The text of a model's answer that has come so far.
struct partial_response {
  std::string text;
  int64_t tokens = 0;
};

/// A request between its arrival and the last byte to its caller.
///
/// Only the attempt that is current may write; what a given-up attempt still
/// brings is dropped. A model's tokens are counted, so that a later attempt
/// resumes without a doubled or missing one.
class call {
 public:
  uint64_t id = 0;
  /// The request as it came.
  std::string method;
  std::string path;
  std::multimap<std::string, std::string> headers;
  std::string body;
  bool model_call = false;
  bool streamed = false;
  bool forwarded = false;
  std::string model;
  absl::Time arrived;

  /// The caller has this much of the answer already, from elsewhere.
  void resume_from(const partial_response& had);

  /// Makes `attempt` the current one.
  void begin(const std::string& attempt);

  /// The attempt's answer has begun. False if it is not current.
  bool head(const std::string& attempt, const exchange_head& head);

  /// More of a plain answer. False if not current or too large.
  bool append_plain(const std::string& attempt, const char* data, size_t size);

  /// One event of a model's stream. False if not current or out of order.
  bool append_event(const std::string& attempt, const std::string& data);

  /// Whether the model's answer came to its end mark or is no stream at all.
  bool complete(const std::string& attempt) const;

  /// The request's end.
  void finish(const outcome& result);

  /// What has come of the model's answer.
  partial_response received_so_far() const;

  /// Waits until there is something to send first: bytes of a stream, or the
  /// end. Gives the end, if it came.
  std::optional<outcome> wait_for_output();

  /// Takes bytes for the caller; waits for them up to `limit`. Empty if none
  /// came. `ended` tells whether the request has ended.
  std::string take(absl::Duration limit, bool& ended);

  std::optional<outcome> result() const;
  exchange_head answer_head() const;
  /// The whole of a plain answer.
  std::string plain_body() const;
  /// What ended a model's answer, such as "stop".
  std::string finish_reason() const;
  /// Whether a byte of the answer has come.
  bool begun() const;

 private:
  bool pending() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

  mutable absl::Mutex mutex;
  std::string current ABSL_GUARDED_BY(mutex);
  exchange_head received_head ABSL_GUARDED_BY(mutex);
  bool event_stream ABSL_GUARDED_BY(mutex) = false;
  bool end_mark ABSL_GUARDED_BY(mutex) = false;
  std::string plain ABSL_GUARDED_BY(mutex);
  std::string outgoing ABSL_GUARDED_BY(mutex);
  partial_response partial ABSL_GUARDED_BY(mutex);
  std::string stop_reason ABSL_GUARDED_BY(mutex);
  std::optional<outcome> end ABSL_GUARDED_BY(mutex);
  bool any ABSL_GUARDED_BY(mutex) = false;
};

}  // namespace spokesail
