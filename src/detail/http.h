// HTTP utilities shared by the adapters.
#pragma once

#include <absl/time/time.h>
#include <httplib.h>

#include <memory>
#include <string>

#include "detail/worker-pool.h"

namespace spokesail::detail {

/// Names of spokesail's own headers and of the idempotency key.
inline constexpr char attempt_header[] = "X-Attempt-Id";
inline constexpr char not_started_header[] = "X-Not-Started";
inline constexpr char group_header[] = "X-Group";
inline constexpr char incarnation_header[] = "X-Incarnation";
inline constexpr char workspace_header[] = "X-Spokesail-Workspace";
inline constexpr char priority_header[] = "X-Spokesail-Priority";
inline constexpr char deadline_header[] = "X-Spokesail-Deadline-Ms";
inline constexpr char repeatable_header[] = "X-Spokesail-Repeatable";
inline constexpr char hop_header[] = "X-Spokesail-Hop";
inline constexpr char outcome_header[] = "X-Spokesail-Outcome";
inline constexpr char request_header[] = "X-Spokesail-Request";
inline constexpr char key_header[] = "Idempotency-Key";

/// Makes a client of `address` with TCP_NODELAY set. `connect` is the timeout
/// for connecting, `idle` for each read and write.
std::unique_ptr<httplib::Client> make_client(const std::string& address,
                                             absl::Duration connect,
                                             absl::Duration idle);

/// Whether a failed exchange cannot have sent any byte to the server.
bool never_sent(httplib::Error error);

/// Whether a response has a status and fields of HTTP. cpp-httplib accepts any
/// three digits, and anything before a colon as the name of a field.
bool is_response(const httplib::Response& response);

/// Sends a request and reads a body of at most `max_body` bytes. The result has
/// no response if the body is larger or if there is no response of HTTP.
httplib::Result send_bounded(httplib::Client& client, httplib::Request request,
                             size_t max_body);

/// A request with a JSON body; with none if `body` is empty.
httplib::Request json_request(const char* method, const std::string& path,
                              std::string body = "");

/// A task queue that runs each connection on a separate thread, up to a limit.
/// Connections beyond it run on a few extra threads that only reject requests.
class connection_threads final : public httplib::TaskQueue {
 public:
  explicit connection_threads(size_t limit);
  void enqueue(std::function<void()> fn) override;
  void shutdown() override;

  /// Whether the calling thread serves a connection beyond the limit.
  static bool beyond_limit();

 private:
  worker_pool normal;
  worker_pool overflow;
};

}  // namespace spokesail::detail
