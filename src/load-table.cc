// Maintains the sums of requests in flight.
#include "spokesail/load-table.h"

#include <algorithm>
#include <map>

namespace spokesail {

void load_table::begin(const std::string& endpoint, double prompt_tokens) {
  this->started_count++;
  endpoint_load& load = this->own_sums[endpoint];
  load.endpoint = endpoint;
  load.running++;
  load.pending_prefill_tokens += prompt_tokens;
}

void load_table::finish_prefill(const std::string& endpoint,
                                double prompt_tokens) {
  const auto found = this->own_sums.find(endpoint);
  if (found == this->own_sums.end()) return;
  found->second.pending_prefill_tokens =
      std::max(0.0, found->second.pending_prefill_tokens - prompt_tokens);
}

void load_table::end(const std::string& endpoint) {
  const auto found = this->own_sums.find(endpoint);
  if (found == this->own_sums.end()) return;
  if (--found->second.running <= 0) this->own_sums.erase(found);
}

void load_table::add_scaled(const peer_load& peer, int sign) {
  sums& into = peer.remote ? this->remote_sums : this->local_sums;
  for (const auto& load : peer.loads) {
    endpoint_load& sum = into[load.endpoint];
    sum.endpoint = load.endpoint;
    sum.running += sign * load.running;
    sum.pending_prefill_tokens = std::max(
        0.0, sum.pending_prefill_tokens + sign * load.pending_prefill_tokens);
    if (sum.running <= 0) into.erase(load.endpoint);
  }
}

void load_table::update_peer(const std::string& peer,
                             std::vector<endpoint_load> loads, absl::Time now,
                             bool remote) {
  // An endpoint without requests has no pending prefill either.
  std::erase_if(loads, [](const auto& load) { return load.running <= 0; });
  this->remove_peer(peer);
  peer_load& entry = this->peers[peer];
  entry = {std::move(loads), now, remote};
  this->add_scaled(entry, 1);
  this->next_expiry = std::min(this->next_expiry, this->expiry(entry));
}

void load_table::remove_peer(const std::string& peer) {
  const auto found = this->peers.find(peer);
  if (found == this->peers.end()) return;
  this->add_scaled(found->second, -1);
  this->peers.erase(found);
}

absl::Time load_table::expiry(const peer_load& peer) const {
  return peer.at + (peer.remote ? peer_timeout : this->local_lifetime);
}

void load_table::expire(absl::Time now) {
  if (now <= this->next_expiry) return;
  std::vector<std::string> expired;
  this->next_expiry = absl::InfiniteFuture();
  for (const auto& [name, peer] : this->peers) {
    const absl::Time at = this->expiry(peer);
    if (now > at) {
      expired.push_back(name);
    } else {
      this->next_expiry = std::min(this->next_expiry, at);
    }
  }
  for (const auto& name : expired) this->remove_peer(name);
}

endpoint_load load_table::total(const std::string& endpoint, absl::Time now) {
  this->expire(now);
  endpoint_load sum;
  sum.endpoint = endpoint;
  for (const sums* part :
       {&this->own_sums, &this->local_sums, &this->remote_sums}) {
    const auto found = part->find(endpoint);
    if (found == part->end()) continue;
    sum.running += found->second.running;
    sum.pending_prefill_tokens += found->second.pending_prefill_tokens;
  }
  return sum;
}

std::vector<endpoint_load> load_table::hall_sum(bool remote, absl::Time now) {
  this->expire(now);
  std::map<std::string, endpoint_load> all;
  const auto add = [&](const sums& part) {
    for (const auto& [endpoint, load] : part) {
      endpoint_load& sum = all[endpoint];
      sum.endpoint = endpoint;
      sum.running += load.running;
      sum.pending_prefill_tokens += load.pending_prefill_tokens;
    }
  };
  if (remote) {
    add(this->remote_sums);
  } else {
    add(this->own_sums);
    add(this->local_sums);
  }
  std::vector<endpoint_load> out;
  out.reserve(all.size());
  for (auto& [endpoint, load] : all) out.push_back(std::move(load));
  return out;
}

std::vector<endpoint_load> load_table::own_loads() const {
  std::vector<endpoint_load> out;
  for (const auto& [endpoint, load] : this->own_sums) out.push_back(load);
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
    return a.endpoint < b.endpoint;
  });
  return out;
}

int load_table::own_running(const std::string& endpoint) const {
  const auto found = this->own_sums.find(endpoint);
  return found == this->own_sums.end() ? 0 : found->second.running;
}

}  // namespace spokesail
