// Kept connections to backend servers.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace spokesail {

/// Connections that have served a request and may serve another.
class connection_pool {
 public:
  explicit connection_pool(boost::asio::any_io_executor executor)
      : executor(std::move(executor)) {}

  /// A kept connection to this start of a server that is open and silent, if
  /// there is one.
  std::optional<boost::asio::ip::tcp::socket> take(const std::string& server,
                                                   absl::Time now);

  /// Keeps a connection until `until`.
  void put(const std::string& server, boost::asio::ip::tcp::socket socket,
           absl::Time until);

  /// Closes connections that are kept no longer.
  void expire(absl::Time now);

  /// Connections that are kept.
  size_t size() const;

 private:
  struct kept {
    boost::asio::ip::tcp::socket socket;
    absl::Time until;
  };

  boost::asio::any_io_executor executor;
  std::map<std::string, std::vector<kept>> by_server;
};

}  // namespace spokesail
