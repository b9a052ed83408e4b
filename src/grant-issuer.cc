#include "spokesail/grant-issuer.h"

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

token_bucket_params bucket_for_limit(double per_s) {
  token_bucket_params out;
  out.per_s = std::max(least_grant_rate, (1 - limit_share::fraction) * per_s);
  out.burst = std::max(1.0, out.per_s * absl::ToDoubleSeconds(burst_time));
  return out;
}

token_bucket_params smaller_bucket(const token_bucket_params& a,
                                   const token_bucket_params& b) {
  return {std::min(a.burst, b.burst), std::min(a.per_s, b.per_s)};
}

token_bucket_params bucket_for_cold_rate(double rate,
                                         absl::Duration grant_lifetime) {
  const double whole = std::floor(rate);
  if (whole < 1) return {};
  token_bucket_params out;
  out.burst = whole < rate_for_two ? 1 : 2;
  out.per_s = (whole - out.burst + rounding) /
              (1 + absl::ToDoubleSeconds(grant_lifetime));
  return out;
}

void grant_issuer::begin_term(absl::Time now) {
  this->buckets.clear();
  this->term_begin = now;
}

void grant_issuer::end_term() {
  this->buckets.clear();
  this->term_begin = absl::InfiniteFuture();
}

bool grant_issuer::may_grant(absl::Time now) const {
  return now - this->term_begin >= this->timing.new_term_delay;
}

void grant_issuer::refill(bucket_state& a, absl::Time now) {
  const double passed = absl::ToDoubleSeconds(now - a.refilled_at);
  a.tokens = std::min(a.bucket.burst, a.tokens + passed * a.bucket.per_s);
  a.refilled_at = std::max(a.refilled_at, now);
}

grant_issuer::bucket_state* grant_issuer::find_or_create(
    const std::string& server, const token_bucket_params& bucket,
    absl::Time now) {
  auto found = this->buckets.find(server);
  if (found == this->buckets.end()) {
    if (this->buckets.size() >= max_servers) this->remove_full(now);
    if (this->buckets.size() >= max_servers) return nullptr;
    // It was empty when the term began: holders before may have emptied it.
    found = this->buckets.emplace(server, bucket_state{{}, 0, this->term_begin})
                .first;
  }
  bucket_state& a = found->second;
  a.bucket = bucket;
  refill(a, now);
  return &a;
}

grant_response grant_issuer::grant(
    const grant_request& asked,
    const std::function<token_bucket_params(const server_request_count&)>&
        bucket_of,
    absl::Time now) {
  grant_response out{asked.nonce, {}};
  if (!this->may_grant(now)) return out;
  for (const server_request_count& wanted : asked.wanted) {
    const token_bucket_params bucket = bucket_of(wanted);
    if (bucket.burst < 1 || wanted.count <= 0) continue;
    bucket_state* a = this->find_or_create(wanted.server, bucket, now);
    if (a == nullptr) continue;
    const int given = static_cast<int>(
        std::min(static_cast<double>(wanted.count), a->tokens));
    if (given <= 0) continue;
    a->tokens -= given;
    out.granted.push_back({wanted.server, wanted.incarnation, given});
  }
  return out;
}

void grant_issuer::remove_full(absl::Time now) {
  for (auto& [server, a] : this->buckets) refill(a, now);
  std::erase_if(this->buckets, [](const auto& item) {
    return item.second.tokens >= item.second.bucket.burst;
  });
}

}  // namespace spokesail
