#include "spokesail/crash-trials.h"

namespace spokesail {

bool trial_issuer::begin(const request_trait& trait, uint64_t nonce,
                         absl::Time now) {
  std::erase_if(this->trials,
                [now](const auto& item) { return item.second.until <= now; });
  const auto found = this->trials.find(trait);
  if (found != this->trials.end()) return found->second.nonce == nonce;
  if (this->trials.size() >= max_trials) return false;
  this->trials[trait] = {nonce, now + trial_timing::max_length};
  return true;
}

void trial_issuer::end(const request_trait& trait, uint64_t nonce) {
  const auto found = this->trials.find(trait);
  const bool same = found != this->trials.end() && found->second.nonce == nonce;
  if (same) this->trials.erase(found);
}

void trial_queue::trait_state::reset(uint64_t next_nonce) {
  this->running.reset();
  this->nonce = next_nonce;
  this->granted_until = absl::InfinitePast();
  this->issuer = 0;
  this->silent_since = absl::InfiniteFuture();
  this->asked_at = absl::InfinitePast();
}

bool trial_queue::enter(const request_trait& trait, uint64_t request,
                        uint64_t nonce, absl::Time now) {
  const bool known = this->traits.count(trait) != 0;
  trait_state& state = this->traits[trait];
  if (!known) state.reset(nonce);
  if (state.waiting.size() >= max_waiting) return false;
  if (state.silent_since == absl::InfiniteFuture()) state.silent_since = now;
  state.waiting.insert(request);
  return true;
}

bool trial_queue::try_begin(const request_trait& trait, uint64_t request,
                            absl::Time now) {
  const auto found = this->traits.find(trait);
  if (found == this->traits.end()) return false;
  trait_state& state = found->second;
  const bool first =
      !state.waiting.empty() && *state.waiting.begin() == request;
  if (!first || state.running || now >= state.granted_until) return false;
  state.waiting.erase(request);
  state.running = request;
  return true;
}

void trial_queue::leave(const request_trait& trait, uint64_t request,
                        uint64_t nonce, absl::Time now) {
  const auto found = this->traits.find(trait);
  if (found == this->traits.end()) return;
  trait_state& state = found->second;
  state.waiting.erase(request);
  const bool was_running = state.running == request;
  // A trial that was granted and is not used any more ends as well.
  const bool unused = !state.running && state.waiting.empty();
  if (was_running || unused)
    this->ended.push_back({{trait, state.nonce, true, {}}, state.issuer});
  if (unused || (was_running && state.waiting.empty())) {
    this->traits.erase(found);
  } else if (was_running) {
    state.reset(nonce);
    state.silent_since = now;
  }
}

void trial_queue::accept(const trial_response& response, absl::Time now) {
  const auto found = this->traits.find(response.trait);
  if (found == this->traits.end()) return;
  trait_state& state = found->second;
  if (state.nonce != response.nonce || state.running) return;
  state.silent_since = now;
  if (response.granted) state.granted_until = now + trial_timing::max_length;
}

std::vector<trial_queue::message> trial_queue::take_messages(absl::Time now) {
  std::vector<message> out = std::move(this->ended);
  this->ended.clear();
  for (auto& [trait, state] : this->traits) {
    const bool asks =
        !state.waiting.empty() && !state.running && now >= state.granted_until;
    if (!asks || now - state.asked_at < trial_timing::ask_interval) continue;
    if (now - state.silent_since >= trial_timing::response_timeout) {
      state.silent_since = now;
      if (++state.issuer >= trial_timing::max_issuers) {
        state.issuer = 0;
        state.granted_until = now + trial_timing::max_length;
        continue;
      }
    }
    state.asked_at = now;
    out.push_back({{trait, state.nonce, false, {}}, state.issuer});
  }
  return out;
}

size_t trial_queue::size() const {
  size_t out = 0;
  for (const auto& [trait, state] : this->traits) {
    out += state.waiting.size() + (state.running ? 1 : 0);
  }
  return out;
}

}  // namespace spokesail
