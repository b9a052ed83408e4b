// Opens TCP connections to backend servers.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <string>

namespace spokesail {

/// Opens connections to backend servers over this node's own network links.
class server_dialer {
 public:
  virtual ~server_dialer() = default;

  /// Connects an unused socket to "A.B.C.D:PORT". Returns the error, if any.
  virtual boost::asio::awaitable<boost::system::error_code> dial(
      boost::asio::ip::tcp::socket& socket, std::string address) = 0;
};

/// Connects over TCP.
class tcp_dialer final : public server_dialer {
 public:
  boost::asio::awaitable<boost::system::error_code> dial(
      boost::asio::ip::tcp::socket& socket, std::string address) override;
};

}  // namespace spokesail
