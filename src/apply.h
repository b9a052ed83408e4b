// Operators' actions through the platform: applying and reading back the
// configuration, and writing the audit trail.
#pragma once

#include <boost/leaf.hpp>
#include <string>

#include "spokesail/config.h"
#include "spokesail/platform.h"

namespace spokesail {

/// Why an operator's change did not take effect.
struct apply_error {
  enum class reason { platform_unavailable, conflict, stale_base };
  reason why = reason::platform_unavailable;
  /// The head that is in the platform now, if known.
  config_head current_head;
};

/// The accepted configuration and its head; revision 0 if there is none yet.
struct accepted_config {
  config_head head;
  object head_object;
  configuration content;
};

/// Reads the accepted configuration. Fails with an `apply_error`.
boost::leaf::result<accepted_config> read_accepted(platform_store& store);

/// Makes `next` the accepted configuration, based on revision `base` (-1 for
/// the newest). The bundle is written first; the configuration is accepted once
/// the head refers to it. Fails with an `apply_error`.
boost::leaf::result<config_head> accept_config(
    platform_store& store, const configuration& next, int64_t base,
    const std::string& operator_name);

/// Adds one entry to the audit trail.
void write_audit(platform_store& store, const std::string& event,
                 const std::string& operator_name, const std::string& detail);

}  // namespace spokesail
