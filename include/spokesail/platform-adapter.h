// What a platform's adapter provides: translations between its wire and the
// types of this project. Implementations decide nothing and keep no state.
#pragma once

#include <absl/time/time.h>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "spokesail/document.h"
#include "spokesail/routing-config.h"
#include "spokesail/server-entry.h"

namespace spokesail {

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;
using http_fields = boost::beast::http::fields;

/// HTTP/1.1, as messages count versions.
inline constexpr unsigned http_11 = 11;

/// The kinds and names under which the platform keeps what others write.
struct platform_kinds {
  std::string config;
  /// Name of the object that holds the configuration in force.
  std::string config_name;
  std::string servers;
  /// Objects named after the data halls that operators have evacuated.
  std::string evacuations;
  bool operator==(const platform_kinds&) const = default;
};

/// What a caller's request says, decoded.
struct caller_request {
  /// Unique for each attempt of a caller; empty if it gave none.
  std::string id;
  /// Key of its workspace; empty if it gave none.
  std::string key;
  /// How long the caller waits; nothing if it does not say.
  std::optional<absl::Duration> patience;
  /// Empty for calls of plain services.
  std::string model;
  double prompt_tokens = 0;
  /// The most that it lets the model generate.
  double answer_limit = 0;
  /// The caller's own guess at the length of the answer, in tokens; 0 if none.
  double answer_hint = 0;
  /// Last event that the caller has of a stream it takes up; -1 if none.
  int64_t last_event = -1;
  bool operator==(const caller_request&) const = default;
};

/// What is set on a request to a backend server.
struct attempt_head {
  /// The server that is meant, by its id.
  std::string server;
  /// Name of the workspace; empty if the request needs none.
  std::string workspace;
  absl::Duration time_left;
  /// 0 to 9, 0 first.
  int priority = 5;
  /// The stream is to go on after this event; -1 from its start.
  int64_t last_event = -1;
  bool operator==(const attempt_head&) const = default;
};

/// What a backend server's answer says, decoded.
struct answer_head {
  std::string request_id;
  /// Whether the server says that it has not run the request.
  bool not_run = false;
  /// Whether the answer bears the server's own stamp.
  bool stamped = false;
  /// Server at fault when a group turns a request away; empty if unknown.
  std::string at_fault;
  /// How long the server keeps the connection; nothing if it does not say.
  std::optional<absl::Duration> keep_alive;
  /// Advertised request rate limit across all nodes, in requests per second;
  /// nothing if the header is missing or invalid.
  std::optional<double> limit_per_s;
  /// Whether the limit header is present but invalid.
  bool limit_unreadable = false;
  bool operator==(const answer_head&) const = default;
};

/// The translations of one platform.
class platform_adapter {
 public:
  virtual ~platform_adapter() = default;

  virtual platform_kinds kinds() const = 0;
  /// Path at which the platform asks whether this node takes connections.
  virtual std::string ready_path() const = 0;

  /// Nothing if the object is not a configuration that can be read.
  virtual std::optional<routing_config> read_config(const object& o) const = 0;
  /// Nothing if the object names no server to use, since it is not as a server
  /// writes it; `fault` then says why, in a few fixed words.
  virtual std::optional<server_entry> read_server(const object& o,
                                                  std::string& fault) const = 0;

  /// Nothing if a value is not of its form; `fault` then says which.
  virtual std::optional<caller_request> read_caller(
      const http_fields& head, std::string& fault) const = 0;
  /// Marks an answer of this node's own with the request's id and the time to
  /// come back, if that is above zero.
  virtual void write_refusal(const std::string& request_id,
                             absl::Duration retry_after,
                             http_fields& head) const = 0;

  /// Sets on `head`, a copy of the caller's, what the server is told.
  virtual void write_attempt(const attempt_head& attempt,
                             http_fields& head) const = 0;
  virtual answer_head read_answer(unsigned status,
                                  const http_fields& head) const = 0;

  virtual http_request write_order(const group_order& order) const = 0;
  virtual order_result read_order_answer(const http_response& answer) const = 0;
  virtual http_request write_report_request(
      const std::string& server) const = 0;
  /// Nothing if the answer is not a report.
  virtual std::optional<server_report> read_report(
      const http_response& answer) const = 0;
};

}  // namespace spokesail
