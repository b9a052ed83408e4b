// Forwards bytes between two connections, with delays and interruptions.
#include "fault-proxy.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include "detail/socket.h"
#include "fleet-loop.h"
#include "http-fetch.h"

namespace spokesail::soak {
namespace {

namespace net = boost::asio;
using detail::use_tuple;
using net::ip::tcp;
using standin::sleep_for;

constexpr size_t buffer_size = 16384;
/// Interval at which a proxy checks whether it may forward bytes again.
constexpr absl::Duration poll_interval = absl::Milliseconds(10);

tcp::endpoint endpoint_of(const std::string& address) {
  boost::system::error_code error;
  return parse_endpoint(address, error);
}

}  // namespace

fault_proxy::fault_proxy(net::io_context& io, const std::string& from,
                         const std::string& to)
    : loop(io), acceptor(io, endpoint_of(from)), target(endpoint_of(to)) {}

void fault_proxy::start() {
  net::co_spawn(this->loop, this->accept(), net::detached);
}

void fault_proxy::reset_all() {
  for (const auto& socket : this->open) {
    boost::system::error_code ignored;
    socket->set_option(net::socket_base::linger(true, 0), ignored);
    detail::close_ignoring_errors(*socket);
  }
}

net::awaitable<void> fault_proxy::accept() {
  for (;;) {
    auto [error, socket] = co_await this->acceptor.async_accept(use_tuple);
    if (error) co_return;
    auto client = std::make_shared<tcp::socket>(std::move(socket));
    net::co_spawn(this->loop, this->serve(client), net::detached);
  }
}

net::awaitable<void> fault_proxy::serve(socket_ptr client) {
  auto upstream = std::make_shared<tcp::socket>(this->loop);
  auto [error] = co_await upstream->async_connect(this->target, use_tuple);
  if (error) {
    boost::system::error_code ignored;
    client->set_option(net::socket_base::linger(true, 0), ignored);
    co_return;
  }
  this->open.insert(client);
  this->open.insert(upstream);
  net::co_spawn(this->loop,
                this->forward(client, upstream, &proxy_faults::hold_to_target),
                net::detached);
  co_await this->forward(upstream, client, &proxy_faults::hold_to_client);
}

net::awaitable<void> fault_proxy::forward(socket_ptr from, socket_ptr to,
                                          bool proxy_faults::*hold) {
  std::array<char, buffer_size> bytes;
  for (;;) {
    auto [error, size] =
        co_await from->async_read_some(net::buffer(bytes), use_tuple);
    while (this->faults.*hold) co_await sleep_for(poll_interval);
    if (error) break;
    if (this->faults.delay > absl::ZeroDuration()) {
      co_await sleep_for(this->faults.delay);
    }
    auto [failed, sent] = co_await net::async_write(
        *to, net::buffer(bytes.data(), size), use_tuple);
    if (failed) break;
  }
  // The end of one direction closes the whole connection: neither side uses
  // half-closed connections.
  boost::system::error_code ignored;
  to->shutdown(tcp::socket::shutdown_both, ignored);
  detail::close_ignoring_errors(*from);
  this->open.erase(from);
}

}  // namespace spokesail::soak
