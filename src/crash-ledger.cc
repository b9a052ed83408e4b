#include "spokesail/crash-ledger.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "spokesail/hash.h"

namespace spokesail {

uint64_t server_start(const std::string& server, int64_t incarnation) {
  return stable_hash(server, static_cast<uint64_t>(incarnation));
}

void crash_ledger::add_crash(const request_identity& request, uint64_t server,
                             const crash_end& end, absl::Time now) {
  this->take(
      {request, {{{server, end}}, run_point::start}, absl::ZeroDuration()},
      now);
}

void crash_ledger::add_progress(const request_identity& request, int64_t point,
                                absl::Time now) {
  if (!this->knows(request)) return;
  this->take({request, {{}, point}, absl::ZeroDuration()}, now);
}

void crash_ledger::take(const crash_news& said, absl::Time now) {
  const auto found = this->records.find(said.identity);
  const record known = found == this->records.end() ? record{} : found->second;
  record next;
  next.evidence = merge(known.evidence, said.evidence);
  next.seen = std::max(known.seen, now - said.age);
  if (now - next.seen >= memory) return;
  // One that says less than is known here is told, too.
  crash_evidence heard = said.evidence;
  normalize(heard);
  if (next.evidence == known.evidence && heard == known.evidence) return;
  this->changes.insert(said.identity);
  this->put(said.identity, std::move(next));
}

void crash_ledger::put(const request_identity& request, record next) {
  if (!this->knows(request)) {
    this->make_room(request.workspace);
    this->by_workspace[request.workspace]++;
  }
  if (enough(next.evidence)) {
    this->guilty.insert(request);
  } else {
    this->guilty.erase(request);
  }
  this->records[request] = std::move(next);
}

bool crash_ledger::enough(const crash_evidence& evidence) {
  size_t begun = 0;
  size_t repeated = 0;
  for (const auto& [server, end] : evidence.crashes) {
    begun += end.begun ? 1 : 0;
    repeated += end.repeated ? 1 : 0;
  }
  if (repeated < proof_repeated) return false;
  return begun >= proof || evidence.crashes.size() >= proof_unbegun;
}

void crash_ledger::make_room(uint64_t workspace) {
  if (this->by_workspace[workspace] >= most_requests / workspace_share) {
    this->drop_least(workspace);
  }
  if (this->records.size() < most_requests) return;
  const auto largest = std::max_element(
      this->by_workspace.begin(), this->by_workspace.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  this->drop_least(largest->first);
}

void crash_ledger::drop_least(uint64_t workspace) {
  const auto first = this->records.lower_bound({workspace, 0});
  auto least = first;
  for (auto at = first;
       at != this->records.end() && at->first.workspace == workspace; ++at) {
    const auto weight = [](const record& r) {
      return std::make_pair(r.evidence.crashes.size(), r.seen);
    };
    if (weight(at->second) < weight(least->second)) least = at;
  }
  this->guilty.erase(least->first);
  this->records.erase(least);
  this->by_workspace[workspace]--;
}

bool crash_ledger::explained(const request_identity& request,
                             uint64_t server) const {
  const size_t own = this->count(request);
  return std::any_of(
      this->guilty.begin(), this->guilty.end(), [&](const auto& other) {
        const auto& crashes = this->records.at(other).evidence.crashes;
        return crashes.size() > own && crashes.count(server) != 0;
      });
}

bool crash_ledger::quarantined(const request_identity& request) const {
  if (this->guilty.count(request) == 0) return false;
  crash_evidence own = this->records.at(request).evidence;
  // What a server had begun to answer is not explained by another request: few
  // are at that point at the same moment, and two may be guilty.
  std::erase_if(own.crashes, [&](const auto& crash) {
    return !crash.second.begun && this->explained(request, crash.first);
  });
  return enough(own);
}

absl::Duration crash_ledger::remaining(const request_identity& request,
                                       absl::Time now) const {
  const auto found = this->records.find(request);
  if (found == this->records.end()) return absl::ZeroDuration();
  return found->second.seen + memory - now;
}

size_t crash_ledger::count(const request_identity& request) const {
  const auto found = this->records.find(request);
  return found == this->records.end() ? 0
                                      : found->second.evidence.crashes.size();
}

std::optional<crash_news> crash_ledger::tell(const request_identity& request,
                                             absl::Time now) const {
  const auto found = this->records.find(request);
  if (found == this->records.end()) return std::nullopt;
  const record& r = found->second;
  return crash_news{request, r.evidence,
                    std::max(now - r.seen, absl::ZeroDuration())};
}

uint64_t crash_ledger::digest() const {
  uint64_t out = 0;
  for (const auto& request : this->guilty) {
    const std::string text = to_text(request);
    out = stable_hash(text, out);
  }
  return out;
}

std::vector<request_identity> crash_ledger::take_changes() {
  std::vector<request_identity> out(this->changes.begin(), this->changes.end());
  this->changes.clear();
  return out;
}

void crash_ledger::expire(absl::Time now) {
  for (auto at = this->records.begin(); at != this->records.end();) {
    if (now - at->second.seen < memory) {
      ++at;
      continue;
    }
    this->guilty.erase(at->first);
    this->by_workspace[at->first.workspace]--;
    at = this->records.erase(at);
  }
  std::erase_if(this->by_workspace,
                [](const auto& item) { return item.second == 0; });
}

}  // namespace spokesail
