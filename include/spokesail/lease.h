// A lease over one platform document, with a fencing number that only grows.
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

/// How long leases last. Times are of a clock that runs through suspends.
struct lease_timing {
  absl::Duration duration = absl::Seconds(6);
  absl::Duration renew_period = absl::Seconds(2);
  /// The holder stops this long before its lease lapses.
  absl::Duration margin = absl::Seconds(1);
  /// A candidate waits up to this long more, at random.
  absl::Duration takeover_jitter = absl::Seconds(1);
};

/// One candidate's side of a lease.
///
/// The holder counts from before it first sent the write that extended the
/// lease; every other candidate counts from when it first saw the version that
/// the write made, which is later. So two never hold it at once.
class lease {
 public:
  lease() = default;
  lease(std::string key, std::string self, lease_timing timing)
      : key_name(std::move(key)), self(std::move(self)), timing(timing) {}

  /// Takes a version of the document, read or watched, in any order.
  void observe(const object& seen, absl::Time now, double random_unit);

  /// The document is known not to exist; `random_unit` spreads candidates.
  void observe_absent(absl::Time now, double random_unit = 0);

  /// The write to send now, if one is due: a renewal or a takeover.
  std::optional<platform_call> due(absl::Time now, const std::string& write_id);

  /// Takes the answer to a call that `due` gave.
  void on_answer(const platform_answer& answer, absl::Time now,
                 double random_unit);

  /// Whether this candidate holds the lease at `now`, for sure.
  bool held(absl::Time now) const { return now < this->valid_until; }

  /// The fencing number under which it is held.
  int64_t fence() const { return this->record.fence; }

  /// The record as last seen.
  const lease_record& last_seen() const { return this->record; }

  /// The document as last seen.
  const object& last_object() const { return this->base; }

  /// Stops holding the lease now, without a word to the others; they take it
  /// over once it has run out.
  void abandon() { this->valid_until = absl::InfinitePast(); }

  /// Stops holding the lease now; `due` then gives the write that says so, and
  /// others may take it over at once.
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
