// Checks the records of a concurrent run against what must always hold.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace spokesail::test {

/// One line of a record: of a caller ("request"), a backend server ("boot",
/// "assign", "run"), the platform ("change") or an entry host ("in_force").
using history = std::vector<nlohmann::json>;

/// What a checked run was like.
struct history_options {
  /// Only planned stops: then nothing may fail or get lost.
  bool planned_only = false;
  /// A group may take requests this long after a member went, in seconds.
  double presence_window = 3;
  /// A leaving server takes new work this long, in seconds.
  double leaving_window = 3;
};

/// The breaches found, one line each; empty if all rules hold.
std::vector<std::string> check_history(history lines,
                                       const history_options& options);

/// The lines of a file: JSON texts, or an entry host's key=value log.
history read_history(const std::string& file);

}  // namespace spokesail::test
