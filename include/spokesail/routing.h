// Chooses the serving group or the service host that takes a request.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "spokesail/hash.h"

namespace spokesail {

/// One place that a request may go to.
struct route_option {
  std::string name;
  /// Requests that this node has running there.
  int in_flight = 0;
  /// Requests there in all, as last reported, with a lag.
  int reported = 0;
  /// Requests that the place runs at once.
  int capacity = 1;
  /// How much of the capacity this node may use without asking the report.
  int share = 1;
  bool operator==(const route_option&) const = default;
};

/// Whether this node may send one more request there.
bool has_room(const route_option& option);

/// Chooses among `options`. Requests with the same prefix go to the same
/// place as long as its load stays near the mean; the others go to the less
/// loaded of two drawn at random. Nothing if no option has room.
std::optional<size_t> choose_route(const std::vector<route_option>& options,
                                   std::optional<uint64_t> prefix,
                                   random_stream& random);

}  // namespace spokesail
