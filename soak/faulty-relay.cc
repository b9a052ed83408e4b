// Passes bytes on, late or not at all.
#include "faulty-relay.h"

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

constexpr size_t piece_bytes = 16384;
/// How soon a relay notices that it may pass bytes on again.
constexpr absl::Duration look_again = absl::Milliseconds(10);

tcp::endpoint endpoint_of(const std::string& address) {
  boost::system::error_code error;
  return parse_endpoint(address, error);
}

}  // namespace

faulty_relay::faulty_relay(net::io_context& io, const std::string& from,
                           const std::string& to)
    : loop(io), acceptor(io, endpoint_of(from)), target(endpoint_of(to)) {}

void faulty_relay::start() {
  net::co_spawn(this->loop, this->accept(), net::detached);
}

void faulty_relay::reset_all() {
  for (const auto& socket : this->open) {
    boost::system::error_code ignored;
    socket->set_option(net::socket_base::linger(true, 0), ignored);
    detail::close_ignoring_errors(*socket);
  }
}

net::awaitable<void> faulty_relay::accept() {
  for (;;) {
    auto [error, socket] = co_await this->acceptor.async_accept(use_tuple);
    if (error) co_return;
    auto near = std::make_shared<tcp::socket>(std::move(socket));
    net::co_spawn(this->loop, this->serve(near), net::detached);
  }
}

net::awaitable<void> faulty_relay::serve(socket_ptr near) {
  auto far = std::make_shared<tcp::socket>(this->loop);
  auto [error] = co_await far->async_connect(this->target, use_tuple);
  if (error) {
    boost::system::error_code ignored;
    near->set_option(net::socket_base::linger(true, 0), ignored);
    co_return;
  }
  this->open.insert(near);
  this->open.insert(far);
  net::co_spawn(this->loop, this->pass(near, far, &relay_faults::hold_forth),
                net::detached);
  co_await this->pass(far, near, &relay_faults::hold_back);
}

net::awaitable<void> faulty_relay::pass(socket_ptr from, socket_ptr to,
                                        bool relay_faults::*held) {
  std::array<char, piece_bytes> bytes;
  for (;;) {
    auto [error, size] =
        co_await from->async_read_some(net::buffer(bytes), use_tuple);
    while (this->faults.*held) co_await sleep_for(look_again);
    if (error) break;
    if (this->faults.delay > absl::ZeroDuration()) {
      co_await sleep_for(this->faults.delay);
    }
    auto [failed, sent] = co_await net::async_write(
        *to, net::buffer(bytes.data(), size), use_tuple);
    if (failed) break;
  }
  // A half-closed connection ends both ways here: neither side uses it.
  boost::system::error_code ignored;
  to->shutdown(tcp::socket::shutdown_both, ignored);
  detail::close_ignoring_errors(*from);
  this->open.erase(from);
}

}  // namespace spokesail::soak
