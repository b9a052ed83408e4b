// Interface of a platform adapter: translates between the platform's wire
// formats and the types of this project. Implementations make no decisions and
// hold no state.
#pragma once

#include <absl/time/time.h>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "spokesail/document.h"
#include "spokesail/routing-config.h"
#include "spokesail/server-entry.h"

namespace spokesail {

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;
using http_fields = boost::beast::http::fields;

/// HTTP/1.1 in Boost.Beast's encoding of versions.
inline constexpr unsigned http_11 = 11;

/// Kinds and names of the platform objects that a node reads.
struct platform_kinds {
  std::string config;
  /// Name of the object that holds the current configuration.
  std::string config_name;
  std::string servers;
  /// One object for each data hall that operators have evacuated, by its name.
  std::string evacuations;
  bool operator==(const platform_kinds&) const = default;
};

/// Maximum number of prompt parts that are read of one request.
inline constexpr size_t max_prompt_parts = 16;

/// The decoded headers of a caller's request.
struct caller_request {
  /// Unique for each attempt of a caller; empty if the header is missing.
  std::string id;
  /// API key of its workspace; empty if the header is missing.
  std::string key;
  /// How long the caller waits; nothing if the header is missing.
  std::optional<absl::Duration> time_limit;
  /// Empty for calls of plain services.
  std::string model;
  double prompt_tokens = 0;
  /// Ids of the parts of the prompt that other requests may have as well, in
  /// order, without repetitions. Bounded by the adapter: parts after the first
  /// `max_prompt_parts` are left out.
  std::vector<std::string> prompt_parts;
  /// Maximum number of tokens to generate.
  double max_answer_tokens = 0;
  /// The caller's estimate of the answer's length in tokens; 0 if none.
  double expected_answer_tokens = 0;
  /// Last event received of a stream that the caller resumes; -1 if none.
  int64_t last_event = -1;
  bool operator==(const caller_request&) const = default;
};

/// Contents of the headers of a request to a backend server.
struct attempt_head {
  /// Id of the server that the request is for.
  std::string server;
  /// Name of the workspace; empty if the request needs none.
  std::string workspace;
  absl::Duration time_left;
  /// 0 (highest) to 9.
  int priority = 5;
  /// The stream resumes after this event; -1 starts at the beginning.
  int64_t last_event = -1;
  bool operator==(const attempt_head&) const = default;
};

/// The decoded head of a backend server's response.
struct answer_head {
  std::string request_id;
  /// Whether the server states that it has not run the request.
  bool not_run = false;
  /// Whether the response carries the server's stamp. A response without one
  /// may not come from the server itself.
  bool has_server_stamp = false;
  /// Id or address of the server that caused a group to refuse a request; empty
  /// if unknown.
  std::string faulty_server;
  /// How long the server keeps the connection open; nothing if not stated.
  std::optional<absl::Duration> keep_alive;
  /// Advertised request rate limit across all nodes, in requests per second;
  /// nothing if the header is missing or invalid.
  std::optional<double> limit_per_s;
  /// Whether the limit header is present but invalid.
  bool limit_invalid = false;
  /// Time for which the server wants no requests from this node; nothing if the
  /// header is missing or invalid. Only set in a response that refuses.
  std::optional<absl::Duration> backoff;
  /// Whether the header of the backoff is present but invalid.
  bool backoff_invalid = false;
  /// Whether the server announces that it is about to end.
  bool leaving = false;
  bool operator==(const answer_head&) const = default;
};

/// Translates the wire formats of one platform.
class platform_adapter {
 public:
  virtual ~platform_adapter() = default;

  virtual platform_kinds kinds() const = 0;
  /// Path of the readiness check by which the platform decides whether to send
  /// connections to this node.
  virtual std::string ready_path() const = 0;

  /// Nothing if the object is not a valid configuration.
  virtual std::optional<routing_config> read_config(const object& o) const = 0;
  /// Nothing if the object is not a valid server entry; `fault` is then set to
  /// one of a few fixed reasons.
  virtual std::optional<server_entry> read_server(const object& o,
                                                  std::string& fault) const = 0;

  /// Nothing if a header value is malformed; `fault` then says which.
  virtual std::optional<caller_request> read_caller_request(
      const http_fields& head, std::string& fault) const = 0;
  /// Sets the headers of a refusal by this node: the request's id and, if above
  /// zero, the time to retry after.
  virtual void write_refusal(const std::string& request_id,
                             absl::Duration retry_after,
                             http_fields& head) const = 0;

  /// Sets the headers of an attempt on `head`, a copy of the caller's.
  virtual void write_attempt_headers(const attempt_head& attempt,
                                     http_fields& head) const = 0;
  virtual answer_head read_response_head(unsigned status,
                                         const http_fields& head) const = 0;

  virtual http_request write_order(const group_order& order) const = 0;
  virtual order_result read_order_response(
      const http_response& answer) const = 0;
  virtual http_request write_report_request(
      const std::string& server) const = 0;
  /// Nothing if the response is not a valid report.
  virtual std::optional<server_report> read_report(
      const http_response& answer) const = 0;
};

}  // namespace spokesail
