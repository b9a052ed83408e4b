// A lease over one platform document, with a monotonic fencing number.
#pragma once

#include <absl/time/time.h>

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "spokesail/document.h"

namespace spokesail {

/// The lease document's content.
struct lease_record {
  std::string holder;
  int64_t fence = 0;
  int64_t renewals = 0;
  bool operator==(const lease_record&) const = default;
};

void to_json(nlohmann::json& j, const lease_record& r);
void from_json(const nlohmann::json& j, lease_record& r);

/// Durations of a lease. Times are of a clock that also runs while the machine
/// is suspended.
struct lease_timing {
  absl::Duration duration = absl::Seconds(6);
  absl::Duration renew_period = absl::Seconds(2);
  /// The holder stops this long before its lease expires.
  absl::Duration margin = absl::Seconds(1);
  /// Upper bound of a candidate's random extra wait.
  absl::Duration takeover_jitter = absl::Seconds(1);
};

/// One candidate's view of a lease.
///
/// The holder counts the lease's duration from before it first sent the write
/// that extended it. Every other candidate counts from when it first saw the
/// version made by that write, which is later. Two candidates therefore never
/// hold the lease at once.
class lease {
 public:
  lease() = default;
  lease(std::string key, std::string self, lease_timing timing)
      : key_name(std::move(key)), self(std::move(self)), timing(timing) {}

  /// Handles a version of the document, read or watched. Versions may come in
  /// any order.
  void observe(const object& seen, absl::Time now, double random_unit);

  /// Records that the document does not exist; `random_unit`, from 0 to 1,
  /// spreads the candidates.
  void observe_absent(absl::Time now, double random_unit = 0);

  /// The write to send now, if one is due: a renewal, a takeover or a release.
  std::optional<platform_call> due(absl::Time now, const std::string& write_id);

  /// Handles the answer to a call returned by `due`.
  void on_answer(const platform_answer& answer, absl::Time now,
                 double random_unit);

  /// Whether this candidate certainly holds the lease at `now`.
  bool held(absl::Time now) const { return now < this->valid_until; }

  /// The fencing number of the lease as last seen; this candidate's own while
  /// it holds the lease.
  int64_t fence() const { return this->record.fence; }

  /// The record as last seen.
  const lease_record& last_seen() const { return this->record; }

  /// The document as last seen.
  const object& last_object() const { return this->base; }

  /// Whether the document as last seen is not a lease.
  bool unreadable() const;

  /// Stops holding the lease now without informing the others; they take it
  /// over once it has expired.
  void abandon() { this->valid_until = absl::InfinitePast(); }

  /// Stops holding the lease now; `due` then returns the write that releases
  /// it, and others may take it over at once.
  void release();

  /// Whether the document says that nobody holds the lease.
  bool released() const { return this->known && this->record.holder.empty(); }

  absl::Time valid_until_time() const { return this->valid_until; }

 private:
  void adopt_version(const object& seen, absl::Time now, double random_unit);

  std::string key_name;
  std::string self;
  lease_timing timing;
  lease_record record;
  object base;
  bool known = false;
  bool releasing = false;
  absl::Time takeover_at = absl::InfiniteFuture();
  absl::Time valid_until = absl::InfinitePast();
  absl::Time renew_at = absl::InfinitePast();
  std::optional<document_write> write;
  absl::Time write_sent = absl::InfinitePast();
  bool call_pending = false;
};

}  // namespace spokesail
