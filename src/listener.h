// Opens listening sockets.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "node-context.h"

namespace spokesail {

/// Binds an address and listens on it. Returns false and logs the error if that
/// fails.
bool open_listener(boost::asio::ip::tcp::acceptor& acceptor,
                   const std::string& address, node_context& node);

}  // namespace spokesail
