#include "detail/http.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "detail/port.h"
#include "spokesail/response-head.h"

namespace spokesail::detail {
namespace {

/// Number of threads that reject connections beyond the limit.
constexpr size_t overflow_threads = 4;

constexpr int overflow_tag = 1;

/// Splits "HOST:PORT", where an IPv6 address is in brackets. The port is 80 if
/// there is none, and 0, to which nothing connects, if it is out of range.
std::pair<std::string, int> split_address(const std::string& address) {
  constexpr int default_port = 80;
  const size_t colon = address.find(':', address.rfind(']') + 1);
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);
  if (colon == std::string::npos) return {host, default_port};
  const auto port = parse_port(std::string_view(address).substr(colon + 1));
  return {host, port.value_or(0)};
}

}  // namespace

std::unique_ptr<httplib::Client> make_client(const std::string& address,
                                             absl::Duration connect,
                                             absl::Duration idle) {
  const auto [host, port] = split_address(address);
  auto client = std::make_unique<httplib::Client>(host, port);
  client->set_tcp_nodelay(true);
  client->set_keep_alive(true);
  client->set_connection_timeout(absl::ToChronoMicroseconds(connect));
  client->set_read_timeout(absl::ToChronoMicroseconds(idle));
  client->set_write_timeout(absl::ToChronoMicroseconds(idle));
  return client;
}

bool never_sent(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

bool is_response(const httplib::Response& response) {
  return is_status(response.status) &&
         std::all_of(response.headers.begin(), response.headers.end(),
                     [](const auto& field) {
                       return is_field_name(field.first) &&
                              is_field_value(field.second);
                     });
}

httplib::Result send_bounded(httplib::Client& client, httplib::Request request,
                             size_t max_body) {
  std::string body;
  request.response_handler = is_response;
  request.content_receiver = [&](const char* data, size_t size, uint64_t,
                                 uint64_t) {
    body.append(data, size);
    return body.size() <= max_body;
  };
  httplib::Result result = client.send(request);
  if (result) result->body = std::move(body);
  return result;
}

httplib::Request json_request(const char* method, const std::string& path,
                              std::string body) {
  httplib::Request out;
  out.method = method;
  out.path = path;
  out.body = std::move(body);
  if (!out.body.empty()) out.set_header("Content-Type", "application/json");
  return out;
}

connection_threads::connection_threads(size_t limit)
    : normal(limit), overflow(overflow_threads, overflow_tag) {}

void connection_threads::enqueue(std::function<void()> fn) {
  if (this->normal.try_add(fn)) return;
  this->overflow.add(std::move(fn));
}

void connection_threads::shutdown() {
  this->normal.stop();
  this->overflow.stop();
}

bool connection_threads::beyond_limit() {
  return worker_pool::current_tag() == overflow_tag;
}

}  // namespace spokesail::detail
