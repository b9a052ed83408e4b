// The policies that choose a fabric domain for a new replica.
#include <algorithm>
#include <tuple>

#include "spokesail/placement.h"

namespace spokesail {
namespace {

class first_fit final : public domain_policy {
 public:
  const char* name() const override { return "first-fit"; }
  size_t choose(const std::vector<domain_supply>&, int,
                const std::vector<int>&) const override {
    return 0;
  }
};

class best_fit final : public domain_policy {
 public:
  const char* name() const override { return "best-fit"; }
  size_t choose(const std::vector<domain_supply>& supplies, int,
                const std::vector<int>&) const override {
    size_t best = 0;
    for (size_t i = 1; i < supplies.size(); i++) {
      const auto& candidate = supplies[i];
      if (candidate.free_hosts.size() < supplies[best].free_hosts.size()) {
        best = i;
      }
    }
    return best;
  }
};

/// The largest number of hosts, at most `free`, that whole replicas of `sizes`
/// can use.
int max_filled_hosts(int free, const std::vector<int>& sizes) {
  std::vector<int> max_filled(static_cast<size_t>(free) + 1, 0);
  for (int n = 1; n <= free; n++) {
    for (const int size : sizes) {
      if (size > 0 && size <= n) {
        const auto remaining = static_cast<size_t>(n - size);
        max_filled[static_cast<size_t>(n)] = std::max(
            max_filled[static_cast<size_t>(n)], max_filled[remaining] + size);
      }
    }
  }
  return max_filled[static_cast<size_t>(free)];
}

class whole_replica_fit final : public domain_policy {
 public:
  const char* name() const override { return "whole-replica"; }
  size_t choose(const std::vector<domain_supply>& supplies, int need,
                const std::vector<int>& sizes) const override {
    size_t best = 0;
    for (size_t i = 1; i < supplies.size(); i++) {
      if (this->cost(supplies[i], need, sizes) <
          this->cost(supplies[best], need, sizes)) {
        best = i;
      }
    }
    return best;
  }

 private:
  // Compared in this order: hosts that the replica makes unusable; whether it
  // takes the last spare of a larger group; free hosts, so that the fuller
  // domain is chosen and the others keep room for large replicas; warm hosts
  // that are not used.
  std::tuple<int, bool, int, int> cost(const domain_supply& supply, int need,
                                       const std::vector<int>& sizes) const {
    const int free = static_cast<int>(supply.free_hosts.size());
    const int before = free - max_filled_hosts(free, sizes);
    const int after = (free - need) - max_filled_hosts(free - need, sizes);
    const bool last_spare = free == need && supply.largest_group > need;
    return {after - before, last_spare, free, -supply.warm};
  }
};

}  // namespace

std::unique_ptr<domain_policy> make_first_fit() {
  return std::make_unique<first_fit>();
}

std::unique_ptr<domain_policy> make_best_fit() {
  return std::make_unique<best_fit>();
}

std::unique_ptr<domain_policy> make_whole_replica_fit() {
  return std::make_unique<whole_replica_fit>();
}

std::unique_ptr<domain_policy> make_policy(policy_kind kind) {
  switch (kind) {
    case policy_kind::first_fit:
      return make_first_fit();
    case policy_kind::best_fit:
      return make_best_fit();
    case policy_kind::whole_replica:
      break;
  }
  return make_whole_replica_fit();
}

}  // namespace spokesail
