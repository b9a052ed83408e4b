#include "spokesail/grant-issuer.h"

#include <algorithm>
#include <cmath>

#include "spokesail/limit-share.h"

namespace spokesail {
namespace {

/// Added to the number of requests per window when the refill rate is computed.
/// Only whole requests are granted, so half a request more never exceeds the
/// rate.
constexpr double rounding_margin = 0.5;

/// From this rate on, in requests per second, the burst is two requests instead
/// of one, so that nodes that request grants at the same time need not wait for
/// each other.
constexpr double min_rate_for_burst_of_two = 8;

/// Minimum rate of grants in requests per second, however low the limit.
constexpr double min_grant_rate = 0.2;

/// The burst of a limit's bucket is what the rate yields in this time, so that
/// nodes that request grants at the same time need not wait for each other.
constexpr absl::Duration burst_window = absl::Milliseconds(500);

}  // namespace

token_bucket_params bucket_for_limit(double per_s) {
  token_bucket_params out;
  out.per_s = std::max(min_grant_rate, (1 - limit_share::fraction) * per_s);
  out.burst = std::max(1.0, out.per_s * absl::ToDoubleSeconds(burst_window));
  return out;
}

token_bucket_params smaller_bucket(const token_bucket_params& a,
                                   const token_bucket_params& b) {
  return {std::min(a.burst, b.burst), std::min(a.per_s, b.per_s)};
}

token_bucket_params bucket_for_cold_rate(double rate,
                                         absl::Duration grant_lifetime) {
  const double whole_rate = std::floor(rate);
  if (whole_rate < 1) return {};
  token_bucket_params out;
  out.burst = whole_rate < min_rate_for_burst_of_two ? 1 : 2;
  out.per_s = (whole_rate - out.burst + rounding_margin) /
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

void grant_issuer::refill(bucket_state& state, absl::Time now) {
  const double elapsed = absl::ToDoubleSeconds(now - state.refilled_at);
  state.tokens =
      std::min(state.params.burst, state.tokens + elapsed * state.params.per_s);
  state.refilled_at = std::max(state.refilled_at, now);
}

grant_issuer::bucket_state* grant_issuer::find_or_create(
    const std::string& server, const token_bucket_params& params,
    absl::Time now) {
  auto found = this->buckets.find(server);
  if (found == this->buckets.end()) {
    if (this->buckets.size() >= max_servers) this->remove_full(now);
    if (this->buckets.size() >= max_servers) return nullptr;
    // Assumes an empty bucket at the start of the term, since previous lease
    // holders may have used all of its tokens.
    found = this->buckets.emplace(server, bucket_state{{}, 0, this->term_begin})
                .first;
  }
  bucket_state& state = found->second;
  state.params = params;
  refill(state, now);
  return &state;
}

grant_response grant_issuer::grant(
    const grant_request& request,
    const std::function<token_bucket_params(const server_request_count&)>&
        bucket_of,
    absl::Time now) {
  grant_response out{request.nonce, {}};
  if (!this->may_grant(now)) return out;
  for (const server_request_count& wanted : request.wanted) {
    const token_bucket_params params = bucket_of(wanted);
    if (params.burst < 1 || wanted.count <= 0) continue;
    bucket_state* state = this->find_or_create(wanted.server, params, now);
    if (state == nullptr) continue;
    const int granted_count = static_cast<int>(
        std::min(static_cast<double>(wanted.count), state->tokens));
    if (granted_count <= 0) continue;
    state->tokens -= granted_count;
    out.granted.push_back({wanted.server, wanted.incarnation, granted_count});
  }
  return out;
}

void grant_issuer::remove_full(absl::Time now) {
  for (auto& [server, state] : this->buckets) refill(state, now);
  std::erase_if(this->buckets, [](const auto& item) {
    return item.second.tokens >= item.second.params.burst;
  });
}

}  // namespace spokesail
