// Assembles a list of all servers from ranges of their ids.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "spokesail/server-directory.h"

namespace spokesail {

/// A state that lists all servers.
struct listed_state {
  /// All servers as of this revision are listed.
  int64_t revision = 0;
  /// All removals after this revision are known.
  int64_t removals_since = 0;
  bool operator==(const listed_state&) const = default;
};

/// The ranges of ids whose servers were received. Each holds by itself, so that
/// ranges of different lists add up, in any order.
class range_coverage {
 public:
  /// Adds a range whose servers are known as of `state`.
  void add(const id_range& ids, const listed_state& state);

  /// The revision of the newest range with an id; 0 if there is none.
  int64_t revision_of(const std::string& id) const;

  /// The state as of which all ids are covered; nothing if some are not.
  std::optional<listed_state> complete() const;

  /// Drops the ranges that are not newer than `revision`.
  void drop_up_to(int64_t revision);

 private:
  struct range {
    id_range ids;
    listed_state state;
  };
  /// The newest range that contains an id; null if there is none.
  const range* newest_with(const std::string& id) const;
  std::vector<range> ranges;
};

}  // namespace spokesail
