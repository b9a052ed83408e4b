// Grants by the lease holder of requests to servers that are cold or advertise
// a rate limit.
#pragma once

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <string>

#include "spokesail/grant-messages.h"
#include "spokesail/grant-timing.h"

namespace spokesail {

/// A bucket of requests that fills with time.
struct token_bucket_params {
  /// Requests that it holds at most.
  double burst = 0;
  /// Requests by which it fills in a second.
  double per_s = 0;
  bool operator==(const token_bucket_params&) const = default;
};

/// The bucket whose grants, each used within `grant_lifetime`, come to at most
/// `rate` requests in any second; it never gives any for a rate below one.
token_bucket_params bucket_for_cold_rate(double rate,
                                         absl::Duration grant_lifetime);

/// The bucket for a server that advertises a limit of `per_s` requests per
/// second, less the fraction that nodes use without a grant. The rate has a
/// positive minimum, even for a limit of 0: only an answer from the server
/// shows that its limit has ended.
token_bucket_params bucket_for_limit(double per_s);

/// The bucket with the lower burst and the lower rate of the two.
token_bucket_params smaller_bucket(const token_bucket_params& a,
                                   const token_bucket_params& b);

/// One holder's ledger. It goes by the servers' ids, since grants for an
/// earlier start of a server may be used on the next.
class grant_issuer {
 public:
  /// Servers that it keeps count of at once; it grants nothing for others.
  static constexpr size_t max_servers = 4096;

  explicit grant_issuer(grant_timing timing = {}) : timing(timing) {}

  /// Begins anew: this node holds the lease since `now`.
  void begin_term(absl::Time now);
  /// Grants nothing any more: this node holds the lease no longer.
  void end_term();
  /// Whether the term is old enough for grants.
  bool may_grant(absl::Time now) const;
  /// How long this node has held the lease.
  absl::Duration term_age(absl::Time now) const {
    return now - this->term_begin;
  }

  /// Grants what may be sent of what is wanted. `bucket_of` returns the bucket
  /// of a server; nothing is granted if its burst is below 1.
  grant_response grant(
      const grant_request& asked,
      const std::function<token_bucket_params(const server_request_count&)>&
          bucket_of,
      absl::Time now);

  /// Drops servers whose buckets are full again.
  void remove_full(absl::Time now);

  size_t size() const { return this->buckets.size(); }

 private:
  /// A server's bucket.
  struct bucket_state {
    token_bucket_params bucket;
    double tokens = 0;
    absl::Time refilled_at;
  };
  /// A server's account, filled up to `now`; null if there are too many.
  bucket_state* find_or_create(const std::string& server,
                               const token_bucket_params& bucket,
                               absl::Time now);
  static void refill(bucket_state& a, absl::Time now);

  grant_timing timing;
  /// Infinite future while this node does not hold the lease.
  absl::Time term_begin = absl::InfiniteFuture();
  std::map<std::string, bucket_state> buckets;
};

}  // namespace spokesail
