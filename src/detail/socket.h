// Utilities for TCP sockets on the event loop.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace spokesail::detail {

/// Completion token that returns the error code instead of throwing it.
inline constexpr auto use_tuple =
    boost::asio::as_tuple(boost::asio::use_awaitable);

/// Whether an idle connection is still open and has no bytes to read. Sets the
/// socket to non-blocking mode.
inline bool is_open_and_idle(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code error;
  char byte = 0;
  socket.non_blocking(true, error);
  socket.receive(boost::asio::buffer(&byte, 1),
                 boost::asio::ip::tcp::socket::message_peek, error);
  return error == boost::asio::error::would_block;
}

/// Closes a socket and ignores errors, such as that it is closed already.
inline void close_ignoring_errors(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.close(ignored);
}

}  // namespace spokesail::detail
