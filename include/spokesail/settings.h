// The settings of one `spokesail serve` process, read from a YAML file.
#pragma once

#include <absl/time/time.h>

#include <boost/leaf.hpp>
#include <map>
#include <string>
#include <vector>

#include "spokesail/reducer.h"

namespace spokesail {

/// One error in a YAML file.
struct yaml_fault {
  std::string file;
  /// Counted from 1; 0 if the file could not be read.
  int line = 0;
  std::string key;
  std::string given;
  std::string allowed;
  bool operator==(const yaml_fault&) const = default;
};

/// The error of reading settings or configuration: all faults at once.
struct yaml_error {
  std::vector<yaml_fault> faults;
};

/// Formats a fault as one line of text.
std::string describe(const yaml_fault& fault);

/// A peer that is listed in the settings.
struct peer_setting {
  std::string hall;
  std::string address;
  bool operator==(const peer_setting&) const = default;
};

/// Limits on callers of one node.
struct entry_limits {
  int connections = 512;
  /// Largest request body, in bytes.
  int64_t body_bytes = 1 << 20;
  /// A request must have arrived completely within this time.
  absl::Duration read_deadline = absl::Seconds(10);
  bool operator==(const entry_limits&) const = default;
};

/// The contents of a settings file.
struct settings {
  member_info self;
  std::string platform_address;
  absl::Duration platform_deadline = absl::Seconds(1);
  std::vector<peer_setting> peers;
  entry_limits limits;
  node_options node;
};

/// Reads and validates a settings file. Fails with a `yaml_error`.
boost::leaf::result<settings> read_settings(const std::string& file);

}  // namespace spokesail
