// Pool of idle connections to backend servers.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace spokesail {

/// Keeps connections open after a request so that another can reuse them.
class connection_pool {
 public:
  explicit connection_pool(boost::asio::any_io_executor executor)
      : executor(std::move(executor)) {}

  /// Takes an open connection to a server instance out of the pool; nullopt if
  /// there is none.
  std::optional<boost::asio::ip::tcp::socket> take(const std::string& server,
                                                   absl::Time now);

  /// Adds a connection that may be reused until `expires_at`.
  void put(const std::string& server, boost::asio::ip::tcp::socket socket,
           absl::Time expires_at);

  /// Closes all connections to a server.
  void close(const std::string& server) { this->by_server.erase(server); }

  /// Closes expired connections.
  void expire(absl::Time now);

  /// Number of connections in the pool.
  size_t size() const;

 private:
  struct idle_connection {
    boost::asio::ip::tcp::socket socket;
    absl::Time expires_at;
  };

  boost::asio::any_io_executor executor;
  std::map<std::string, std::vector<idle_connection>> by_server;
};

}  // namespace spokesail
