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
      : timer(socket->get_executor()), lifted(std::make_shared<bool>(false)) {
    this->timer.expires_after(absl::ToChronoNanoseconds(limit));
    this->timer.async_wait(
        [socket, is_lifted = this->lifted](boost::system::error_code error) {
          if (!error && !*is_lifted) close_ignoring_errors(*socket);
        });
  }
  ~socket_deadline() { *this->lifted = true; }
  socket_deadline(const socket_deadline&) = delete;
  socket_deadline& operator=(const socket_deadline&) = delete;

 private:
  boost::asio::steady_timer timer;
  /// Shared with the handler: once the timer has expired, its handler is queued
  /// and can no longer be cancelled.
  std::shared_ptr<bool> lifted;
};

}  // namespace spokesail::detail
