// Reports objects of the store that cannot be used.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>

#include "node-log.h"
#include "node-metrics.h"
#include "spokesail/document.h"

namespace spokesail {

/// Logs and counts each revision of an object once, since listings return an
/// object again for as long as it exists.
class unusable_entries {
 public:
  unusable_entries(node_metrics& metrics, node_log& log)
      : metrics(metrics), log(log) {}

  /// Reports an object. `why` is one of a few fixed reasons.
  void report(const object& o, const std::string& why, absl::Time now);

 private:
  node_metrics& metrics;
  node_log& log;
  /// The revision of each object that was reported last.
  std::map<object_key, int64_t> reported;
};

}  // namespace spokesail
