#include "spokesail/limit-spread.h"

#include <bit>

namespace spokesail {

std::vector<limit_spread::message> limit_spread::next_round(
    server_limits& limits, const std::vector<std::string>& peers,
    random_stream& random, absl::Time now) {
  if (peers.empty()) return {};
  for (const auto& server : limits.take_changes()) {
    this->rounds_left[server] =
        base_rounds + static_cast<int>(std::bit_width(peers.size()));
  }
  std::vector<limit_report> reports;
  for (auto& [server, left] : this->rounds_left) {
    if (reports.size() >= max_reports) break;
    --left;
    if (const auto report = limits.report(server, now)) {
      reports.push_back(*report);
    }
  }
  std::erase_if(this->rounds_left,
                [](const auto& item) { return item.second <= 0; });
  std::vector<message> out;
  if (reports.empty()) return out;
  for (size_t i = 0; i < fanout; ++i) {
    out.push_back({peers[random.below(peers.size())], reports});
  }
  return out;
}

}  // namespace spokesail
