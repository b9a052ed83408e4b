// The order of a data hall's relays.
#include "spokesail/relay-choice.h"

#include <algorithm>

#include "spokesail/hash.h"

namespace spokesail {

std::vector<std::string> relay_order(std::vector<relay_candidate> nodes) {
  struct ranked {
    float cores;
    uint64_t score;
    std::string name;
  };
  const uint64_t seed = stable_hash("relay");
  std::vector<ranked> all;
  all.reserve(nodes.size());
  for (auto& node : nodes) {
    const uint64_t score = stable_hash(node.name, seed);
    all.push_back({node.cores, score, std::move(node.name)});
  }
  std::sort(all.begin(), all.end(), [](const ranked& a, const ranked& b) {
    if (a.cores != b.cores) return a.cores > b.cores;
    return a.score != b.score ? a.score > b.score : a.name < b.name;
  });
  std::vector<std::string> out;
  out.reserve(all.size());
  for (auto& node : all) out.push_back(std::move(node.name));
  return out;
}

relay_choice choose_relay(const relay_view& view) {
  std::vector<relay_candidate> nodes = view.hall_peers;
  nodes.push_back(view.self);
  std::vector<std::string> order = relay_order(std::move(nodes));
  const auto usable = [&](const std::string& name) {
    return !name.empty() && view.passed_over.count(name) == 0;
  };
  if (view.holder_near && usable(view.holder)) {
    const auto at = std::find(order.begin(), order.end(), view.holder);
    if (at != order.end()) std::rotate(order.begin(), at, at + 1);
  }
  const auto found = std::find(order.begin(), order.end(), view.self.name);
  const auto rank = static_cast<size_t>(found - order.begin());
  relay_choice out;
  out.candidate = rank < most_relays;
  out.upstream = view.self.name;
  if (view.holder == view.self.name) return out;
  for (size_t at = rank; at > 0;) {
    at = (at - 1) / relay_fan_out;
    if (!usable(order[at])) continue;
    out.upstream = order[at];
    return out;
  }
  for (size_t at = 0; at < rank; ++at) {
    if (!usable(order[at])) continue;
    out.upstream = order[at];
    return out;
  }
  if (usable(view.holder)) out.upstream = view.holder;
  return out;
}

}  // namespace spokesail
