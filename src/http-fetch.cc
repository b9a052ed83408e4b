// HTTP calls with deadlines over reused connections.
#include "http-fetch.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <string_view>

#include "clock.h"
#include "detail/port.h"
#include "detail/socket-deadline.h"
#include "detail/socket.h"
#include "response-reader.h"

namespace spokesail {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;
using detail::socket_deadline;
using detail::use_tuple;

/// Maximum number of bytes read that are not parsed yet. A chunk's header and
/// trailers are parsed as a whole.
constexpr size_t max_unparsed_bytes = 128 << 10;

/// Idle connections kept for one address. Each address gets few calls.
constexpr size_t max_idle_per_address = 4;

}  // namespace

tcp::endpoint parse_endpoint(const std::string& address,
                             boost::system::error_code& error) {
  const size_t colon = address.rfind(':');
  const auto port =
      colon == std::string::npos
          ? std::nullopt
          : detail::parse_port(std::string_view(address).substr(colon + 1));
  if (!port) {
    error = net::error::invalid_argument;
    return {};
  }
  const auto ip = net::ip::make_address(address.substr(0, colon), error);
  return {ip, *port};
}

net::awaitable<boost::system::error_code> connect_to(
    tcp::socket& socket, const std::string& address) {
  boost::system::error_code error;
  const auto endpoint = parse_endpoint(address, error);
  if (error) co_return error;
  auto [failed] = co_await socket.async_connect(endpoint, use_tuple);
  if (failed) co_return failed;
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  co_return failed;
}

http_fetcher::socket_ptr http_fetcher::take_idle(const std::string& address) {
  auto& available = this->idle[address];
  while (!available.empty()) {
    auto socket = available.back().socket;
    available.pop_back();
    if (detail::is_open_and_idle(*socket)) return socket;
  }
  return nullptr;
}

net::awaitable<fetch_result> http_fetcher::fetch(std::string address,
                                                 http_request request,
                                                 absl::Duration timeout,
                                                 fetch_options options) {
  fetch_result out;
  auto socket = options.reuse ? this->take_idle(address) : nullptr;
  const bool is_new = socket == nullptr;
  if (is_new) socket = std::make_shared<tcp::socket>(this->executor);
  socket_deadline deadline(socket, timeout);
  if (is_new) {
    const auto error = options.dialer == nullptr
                           ? co_await connect_to(*socket, address)
                           : co_await options.dialer->dial(*socket, address);
    if (error) {
      out.error = error.message();
      out.refused = error == net::error::connection_refused;
      co_return out;
    }
  }
  co_await this->call(address, socket, request, options, out);
  co_return out;
}

net::awaitable<void> http_fetcher::call(const std::string& address,
                                        const socket_ptr& socket,
                                        http_request& request,
                                        const fetch_options& options,
                                        fetch_result& out) {
  if (request.find(http::field::host) == request.end()) {
    request.set(http::field::host, address);
  }
  request.set(http::field::user_agent, this->agent);
  request.prepare_payload();
  out.status = fetch_status::no_response;
  auto [write_error, written] =
      co_await http::async_write(*socket, request, use_tuple);
  if (write_error) {
    out.error = write_error.message();
    co_return;
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(options.max_body);
  boost::beast::flat_buffer buffer(max_unparsed_bytes);
  answer_charge held(this->incoming);
  response_read read =
      co_await read_response_head(*socket, buffer, parser, held);
  response_body_reader body;
  while (!read.error && !parser.is_done()) {
    const size_t held_in_body = parser.get().body().capacity();
    const auto [error, size] =
        co_await body.read(*socket, buffer, parser, held, held_in_body);
    read = {error, read.size + size};
    const size_t bytes = buffer.size() + parser.get().body().capacity();
    if (!error && !held.try_hold(bytes))
      read.error = net::error::no_buffer_space;
  }
  if (read.error) {
    out.error = read.error.message();
    out.too_large = read.error == http::error::body_limit;
    out.malformed =
        is_malformed(read.error) || read.error == net::error::no_buffer_space;
    out.silent = read.error == net::error::operation_aborted && read.size == 0;
    // The idle connections to this address may be dead too, without an error so
    // far.
    this->idle.erase(address);
    co_return;
  }
  out.status = fetch_status::ok;
  const bool keep = parser.get().keep_alive() && buffer.size() == 0;
  out.response = parser.release();
  auto& available = this->idle[address];
  if (keep && available.size() < max_idle_per_address)
    available.push_back({socket, boot_now()});
}

void http_fetcher::close_idle(absl::Duration age, absl::Time now) {
  for (auto& [address, available] : this->idle) {
    std::erase_if(available,
                  [&](const auto& item) { return now - item.since > age; });
  }
  std::erase_if(this->idle,
                [](const auto& item) { return item.second.empty(); });
}

}  // namespace spokesail
