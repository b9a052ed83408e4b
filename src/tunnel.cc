#include "tunnel.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>
#include <vector>

#include "detail/socket-deadline.h"
#include "detail/socket.h"
#include "end-mark.h"
#include "http-fetch.h"
#include "response-reader.h"

namespace spokesail {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using detail::use_tuple;
using net::ip::tcp;

constexpr char lifetime_header[] = "Lifetime-Ms";
constexpr char end_mark_header[] = "End-Mark";

/// Time in which a proxy connects to a server; below the time that the node
/// which asked waits for all its attempts.
constexpr absl::Duration connect_timeout = absl::Milliseconds(50);

/// Longest lifetime of a tunnel that is granted.
constexpr absl::Duration max_lifetime = absl::Minutes(10);

/// Statuses with which a tunnel is refused: the server is down; it is not
/// reached, perhaps because of this node's links; this node grants no tunnel to
/// any server.
constexpr unsigned bad_gateway = 502;
constexpr unsigned gateway_timeout = 504;
constexpr unsigned unavailable = 503;

/// Maximum size of one read.
constexpr size_t read_size = 16 << 10;

}  // namespace

net::awaitable<tunnel_result> open_tunnel(tcp::socket& socket,
                                          const std::string& proxy_address,
                                          const tunnel_request& asked,
                                          byte_budget& incoming) {
  const auto error = co_await connect_to(socket, proxy_address);
  if (error) co_return tunnel_result::unavailable;
  http::request<http::empty_body> request(http::verb::connect, asked.address,
                                          http_11);
  request.set(http::field::host, asked.address);
  request.set(lifetime_header,
              absl::StrCat(absl::ToInt64Milliseconds(asked.lifetime)));
  if (!asked.end_mark.empty()) request.set(end_mark_header, asked.end_mark);
  auto [failed, sent] = co_await http::async_write(socket, request, use_tuple);
  if (failed) co_return tunnel_result::unavailable;
  http::response_parser<http::empty_body> parser;
  parser.skip(true);
  boost::beast::flat_buffer buffer;
  answer_charge held(incoming);
  const auto [unread, size] =
      co_await read_response_head(socket, buffer, parser, held);
  if (unread) co_return tunnel_result::unavailable;
  switch (parser.get().result()) {
    case http::status::ok:
      // A server sends nothing before it gets a request.
      co_return buffer.size() == 0 ? tunnel_result::open
                                   : tunnel_result::unavailable;
    case http::status::bad_gateway:
      co_return tunnel_result::server_unreachable;
    case http::status::gateway_timeout:
      co_return tunnel_result::not_reached;
    default:
      co_return tunnel_result::unavailable;
  }
}

/// A connection of another node to a server.
struct tunnel_service::tunnel {
  tunnel(node_context& node, std::string to, std::shared_ptr<tcp::socket> from)
      : address(std::move(to)),
        peer(std::move(from)),
        server(std::make_shared<tcp::socket>(node.loop)),
        held(node.incoming) {
    this->parser.skip(true);
  }

  /// Closes both connections. Any close resets that to the other node, also one
  /// at a time limit or at the end of this process.
  void close() {
    detail::close_ignoring_errors(*this->peer);
    detail::close_ignoring_errors(*this->server);
  }

  const std::string address;
  /// Sent after an orderly close by the server; empty if none was asked for.
  std::string end_mark;
  /// Whether the response ends with its connection. A mark after any other one
  /// could stand for what is missing of its body.
  bool until_close = false;
  /// Whether the server has closed its connection in an orderly way.
  bool response_ended = false;
  server_instance instance;
  std::shared_ptr<tcp::socket> peer;
  std::shared_ptr<tcp::socket> server;
  /// When the server last sent something, or the connection was opened.
  absl::Time last_heard;
  /// The head of the server's response.
  http::response_parser<http::empty_body> parser;
  response_head_reader reader;
  boost::beast::flat_buffer head;
  answer_charge held;
  bool head_observed = false;
};

std::optional<server_instance> tunnel_service::find_server(
    const std::string& address) const {
  for (const auto& [id, server] : this->node.directory.servers()) {
    if (server.entry.address == address)
      return server_instance{id, server.entry.incarnation};
  }
  return std::nullopt;
}

std::pair<unsigned, const char*> tunnel_service::admit(
    const std::string& address) const {
  const absl::Time now = this->node.now();
  if (this->node.stopping()) return {unavailable, "node is stopping"};
  if (!this->node.reachability.may_proxy(address, now)) {
    const server_reachability& view = this->node.reachability;
    const unsigned status = view.in_doubt(now) ? unavailable
                            : view.server_failed(address, now)
                                ? bad_gateway
                                : gateway_timeout;
    return {status, "server is out of reach"};
  }
  if (!this->node.has_socket_for_tunnel())
    return {unavailable, "too many connections"};
  const auto server = this->find_server(address);
  if (!server) return {gateway_timeout, "no such server"};
  const char* reason = this->node.reason_to_withhold(*server);
  if (reason != nullptr) return {gateway_timeout, reason};
  return {200, ""};
}

net::awaitable<void> tunnel_service::answer(tcp::socket& peer, unsigned status,
                                            const char* reason) {
  http::response<http::empty_body> response(static_cast<http::status>(status),
                                            http_11);
  if (status != 200) {
    response.set("Reason", reason);
    response.keep_alive(false);
  }
  co_await http::async_write(peer, response, use_tuple);
}

