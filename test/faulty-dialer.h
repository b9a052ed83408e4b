// Connects a node to the servers of a small fleet over links that can fail.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>

#include "detail/socket.h"
#include "fleet-standin.h"
#include "http-fetch.h"
#include "server-dialer.h"

namespace spokesail {

/// Dials servers over the links of one node.
class faulty_dialer final : public server_dialer {
 public:
  faulty_dialer(standin::fleet_standin& fleet, std::string node)
      : fleet(fleet), node(std::move(node)) {}

  boost::asio::awaitable<boost::system::error_code> dial(
      boost::asio::ip::tcp::socket& socket, std::string address) override {
    boost::system::error_code error;
    socket.open(boost::asio::ip::tcp::v4(), error);
    if (error) co_return error;
    // Packets that open a connection are sent again while the links are silent.
    while (this->state() == standin::link_state::silent) {
      boost::asio::steady_timer timer(socket.get_executor());
      timer.expires_after(std::chrono::milliseconds(5));
      co_await timer.async_wait(detail::use_tuple);
      if (!socket.is_open()) co_return boost::asio::error::operation_aborted;
    }
    if (this->state() != standin::link_state::up) {
      co_return boost::asio::error::connection_refused;
    }
    error = co_await connect_to(socket, address);
    if (!error)
      this->fleet.links.on_dialed(this->node, socket.local_endpoint().port());
    co_return error;
  }

 private:
  standin::link_state state() const {
    return this->fleet.links.state(this->node);
  }

  standin::fleet_standin& fleet;
  const std::string node;
};

}  // namespace spokesail
