// Checks whether a server crashed under a request.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "exchange.h"
#include "spokesail/crash-evidence.h"

namespace spokesail {

/// A trait of a request, and what the crash of its server is evidence of.
struct trait_crash {
  request_trait trait;
  server_crash crash;
};

/// An attempt whose server closed the connection early or whose group became
/// unresponsive.
struct lost_run {
  /// The content of the request, and the parts that may have caused a crash.
  std::vector<trait_crash> traits;
  endpoint_target endpoint;
  /// A member of the group that did not respond; empty if none is known.
  std::string unresponsive_member;
};

/// Probes the server of a lost attempt and records a crash under its traits if
/// the server does not answer or has restarted. The probe is needed because a
/// broken connection alone does not show that the server crashed. If a member
/// of the group is known to be unresponsive, its crash is recorded instead,
/// without a probe. No other member of the group is recorded.
boost::asio::awaitable<void> check_crash(node_context& node, lost_run run);

}  // namespace spokesail
