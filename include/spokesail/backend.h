// Interface to backend servers: probes, orders and exchanges.
#pragma once

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "spokesail/controller.h"
#include "spokesail/presence.h"
#include "spokesail/requests.h"

namespace spokesail {

/// The result of a probe.
struct probe_result {
  bool reachable = false;
  host_report report;
  host_load load;
};

/// One HTTP request to a backend server or to another hall's entry host.
struct exchange_request {
  std::string address;
  std::string method;
  std::string path;
  std::multimap<std::string, std::string> headers;
  std::string body;
  /// Id of the attempt. It is sent in a header that the response must echo.
  std::string attempt;
  /// Whether an idle kept-alive connection may be reused.
  bool reuse_connection = true;
  absl::Duration idle_timeout = absl::Seconds(60);
};

/// Status and content type of a response.
struct exchange_head {
  int status = 0;
  std::string content_type;
};

/// Receives a response as it arrives. Returning false ends the exchange.
class exchange_sink {
 public:
  virtual ~exchange_sink() = default;
  virtual bool on_head(const exchange_head& head) = 0;
  virtual bool on_data(const char* data, size_t size) = 0;
};

/// How an exchange ended. `end` is `whole` only if the response carried the
/// attempt's id and arrived completely, by its length or its final chunk.
struct exchange_result {
  attempt_end end = attempt_end::broken;
  bool unreachable = false;
};

/// A running exchange that another thread may cancel.
class exchange_handle {
 public:
  virtual ~exchange_handle() = default;
  virtual void cancel() = 0;
};

/// Client for backend servers. All calls block and are thread-safe.
class backend_client {
 public:
  virtual ~backend_client() = default;

  virtual probe_result probe(const std::string& address, bool service,
                             absl::Duration deadline) = 0;
  virtual order_status send_order(const order& o, absl::Duration deadline) = 0;

  /// Runs one exchange to its end. `started` is called first, with the handle
  /// that cancels it.
  virtual exchange_result exchange(
      const exchange_request& request, exchange_sink& sink,
      const std::function<void(std::shared_ptr<exchange_handle>)>& started) = 0;
};

/// Creates a client for model engines and plain services over HTTP.
std::unique_ptr<backend_client> make_http_backend();

}  // namespace spokesail
