#include "spokesail/limit-spread.h"

namespace spokesail {

std::vector<limit_spread::message> limit_spread::next_round(
    server_limits& limits, const std::vector<std::string>& peers,
    random_stream& random, absl::Time now) {
  if (peers.empty()) return {};
  for (const auto& server : limits.take_changes()) {
    this->rounds.add(server, peers.size());
  }
  std::vector<limit_report> reports;
  for (const auto& server : this->rounds.next_round(max_reports)) {
    if (const auto report = limits.report(server, now)) {
      reports.push_back(*report);
    }
  }
  std::vector<message> out;
  if (reports.empty()) return out;
  for (auto& peer : push_rounds<server_instance>::draw_peers(peers, random)) {
    out.push_back({std::move(peer), reports});
  }
  return out;
}

}  // namespace spokesail
