// The slowness of an endpoint as seen by one node.
#pragma once

#include <string>

namespace spokesail {

/// What one node has recently seen of a group or plain server.
struct endpoint_speed {
  /// Name of the group, or id of the server.
  std::string endpoint;
  /// Its response time relative to others of its kind, failures included; above
  /// 1 if slower.
  double slowness = 1;
  /// Number of samples, older ones weighted less.
  int samples = 0;
  bool operator==(const endpoint_speed&) const = default;
};

}  // namespace spokesail
