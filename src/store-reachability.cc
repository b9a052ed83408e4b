// Detects outages of the platform's store.
#include "store-reachability.h"

#include <absl/strings/str_cat.h>

namespace spokesail {
namespace {

/// Servers' entries cannot expire during an outage shorter than this.
constexpr absl::Duration min_outage = absl::Seconds(1);

}  // namespace

void store_reachability::record_call(bool answered, const std::string& error) {
  if (answered == this->node.store_reachable) return;
  const absl::Time now = this->node.now();
  this->node.store_reachable = answered;
  if (!answered) this->outage_start = now;
  if (answered && now - this->outage_start >= min_outage)
    this->recovery_time = now;
  this->node.log.state_change(
      answered ? "store_regained" : "store_lost",
      {{"why", error},
       {"config_rev", absl::StrCat(this->node.config_revision)},
       {"servers_rev", absl::StrCat(this->node.directory.revision())}},
      now);
}

}  // namespace spokesail
