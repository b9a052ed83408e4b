#include "spokesail/crash-tracker.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "spokesail/hash.h"

namespace spokesail {
namespace {

bool contains(const std::vector<request_trait>& traits,
              const request_trait& trait) {
  return std::find(traits.begin(), traits.end(), trait) != traits.end();
}

/// Removes the crashes that are refuted.
crash_evidence without_refuted(crash_evidence evidence) {
  std::erase_if(evidence.crashes,
                [](const auto& item) { return item.second.refuted; });
  return evidence;
}

}  // namespace

uint64_t incarnation_hash(const std::string& server, int64_t incarnation) {
  return stable_hash(server, static_cast<uint64_t>(incarnation));
}

void crash_tracker::add_crash(const request_trait& trait, uint64_t server,
                              const server_crash& crash, absl::Time now) {
  crash_evidence evidence;
  evidence.crashes[server] = crash;
  this->merge_update({trait, std::move(evidence), absl::ZeroDuration()}, now);
}

void crash_tracker::add_progress(const request_trait& trait, int64_t from,
                                 int64_t to, absl::Time now) {
  const auto found = this->records.find(trait);
  const bool known = found != this->records.end();
  // Contents are too many to keep those without evidence.
  const bool keeps = known || trait.kind == trait_kind::prompt_part;
  if (from == run_progress::start && keeps) this->answered.record(trait, now);
  if (!known) return;
  record updated = found->second;
  refute(updated.evidence, from, to);
  if (trait.kind == trait_kind::content)
    updated.evidence.passed = std::max(updated.evidence.passed, to);
  if (updated.evidence == found->second.evidence) return;
  updated.updated_at = now;
  this->changes.insert(trait);
  this->store_record(trait, std::move(updated));
}

void crash_tracker::merge_update(const crash_update& update, absl::Time now) {
  const auto found = this->records.find(update.trait);
  const record current =
      found == this->records.end() ? record{} : found->second;
  crash_evidence received = update.evidence;
  normalize(received);
  record merged;
  merged.evidence = merge(current.evidence, received);
  merged.updated_at = std::max(current.updated_at, now - update.age);
  if (now - merged.updated_at >= retention) return;
  // The crashes happened before requests with the trait were answered here.
  if (this->answered.last(update.trait) > now - update.age)
    refute(merged.evidence, run_progress::start, run_progress::start + 1);
  // A node that sent less evidence than is known here gets the rest with the
  // changes.
  if (merged.evidence == current.evidence && received == current.evidence)
    return;
  this->changes.insert(update.trait);
  this->store_record(update.trait, std::move(merged));
}

void crash_tracker::store_record(const request_trait& trait, record value) {
  if (!this->contains(trait)) {
    this->evict_if_full(trait.scope);
    this->by_scope[trait.scope]++;
  }
  if (reaches_threshold(trait.kind, value.evidence)) {
    this->over_threshold.insert(trait);
  } else {
    this->over_threshold.erase(trait);
  }
  this->records[trait] = std::move(value);
  this->change_count++;
}

bool crash_tracker::reaches_threshold(trait_kind kind,
                                      const crash_evidence& evidence) {
  size_t all = 0;
  size_t begun = 0;
  size_t repeated = 0;
  for (const auto& [server, crash] : evidence.crashes) {
    if (crash.refuted) continue;
    ++all;
    begun += crash.begun ? 1 : 0;
    repeated += crash.repeated ? 1 : 0;
  }
  if (kind == trait_kind::content) {
    return repeated >= repeated_crash_threshold &&
           (begun >= begun_crash_threshold || all >= crash_threshold);
  }
  const auto reaches = [&](const part_threshold& threshold) {
    return all >= threshold.crashes && begun >= threshold.begun &&
           repeated >= threshold.repeated;
  };
  return std::any_of(std::begin(part_thresholds), std::end(part_thresholds),
                     reaches);
}

void crash_tracker::evict_if_full(uint64_t scope) {
  if (this->by_scope[scope] >= max_traits / scope_divisor) {
    this->evict_least(scope);
  }
  if (this->records.size() < max_traits) return;
  const auto largest = std::max_element(
      this->by_scope.begin(), this->by_scope.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  this->evict_least(largest->first);
}

void crash_tracker::evict_least(uint64_t scope) {
  const auto first = this->records.lower_bound({scope, 0});
  auto evicted = first;
  for (auto at = first; at != this->records.end() && at->first.scope == scope;
       ++at) {
    const auto rank = [](const record& r) {
      return std::make_pair(count_crashes(r.evidence), r.updated_at);
    };
    if (rank(at->second) < rank(evicted->second)) evicted = at;
  }
  this->over_threshold.erase(evicted->first);
  this->records.erase(evicted);
  this->by_scope[scope]--;
}

crash_tracker::explanation crash_tracker::explain(
    const request_trait& trait, uint64_t server,
    const std::vector<request_trait>& traits) const {
  const auto own = without_refuted(this->records.at(trait).evidence).crashes;
  const server_crash& crash = own.at(server);
  auto out = explanation::none;
  for (const request_trait& other : this->over_threshold) {
    if (spokesail::contains(traits, other)) continue;
    const auto others =
        without_refuted(this->records.at(other).evidence).crashes;
    const auto found = others.find(server);
    if (found == others.end()) continue;
    // If it crashed no other servers, it may only have been in the same
    // requests.
    const bool independent = std::any_of(
        others.begin(), others.end(),
        [&](const auto& item) { return own.count(item.first) == 0; });
    const bool both_parts = trait.kind == trait_kind::prompt_part &&
                            other.kind == trait_kind::prompt_part;
    const bool same = both_parts && others.size() == own.size();
    if (!independent && !same) continue;
    const bool only_other_begun = found->second.begun && !crash.begun;
    if (independent && (only_other_begun || others.size() > own.size()))
      return explanation::better;
    out = explanation::equal;
  }
  return out;
}

bool crash_tracker::quarantined(
    const request_trait& trait,
    const std::vector<request_trait>& traits) const {
  if (this->over_threshold.count(trait) == 0) return false;
  crash_evidence own = without_refuted(this->records.at(trait).evidence);
  // One crash without another explanation is enough: that of a request which
  // ran because all crashes before it were explained.
  if (trait.kind == trait_kind::prompt_part) {
    return std::any_of(
        own.crashes.begin(), own.crashes.end(), [&](const auto& crash) {
          return this->explain(trait, crash.first, traits) == explanation::none;
        });
  }
  // Ignores crashes that another trait explains, unless the server had begun
  // to answer this request: few requests are at that stage at the same time,
  // and two requests may both be the cause of crashes.
  std::erase_if(own.crashes, [&](const auto& crash) {
    return !crash.second.begun &&
           this->explain(trait, crash.first, traits) == explanation::better;
  });
  return reaches_threshold(trait.kind, own);
}

bool crash_tracker::blamed(const request_trait& trait) const {
  if (trait.kind == trait_kind::content) return this->quarantined(trait);
  return this->over_threshold.count(trait) != 0 &&
         this->count_unexplained(trait, {trait}) > 0;
}

size_t crash_tracker::count_unexplained(
    const request_trait& trait,
    const std::vector<request_trait>& traits) const {
  const auto found = this->records.find(trait);
  if (found == this->records.end()) return 0;
  const auto& crashes = found->second.evidence.crashes;
  return static_cast<size_t>(
      std::count_if(crashes.begin(), crashes.end(), [&](const auto& crash) {
        return !crash.second.refuted &&
               this->explain(trait, crash.first, traits) != explanation::better;
      }));
}

bool crash_tracker::suspected(const request_trait& trait,
                              absl::Time now) const {
  return this->suspicious(trait, this->count_unexplained(trait, {trait}), now);
}

bool crash_tracker::suspicious(const request_trait& trait, size_t crashes,
                               absl::Time now) const {
  const absl::Duration answered_ago = now - this->answered.last(trait);
  if (answered_ago < current_answer_time) return false;
  if (answered_ago < recent_answer_time)
    return crashes >= recent_answer_suspicion;
  return crashes >= (trait.kind == trait_kind::content ? content_suspicion
                                                       : part_suspicion);
}

crash_judgement crash_tracker::judge(const std::vector<request_trait>& traits,
                                     absl::Time now) const {
  crash_judgement out;
  for (const request_trait& trait : traits) {
    if (!this->contains(trait)) continue;
    const bool answers = now - this->answered.last(trait) < current_answer_time;
    if (!answers && this->quarantined(trait, traits)) {
      const absl::Duration left = this->remaining(trait, now);
      if (left > absl::ZeroDuration())
        return {crash_verdict::quarantined, trait, 0, left};
    }
    const size_t count = this->count_unexplained(trait, traits);
    if (count <= out.crashes || !this->suspicious(trait, count, now)) continue;
    out = {crash_verdict::suspected, trait, count, absl::ZeroDuration()};
  }
  return out;
}

absl::Duration crash_tracker::remaining(const request_trait& trait,
                                        absl::Time now) const {
  const auto found = this->records.find(trait);
  if (found == this->records.end()) return absl::ZeroDuration();
  absl::Duration length = first_quarantine;
  for (size_t count = this->crash_count(trait);
       count > crash_threshold && length < retention; --count) {
    length *= 2;
  }
  return found->second.updated_at + length - now;
}

size_t crash_tracker::crash_count(const request_trait& trait) const {
  const auto found = this->records.find(trait);
  return found == this->records.end() ? 0
                                      : count_crashes(found->second.evidence);
}

std::optional<crash_update> crash_tracker::update_for(
    const request_trait& trait, absl::Time now) const {
  const auto found = this->records.find(trait);
  if (found == this->records.end()) return std::nullopt;
  const record& r = found->second;
  return crash_update{trait, r.evidence,
                      std::max(now - r.updated_at, absl::ZeroDuration())};
}

uint64_t crash_tracker::digest() const {
  uint64_t out = 0;
  for (const auto& trait : this->over_threshold) {
    const std::string text = to_text(trait);
    out = stable_hash(text, out);
  }
  return out;
}

std::vector<request_trait> crash_tracker::take_changes() {
  std::vector<request_trait> out(this->changes.begin(), this->changes.end());
  this->changes.clear();
  return out;
}

void crash_tracker::expire(absl::Time now) {
  for (auto at = this->records.begin(); at != this->records.end();) {
    if (now - at->second.updated_at < retention) {
      ++at;
      continue;
    }
    this->over_threshold.erase(at->first);
    this->by_scope[at->first.scope]--;
    at = this->records.erase(at);
  }
  std::erase_if(this->by_scope,
                [](const auto& item) { return item.second == 0; });
}

}  // namespace spokesail
