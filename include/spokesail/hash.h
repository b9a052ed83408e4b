// Hashes that are stable across nodes and runs, and seeded random numbers.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace spokesail {

/// A 64-bit hash of `text` (XXH3), the same on all nodes.
uint64_t stable_hash(std::string_view text, uint64_t seed = 0);

/// Rendezvous hashing: the `count` names with the highest hash combined with
/// `key`, highest first. Removing a name remaps only the keys assigned to it.
std::vector<std::string> rendezvous(const std::string& key,
                                    const std::vector<std::string>& names,
                                    size_t count);

/// A 128-bit hash of `text` as 32 hex digits.
std::string hex_digest(std::string_view text);

/// A seeded random generator with value semantics, so that a run can be
/// replayed.
struct random_stream {
  std::mt19937_64 engine;
  bool operator==(const random_stream&) const = default;

  /// A random number in [0, bound); 0 if `bound` is 0.
  uint64_t below(uint64_t bound);
  /// A random number in [0, 1).
  double unit();
};

}  // namespace spokesail