net::awaitable<bool> tunnel_service::connect(tunnel& t) {
  const absl::Time begun = this->node.now();
  boost::system::error_code error;
  {
    const detail::socket_deadline deadline(
        t.server, connect_timeout + this->node.loop_delay);
    error = co_await this->node.dialer->dial(*t.server, t.address);
  }
  const absl::Time now = this->node.now();
  t.last_heard = now;
  this->node.reachability.on_attempt(
      t.address, {error ? direct_result::failed : direct_result::connected,
                  begun, now, error == net::error::operation_aborted});
  co_return !error;
}

net::awaitable<unsigned> tunnel_service::failure_status() {
  const absl::Time failed_at = this->node.now();
  co_await this->node.connector.verify_links(failed_at);
  const server_reachability& view = this->node.reachability;
  if (view.in_doubt(this->node.now())) co_return unavailable;
  co_return view.last_heard() < failed_at ? gateway_timeout : bad_gateway;
}

net::awaitable<void> tunnel_service::serve(std::shared_ptr<tcp::socket> peer,
                                           http_request request) {
  const std::string address(request.target());
  const auto [status, reason] = this->admit(address);
  int64_t lifetime_ms = 0;
  const bool valid =
      absl::SimpleAtoi(std::string(request[lifetime_header]), &lifetime_ms) &&
      lifetime_ms > 0;
  if (status != 200 || !valid) {
    this->node.metrics.count_tunnel("refused");
    co_await this->answer(*peer, status == 200 ? 400 : status, reason);
    co_return;
  }
  boost::system::error_code ignored;
  peer->set_option(tcp::no_delay(true), ignored);
  const auto t = std::make_shared<tunnel>(this->node, address, peer);
  t->instance = *this->find_server(address);
  const std::string end_mark(request[end_mark_header]);
  if (end_mark.size() <= end_mark_filter::max_mark_bytes)
    t->end_mark = end_mark;
  const bool connected = co_await this->connect(*t);
  if (!connected) {
    this->node.metrics.count_tunnel("not_connected");
    co_await this->answer(*peer, co_await this->failure_status(),
                          "server not reached");
    co_return;
  }
  const absl::Duration lifetime =
      std::min(absl::Milliseconds(lifetime_ms), max_lifetime);
  const detail::socket_deadline peer_deadline(t->peer, lifetime);
  const detail::socket_deadline server_deadline(t->server, lifetime);
  this->tunnels.insert(t.get());
  this->node.tunnel_count = this->tunnels.size();
  this->node.metrics.count_tunnel("open");
  co_await this->answer(*peer, 200, "");
  peer->set_option(net::socket_base::linger(true, 0), ignored);
  net::co_spawn(this->node.loop, this->forward_response(t), net::detached);
  co_await this->forward_request(t);
  this->tunnels.erase(t.get());
  this->node.tunnel_count = this->tunnels.size();
}

net::awaitable<void> tunnel_service::forward_request(
    std::shared_ptr<tunnel> t) {
  std::vector<char> bytes(read_size);
  for (;;) {
    auto [error, size] =
        co_await t->peer->async_read_some(net::buffer(bytes), use_tuple);
    if (error) break;
    auto [failed, sent] = co_await net::async_write(
        *t->server, net::buffer(bytes.data(), size), use_tuple);
    if (failed) break;
  }
  t->close();
}

net::awaitable<void> tunnel_service::forward_response(
    std::shared_ptr<tunnel> t) {
  std::vector<char> bytes(read_size);
  for (;;) {
    auto [error, size] =
        co_await t->server->async_read_some(net::buffer(bytes), use_tuple);
    t->response_ended = error == net::error::eof;
    if (error) break;
    t->last_heard = this->node.now();
    this->node.reachability.on_heard(t->address, t->last_heard);
    this->observe_response(*t, bytes.data(), size);
    auto [failed, sent] = co_await net::async_write(
        *t->peer, net::buffer(bytes.data(), size), use_tuple);
    if (failed) break;
  }
  if (!t->response_ended) {
    t->close();
    co_return;
  }
  const std::string mark = t->until_close ? t->end_mark : "";
  auto [failed, sent] =
      co_await net::async_write(*t->peer, net::buffer(mark), use_tuple);
  // The other node closes once it has read all; a close before could discard
  // what is still on the way.
  boost::system::error_code ignored;
  if (!failed) t->peer->shutdown(tcp::socket::shutdown_send, ignored);
}

void tunnel_service::observe_response(tunnel& t, const char* data,
                                      size_t size) {
  if (t.head_observed) return;
  auto space = t.head.prepare(size);
  net::buffer_copy(space, net::buffer(data, size));
  t.head.commit(size);
  const auto error = t.reader.parse(t.head, t.parser);
  const bool goes_on = error == http::error::need_more;
  if (goes_on && t.held.try_hold(t.head.size())) return;
  t.head_observed = true;
  t.head = {};
  t.held.set(0);
  if (error) return;
  t.until_close = !t.parser.chunked() && !t.parser.content_length();
  const auto& head = t.parser.get().base();
  this->node.note_server_state(
      t.instance,
      this->node.adapter.read_response_head(head.result_int(), head));
}

void tunnel_service::check(absl::Time now) {
  const std::vector<tunnel*> all(this->tunnels.begin(), this->tunnels.end());
  for (tunnel* t : all) {
    const bool lost =
        !t->response_ended &&
        this->node.reachability.connection_lost(t->address, t->last_heard, now);
    if (lost) t->close();
  }
}

}  // namespace spokesail
