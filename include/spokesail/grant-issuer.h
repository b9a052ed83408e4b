// Issues grants for servers that are cold or advertise a rate limit. Used by
// the lease holder.
#pragma once

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <string>

#include "spokesail/grant-messages.h"
#include "spokesail/grant-timing.h"

namespace spokesail {

/// Parameters of a token bucket; a token is one request.
struct token_bucket_params {
  /// Capacity in requests.
  double burst = 0;
  /// Refill rate in requests per second.
  double per_s = 0;
  bool operator==(const token_bucket_params&) const = default;
};

/// The bucket for a cold server that can serve `rate` requests per second. If
/// each grant is used within `grant_lifetime`, at most `rate` requests are sent
/// in any second. For a rate below 1 the bucket is empty: it issues no grants.
token_bucket_params bucket_for_cold_rate(double rate,
                                         absl::Duration grant_lifetime);

/// The bucket for a server that advertises a limit of `per_s` requests per
/// second, less the fraction that nodes use without a grant. The rate has a
/// positive minimum, even for a limit of 0: the end of a limit shows only in
/// an answer of the server, so some requests must still be sent.
token_bucket_params bucket_for_limit(double per_s);

/// Returns the lower burst and the lower rate of the two.
token_bucket_params smaller_bucket(const token_bucket_params& a,
                                   const token_bucket_params& b);

/// Token buckets from which a lease holder issues grants. There is one bucket
/// per server id, not per incarnation, since a grant that was issued before a
/// restart of the server may be used after it. Does no I/O and does not wait.
class grant_issuer {
 public:
  /// Maximum number of servers with a bucket; others get no grants.
  static constexpr size_t max_servers = 4096;

  explicit grant_issuer(grant_timing timing = {}) : timing(timing) {}

  /// Resets the buckets; this node acquired the lease at `now`.
  void begin_term(absl::Time now);
  /// Stops granting; this node no longer holds the lease.
  void end_term();
  /// Whether all grants of the previous lease holder have expired.
  bool may_grant(absl::Time now) const;
  /// Time since this node acquired the lease.
  absl::Duration term_age(absl::Time now) const {
    return now - this->term_begin;
  }

  /// Grants as many of the requested requests as there are whole tokens.
  /// `bucket_of` returns the bucket parameters of a server; nothing is granted
  /// if the burst is below 1.
  grant_response grant(
      const grant_request& request,
      const std::function<token_bucket_params(const server_request_count&)>&
          bucket_of,
      absl::Time now);

  /// Removes the buckets that are full again.
  void remove_full(absl::Time now);

  size_t size() const { return this->buckets.size(); }

 private:
  /// The token bucket of a server.
  struct bucket_state {
    token_bucket_params params;
    double tokens = 0;
    absl::Time refilled_at;
  };
  /// Returns a server's bucket, refilled up to `now` and created if missing;
  /// null if there are too many.
  bucket_state* find_or_create(const std::string& server,
                               const token_bucket_params& params,
                               absl::Time now);
  static void refill(bucket_state& state, absl::Time now);

  grant_timing timing;
  /// Infinite future while this node does not hold the lease.
  absl::Time term_begin = absl::InfiniteFuture();
  std::map<std::string, bucket_state> buckets;
};

}  // namespace spokesail
