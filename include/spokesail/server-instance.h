// Identifies one start of a server.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace spokesail {

/// A server process, identified by server id and incarnation.
struct server_instance {
  std::string server;
  /// Distinguishes restarts under the same id; 0 if unknown.
  int64_t incarnation = 0;
  auto operator<=>(const server_instance&) const = default;
};

}  // namespace spokesail
