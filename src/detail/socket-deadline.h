// Timeout for a whole socket connection.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "detail/socket.h"

namespace spokesail::detail {

/// Closes a socket when its time limit ends, unless this object was destroyed
/// before.
class socket_deadline {
 public:
  socket_deadline(const std::shared_ptr<boost::asio::ip::tcp::socket>& socket,
                  absl::Duration limit)
      : timer(socket->get_executor()) {
    this->timer.expires_after(absl::ToChronoNanoseconds(limit));
    this->timer.async_wait([socket](boost::system::error_code error) {
      if (!error) close_ignoring_errors(*socket);
    });
  }

 private:
  boost::asio::steady_timer timer;
};

}  // namespace spokesail::detail
