// The platform's load balancer, as seen by callers: chooses the node of a new
// connection.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "spokesail/hash.h"

namespace spokesail::standin {

/// Spreads connections over the nodes that are in, at random. During a crowd it
/// sends most first attempts to a few of them, and to others once these are
/// out. Later attempts meet nodes that the request has not met yet.
class balancer {
 public:
  balancer(size_t nodes, uint64_t seed)
      : out(nodes, false), random{std::mt19937_64(seed)} {}

  /// Sends `share` of the first attempts to `favoured` nodes; a share of 0 ends
  /// the crowd.
  void set_crowd(std::vector<size_t> favoured, double share);

  /// Takes a node out or back in. If all are out, all are used.
  void set_out(size_t node, bool is_out) { this->out[node] = is_out; }

  /// The node of the next attempt of a request that has met `tried`.
  size_t choose(const std::set<size_t>& tried);

 private:
  /// The nodes of `from` that are in and not in `tried`.
  std::vector<size_t> available(const std::vector<size_t>& from,
                                const std::set<size_t>& tried) const;
  std::vector<size_t> all_nodes() const;

  std::vector<bool> out;
  std::vector<size_t> crowded;
  double crowd_share = 0;
  random_stream random;
};

}  // namespace spokesail::standin
