#include "spokesail/cold-allowance.h"

#include <algorithm>
#include <utility>

namespace spokesail {

void cold_allowance::wish(const std::string& server, int64_t incarnation,
                          int most) {
  const auto known = this->wishes.find(server);
  if (known == this->wishes.end() && this->wishes.size() >= most_servers) {
    return;
  }
  server_count& wished = this->wishes[server];
  wished.server = server;
  wished.incarnation = incarnation;
  wished.count = std::min(most, wished.count + 1);
}

bool cold_allowance::due(absl::Time now) const {
  return !this->wishes.empty() && now - this->asked >= this->pause;
}

cold_request cold_allowance::ask(uint64_t nonce, absl::Time now) {
  cold_request out{nonce, {}};
  for (auto& [server, wished] : this->wishes) out.wanted.push_back(wished);
  this->wishes.clear();
  this->questions[nonce] = now;
  this->asked = now;
  this->pause = this->answered
                    ? this->timing.ask_period
                    : std::min(2 * this->pause, this->timing.longest_pause);
  this->answered = false;
  return out;
}

int cold_allowance::take(const cold_grant& said, absl::Time now) {
  const auto question = this->questions.find(said.nonce);
  if (question == this->questions.end()) return 0;
  const absl::Time until = question->second + this->timing.grant_time;
  this->questions.erase(question);
  if (now >= until) return 0;
  int out = 0;
  for (const server_count& granted : said.granted) {
    if (granted.count <= 0) continue;
    std::deque<portion>& portions = this->grants[granted.server];
    // Answers may come in another order than their questions were asked in.
    const auto at =
        std::find_if(portions.begin(), portions.end(),
                     [&](const auto& p) { return p.until > until; });
    portions.insert(at, {until, granted.count});
    out += granted.count;
  }
  if (out > 0) {
    this->answered = true;
    this->pause = this->timing.ask_period;
  }
  return out;
}

bool cold_allowance::has(const std::string& server, absl::Time now) const {
  const auto found = this->grants.find(server);
  return found != this->grants.end() && !found->second.empty() &&
         found->second.back().until > now;
}

std::optional<absl::Time> cold_allowance::use(const std::string& server,
                                              absl::Time now) {
  const auto found = this->grants.find(server);
  if (found == this->grants.end()) return std::nullopt;
  for (portion& p : found->second) {
    if (p.until <= now || p.count == 0) continue;
    const absl::Time until = p.until;
    if (--p.count == 0)
      std::erase_if(found->second,
                    [](const auto& spent) { return spent.count == 0; });
    return until;
  }
  return std::nullopt;
}

int cold_allowance::expire(absl::Time now) {
  std::erase_if(this->questions, [&](const auto& item) {
    return item.second + this->timing.grant_time <= now;
  });
  int unused = 0;
  for (auto& [server, portions] : this->grants) {
    while (!portions.empty() && portions.front().until <= now) {
      unused += portions.front().count;
      portions.pop_front();
    }
  }
  std::erase_if(this->grants,
                [](const auto& item) { return item.second.empty(); });
  return unused;
}

int cold_allowance::held(absl::Time now) const {
  int out = 0;
  for (const auto& [server, portions] : this->grants) {
    for (const portion& p : portions) out += p.until > now ? p.count : 0;
  }
  return out;
}

}  // namespace spokesail
