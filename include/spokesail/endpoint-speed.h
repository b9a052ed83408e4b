// How slow a group or plain server is to one node.
#pragma once

#include <string>

namespace spokesail {

/// What one node has seen of a group or plain server of late.
struct endpoint_speed {
  /// Name of the group, or id of the server.
  std::string endpoint;
  /// How much longer it takes than others of its kind, failures included; above
  /// 1 if slower.
  double slowness = 1;
  /// Requests that this is from, older ones counted for less.
  int samples = 0;
  bool operator==(const endpoint_speed&) const = default;
};

}  // namespace spokesail
