// One connection of a caller.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>

#include "node-context.h"

namespace spokesail {

/// What a connection waits for.
enum class session_phase { idle, reading, serving, closing };

/// Reads a caller's requests and has each of them served, one after the other.
class caller_session : public std::enable_shared_from_this<caller_session> {
 public:
  caller_session(node_context& node, boost::asio::ip::tcp::socket socket);
  ~caller_session();
  caller_session(const caller_session&) = delete;
  caller_session& operator=(const caller_session&) = delete;

  /// Serves the connection until it ends.
  boost::asio::awaitable<void> run();

  /// Closes the connection if what it waits for is overdue.
  void check_limit(absl::Time now);

  /// Sends a whole answer. False if the caller is gone.
  boost::asio::awaitable<bool> write(http_response& response);

  /// Ends the connection such that an answer on its way cannot look whole.
  void break_off();

  node_context& node;
  boost::asio::ip::tcp::socket socket;
  /// The exchange that serves the current request; null while there is none.
  exchange* current = nullptr;
  /// Whether the caller has closed the connection.
  bool gone = false;
  session_phase phase = session_phase::idle;

 private:
  boost::asio::awaitable<bool> serve_one();
  boost::asio::awaitable<void> refuse(unsigned status, const char* reason);
  boost::asio::awaitable<void> close_after_answer();
  void watch_caller();

  boost::beast::flat_buffer buffer;
  absl::Time limit = absl::InfiniteFuture();
};

}  // namespace spokesail
