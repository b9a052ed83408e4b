// Chooses the serving group or service host that receives a request.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "spokesail/hash.h"

namespace spokesail {

/// A candidate for a request.
struct route_option {
  std::string name;
  /// Requests that this node has running there.
  int in_flight = 0;
  /// All requests there, as last reported, with a lag.
  int reported = 0;
  /// Requests that it runs at once.
  int capacity = 1;
  /// Part of the capacity that this node may use regardless of the report.
  int share = 1;
  bool operator==(const route_option&) const = default;
};

/// Whether this node may send one more request there.
bool has_room(const route_option& option);

/// Chooses among `options`. Requests with the same prefix go to the same option
/// while its load stays near the mean; other requests go to the less loaded of
/// two drawn at random. Returns nothing if all options are full.
std::optional<size_t> choose_route(const std::vector<route_option>& options,
                                   std::optional<uint64_t> prefix,
                                   random_stream& random);

}  // namespace spokesail
