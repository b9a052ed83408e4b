// Finds out whether a server ended under a request.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>

#include "exchange.h"
#include "spokesail/crash-evidence.h"

namespace spokesail {

/// A run whose server broke off, or whose group fell silent.
struct lost_run {
  request_identity request;
  endpoint_target endpoint;
  /// How the request stood when it was lost.
  server_crash end;
  /// A member of the group that was found not to answer; empty if none was.
  std::string unresponsive_member;
};

/// Asks the run's server whether it lives. If it does not, or has started anew,
/// this is held against the request in the node's ledger: a connection that
/// breaks proves nothing by itself. Only that server, or the silent member, is
/// taken for the one that ended.
boost::asio::awaitable<void> check_crash(node_context& node, lost_run run);

}  // namespace spokesail
