#include "spokesail/cold-ledger.h"

#include <algorithm>
#include <cmath>

#include "spokesail/limit-share.h"

namespace spokesail {
namespace {

/// Grants are whole requests, so that a half more never becomes one.
constexpr double rounding = 0.5;

/// From this rate on a bucket holds two requests: nodes that ask at the same
/// time need not wait for each other.
constexpr double rate_for_two = 8;

/// Minimum rate of grants per second, however low the limit.
constexpr double least_grant_rate = 0.2;

/// The burst of a limit's bucket is what the rate yields in this time, so that
/// nodes that ask at the same time can be granted requests together.
constexpr absl::Duration burst_time = absl::Milliseconds(500);

}  // namespace

cold_bucket bucket_for_limit(double per_s) {
  cold_bucket out;
  out.per_s = std::max(least_grant_rate, (1 - limit_share::fraction) * per_s);
  out.burst = std::max(1.0, out.per_s * absl::ToDoubleSeconds(burst_time));
  return out;
}

cold_bucket smaller_bucket(const cold_bucket& a, const cold_bucket& b) {
  return {std::min(a.burst, b.burst), std::min(a.per_s, b.per_s)};
}

cold_bucket bucket_for(double rate, absl::Duration grant_time) {
  const double whole = std::floor(rate);
  if (whole < 1) return {};
  cold_bucket out;
  out.burst = whole < rate_for_two ? 1 : 2;
  out.per_s =
      (whole - out.burst + rounding) / (1 + absl::ToDoubleSeconds(grant_time));
  return out;
}

void cold_ledger::begin_term(absl::Time now) {
  this->accounts.clear();
  this->term_begin = now;
}

void cold_ledger::end_term() {
  this->accounts.clear();
  this->term_begin = absl::InfiniteFuture();
}

bool cold_ledger::may_grant(absl::Time now) const {
  return now - this->term_begin >= this->timing.term_wait;
}

void cold_ledger::fill(account& a, absl::Time now) {
  const double passed = absl::ToDoubleSeconds(now - a.counted);
  a.tokens = std::min(a.bucket.burst, a.tokens + passed * a.bucket.per_s);
  a.counted = std::max(a.counted, now);
}

cold_ledger::account* cold_ledger::find(const std::string& server,
                                        const cold_bucket& bucket,
                                        absl::Time now) {
  auto found = this->accounts.find(server);
  if (found == this->accounts.end()) {
    if (this->accounts.size() >= most_servers) this->forget_full(now);
    if (this->accounts.size() >= most_servers) return nullptr;
    // It was empty when the term began: holders before may have emptied it.
    found =
        this->accounts.emplace(server, account{{}, 0, this->term_begin}).first;
  }
  account& a = found->second;
  a.bucket = bucket;
  fill(a, now);
  return &a;
}

cold_grant cold_ledger::answer(
    const cold_request& asked,
    const std::function<cold_bucket(const server_count&)>& bucket_of,
    absl::Time now) {
  cold_grant out{asked.nonce, {}};
  if (!this->may_grant(now)) return out;
  for (const server_count& wanted : asked.wanted) {
    const cold_bucket bucket = bucket_of(wanted);
    if (bucket.burst < 1 || wanted.count <= 0) continue;
    account* a = this->find(wanted.server, bucket, now);
    if (a == nullptr) continue;
    const int given = static_cast<int>(
        std::min(static_cast<double>(wanted.count), a->tokens));
    if (given <= 0) continue;
    a->tokens -= given;
    out.granted.push_back({wanted.server, wanted.incarnation, given});
  }
  return out;
}

void cold_ledger::forget_full(absl::Time now) {
  for (auto& [server, a] : this->accounts) fill(a, now);
  std::erase_if(this->accounts, [](const auto& item) {
    return item.second.tokens >= item.second.bucket.burst;
  });
}

}  // namespace spokesail
