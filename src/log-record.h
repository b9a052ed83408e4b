// Parser for the lines of a node's log.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace spokesail {

/// A line of a log as key=value pairs, in the order of the line.
struct log_record {
  std::string time;
  std::string node;
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;
  /// The line from `time=` on, as in the file.
  std::string text;

  /// A field's value; empty if the line has none.
  std::string value(const std::string& key) const;
};

/// Parses a line. Fields that cannot be parsed are left out, and text before
/// `time=` is ignored.
log_record parse_log_line(const std::string& line);

}  // namespace spokesail
