// Outages of the platform's store, as a node sees them.
#include "store-reach.h"

#include <absl/strings/str_cat.h>

namespace spokesail {
namespace {

/// An outage shorter than this cannot have let entries lapse.
constexpr absl::Duration least_outage = absl::Seconds(1);

}  // namespace

void store_reach::note(bool answered, const std::string& error) {
  if (answered == this->node.store_reachable) return;
  const absl::Time now = this->node.now();
  this->node.store_reachable = answered;
  if (!answered) this->lost_at = now;
  if (answered && now - this->lost_at >= least_outage) this->back_at = now;
  this->node.log.belief(
      answered ? "store_regained" : "store_lost",
      {{"why", error},
       {"config_rev", absl::StrCat(this->node.config_revision)},
       {"servers_rev", absl::StrCat(this->node.directory.revision())}},
      now);
}

}  // namespace spokesail
