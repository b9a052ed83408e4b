// Reads what this process uses of its host.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/ip/tcp.hpp>

namespace spokesail {

/// Processor time that this process has used, in user and kernel mode.
absl::Duration used_processor_time();

/// Number of connections that wait in the queue of a listening socket; 0 if the
/// kernel does not tell.
int accept_queue_length(boost::asio::ip::tcp::acceptor& listener);

}  // namespace spokesail
