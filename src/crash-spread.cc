#include "spokesail/crash-spread.h"

#include <algorithm>
#include <bit>

namespace spokesail {

void crash_spread::heat(crash_ledger& ledger, size_t nodes) {
  for (const auto& request : ledger.take_changes()) {
    const size_t count = ledger.count(request);
    if (count > 1) this->wide.insert(request);
    const bool to_all = this->wide.count(request) != 0;
    if (!to_all && count == 0) continue;
    this->hot[request] =
        to_all ? least_rounds + static_cast<int>(std::bit_width(nodes))
               : collector_rounds;
  }
  std::erase_if(this->wide,
                [&](const auto& request) { return !ledger.knows(request); });
}

std::vector<crash_spread::message> crash_spread::round(
    crash_ledger& ledger, const std::vector<std::string>& peers,
    random_stream& random, absl::Time now) {
  this->heat(ledger, peers.size());
  if (this->hot.empty() || peers.empty()) return {};
  std::vector<message> out = this->tell_wide(ledger, peers, random, now);
  for (auto& m : this->tell_collectors(ledger, peers, now)) {
    out.push_back(std::move(m));
  }
  std::erase_if(this->hot, [](const auto& item) { return item.second <= 0; });
  return out;
}

std::vector<crash_spread::message> crash_spread::tell_wide(
    const crash_ledger& ledger, const std::vector<std::string>& peers,
    random_stream& random, absl::Time now) {
  std::vector<crash_news> news;
  for (auto& [request, rounds] : this->hot) {
    if (this->wide.count(request) == 0 || news.size() >= most_told) continue;
    --rounds;
    const auto said = ledger.tell(request, now);
    if (said) news.push_back(*said);
  }
  std::vector<message> out;
  for (size_t i = 0; i < fanout && !news.empty(); ++i) {
    out.push_back({peers[random.below(peers.size())], news});
  }
  return out;
}

std::vector<crash_spread::message> crash_spread::tell_collectors(
    const crash_ledger& ledger, const std::vector<std::string>& peers,
    absl::Time now) {
  std::vector<std::string> nodes = peers;
  nodes.push_back(this->self);
  std::map<std::string, std::vector<crash_news>> by_peer;
  for (auto& [request, rounds] : this->hot) {
    if (this->wide.count(request) != 0) continue;
    --rounds;
    const auto said = ledger.tell(request, now);
    if (!said) continue;
    for (const auto& peer : rendezvous(to_text(request), nodes, collectors)) {
      if (peer != this->self) by_peer[peer].push_back(*said);
    }
  }
  std::vector<message> out;
  for (auto& [peer, news] : by_peer) {
    if (news.size() > most_told) news.resize(most_told);
    out.push_back({peer, std::move(news)});
  }
  return out;
}

}  // namespace spokesail
