#include "spokesail/grant-client.h"

#include <algorithm>
#include <utility>

namespace spokesail {

void grant_client::add_demand(const std::string& server, int64_t incarnation,
                              int max_count) {
  const auto found = this->demand_by_server.find(server);
  if (found == this->demand_by_server.end() &&
      this->demand_by_server.size() >= max_servers) {
    return;
  }
  server_request_count& demand = this->demand_by_server[server];
  demand.server = server;
  demand.incarnation = incarnation;
  demand.count = std::min(max_count, demand.count + 1);
}

bool grant_client::request_due(absl::Time now) const {
  return !this->demand_by_server.empty() &&
         now - this->last_request_at >= this->request_interval;
}

grant_request grant_client::make_request(uint64_t nonce, absl::Time now) {
  grant_request out{nonce, {}};
  for (auto& [server, demand] : this->demand_by_server)
    out.wanted.push_back(demand);
  this->demand_by_server.clear();
  this->pending_requests[nonce] = now;
  this->last_request_at = now;
  this->request_interval = this->last_request_granted
                               ? this->timing.min_request_interval
                               : std::min(2 * this->request_interval,
                                          this->timing.max_request_interval);
  this->last_request_granted = false;
  return out;
}

int grant_client::accept_response(const grant_response& response,
                                  absl::Time now) {
  const auto pending = this->pending_requests.find(response.nonce);
  if (pending == this->pending_requests.end()) return 0;
  const absl::Time until = pending->second + this->timing.grant_lifetime;
  this->pending_requests.erase(pending);
  if (now >= until) return 0;
  int out = 0;
  for (const server_request_count& granted : response.granted) {
    if (granted.count <= 0) continue;
    std::deque<grant_batch>& batches = this->grants[granted.server];
    // Responses can arrive out of order.
    const auto at =
        std::find_if(batches.begin(), batches.end(),
                     [&](const auto& batch) { return batch.until > until; });
    batches.insert(at, {until, granted.count});
    out += granted.count;
  }
  if (out > 0) {
    this->last_request_granted = true;
    this->request_interval = this->timing.min_request_interval;
  }
  return out;
}

bool grant_client::has(const std::string& server, absl::Time now) const {
  const auto found = this->grants.find(server);
  return found != this->grants.end() && !found->second.empty() &&
         found->second.back().until > now;
}

std::optional<absl::Time> grant_client::use(const std::string& server,
                                            absl::Time now) {
  const auto found = this->grants.find(server);
  if (found == this->grants.end()) return std::nullopt;
  for (grant_batch& batch : found->second) {
    if (batch.until <= now || batch.count == 0) continue;
    const absl::Time until = batch.until;
    if (--batch.count == 0)
      std::erase_if(found->second,
                    [](const auto& spent) { return spent.count == 0; });
    return until;
  }
  return std::nullopt;
}

int grant_client::expire(absl::Time now) {
  std::erase_if(this->pending_requests, [&](const auto& item) {
    return item.second + this->timing.grant_lifetime <= now;
  });
  int unused = 0;
  for (auto& [server, batches] : this->grants) {
    while (!batches.empty() && batches.front().until <= now) {
      unused += batches.front().count;
      batches.pop_front();
    }
  }
  std::erase_if(this->grants,
                [](const auto& item) { return item.second.empty(); });
  return unused;
}

int grant_client::held(absl::Time now) const {
  int out = 0;
  for (const auto& [server, batches] : this->grants) {
    for (const grant_batch& batch : batches)
      out += batch.until > now ? batch.count : 0;
  }
  return out;
}

}  // namespace spokesail
