// Checks the records of a concurrent run against the system's invariants.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace spokesail::test {

/// The lines of a run's records. They come from callers ("request"), backend
/// servers ("boot", "assign", "run"), the platform ("change") and entry hosts
/// ("in_force").
using history = std::vector<nlohmann::json>;

/// Properties of the run that is checked.
struct history_options {
  /// The run had only planned stops, so no request may fail or be lost.
  bool planned_only = false;
  /// How long a group may accept requests after it lost a member, in seconds.
  double presence_window = 3;
  /// How long a leaving server may accept new work, in seconds.
  double leaving_window = 3;
};

/// Returns the breaches found, one line each; empty if all rules hold.
std::vector<std::string> check_history(history lines,
                                       const history_options& options);

/// Reads the lines of a file: JSON lines or an entry host's key=value log.
history read_history(const std::string& file);

}  // namespace spokesail::test
