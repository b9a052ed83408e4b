#include "spokesail/hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdio>

namespace spokesail {

uint64_t stable_hash(std::string_view text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::vector<std::string> rendezvous(const std::string& key,
                                    const std::vector<std::string>& names,
                                    size_t count) {
  struct scored {
    uint64_t score;
    const std::string* name;
  };
  std::vector<scored> all;
  all.reserve(names.size());
  const uint64_t seed = stable_hash(key);
  for (const auto& name : names)
    all.push_back({stable_hash(name, seed), &name});
  std::sort(all.begin(), all.end(), [](const scored& a, const scored& b) {
    return a.score != b.score ? a.score > b.score : *a.name < *b.name;
  });
  std::vector<std::string> best;
  for (size_t i = 0; i < all.size() && i < count; i++) {
    best.push_back(*all[i].name);
  }
  return best;
}

std::string hex_digest(std::string_view text) {
  const XXH128_hash_t h = XXH3_128bits(text.data(), text.size());
  char out[33];
  std::snprintf(out, sizeof(out), "%016llx%016llx",
                static_cast<unsigned long long>(h.high64),
                static_cast<unsigned long long>(h.low64));
  return out;
}

uint64_t random_stream::below(uint64_t bound) {
  if (bound == 0) return 0;
  return std::uniform_int_distribution<uint64_t>(0, bound - 1)(this->engine);
}

double random_stream::unit() {
  return std::uniform_real_distribution<double>(0, 1)(this->engine);
}

}  // namespace spokesail
