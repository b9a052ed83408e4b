// Stable hashes, the same on every node and in every run.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace spokesail {

/// A 64-bit hash of `text`, the same on all nodes.
uint64_t stable_hash(std::string_view text, uint64_t seed = 0);

/// The `count` of `names` with the highest hash together with `key`
/// (rendezvous hashing), best first. A name that goes moves only its own keys.
std::vector<std::string> rendezvous(const std::string& key,
                                    const std::vector<std::string>& names,
                                    size_t count);

/// A digest of `text` as 32 hex digits.
std::string hex_digest(std::string_view text);

/// A seeded generator held as a value, so that a run replays.
struct random_stream {
  std::mt19937_64 engine;
  bool operator==(const random_stream&) const = default;

  /// A number in [0, bound); 0 for bound 0.
  uint64_t below(uint64_t bound);
  /// A number in [0, 1).
  double unit();
};

}  // namespace spokesail
