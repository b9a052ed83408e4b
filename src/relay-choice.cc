// Order and tree of a data hall's relays.
#include "spokesail/relay-choice.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "spokesail/hash.h"

namespace spokesail {

namespace {

/// Children per whole core, and the bounds for any node.
constexpr float children_per_core = 48;
constexpr float min_children = 4;
constexpr float max_children = 32;

/// Rank of the parent of the node with `rank`, which must not be 0: each
/// node is assigned the next nodes in order until it has as many children as
/// its share of a core allows.
size_t parent_rank(const std::vector<relay_candidate>& order, size_t rank) {
  size_t parent = 0;
  size_t last_child = relay_fan_out(order[0].cores);
  while (last_child < rank) last_child += relay_fan_out(order[++parent].cores);
  return parent;
}

}  // namespace

size_t relay_fan_out(float cores) {
  return static_cast<size_t>(std::clamp(std::round(cores * children_per_core),
                                        min_children, max_children));
}

std::vector<relay_candidate> rank_relays(std::vector<relay_candidate> nodes) {
  struct ranked {
    uint64_t score;
    relay_candidate node;
  };
  const uint64_t seed = stable_hash("relay");
  std::vector<ranked> all;
  all.reserve(nodes.size());
  for (auto& node : nodes) {
    const uint64_t score = stable_hash(node.name, seed);
    all.push_back({score, std::move(node)});
  }
  std::sort(all.begin(), all.end(), [](const ranked& a, const ranked& b) {
    if (a.node.cores != b.node.cores) return a.node.cores > b.node.cores;
    return a.score != b.score ? a.score > b.score : a.node.name < b.node.name;
  });
  std::vector<relay_candidate> out;
  out.reserve(all.size());
  for (auto& item : all) out.push_back(std::move(item.node));
  return out;
}

std::vector<std::string> relay_order(std::vector<relay_candidate> nodes) {
  std::vector<std::string> out;
  out.reserve(nodes.size());
  for (auto& node : rank_relays(std::move(nodes))) {
    out.push_back(std::move(node.name));
  }
  return out;
}

relay_choice choose_relay(const relay_view& view) {
  std::vector<relay_candidate> nodes = view.hall_peers;
  nodes.push_back(view.self);
  std::vector<relay_candidate> order = rank_relays(std::move(nodes));
  const auto find_by_name = [&](const std::string& name) {
    return std::find_if(order.begin(), order.end(),
                        [&](const auto& node) { return node.name == name; });
  };
  const auto usable = [&](const std::string& name) {
    return !name.empty() && view.excluded.count(name) == 0;
  };
  if (view.holder_in_hall && usable(view.holder)) {
    const auto at = find_by_name(view.holder);
    if (at != order.end()) std::rotate(order.begin(), at, at + 1);
  }
  const auto rank =
      static_cast<size_t>(find_by_name(view.self.name) - order.begin());
  relay_choice out;
  out.top_ranked = rank < top_ranked_per_hall;
  out.upstream = view.self.name;
  if (view.holder == view.self.name) return out;
  for (size_t at = rank; at > 0;) {
    at = parent_rank(order, at);
    if (!usable(order[at].name)) continue;
    out.upstream = order[at].name;
    return out;
  }
  for (size_t at = 0; at < rank; ++at) {
    if (!usable(order[at].name)) continue;
    out.upstream = order[at].name;
    return out;
  }
  if (usable(view.holder)) out.upstream = view.holder;
  return out;
}

}  // namespace spokesail
