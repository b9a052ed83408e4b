// One line of a node's log, read back.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace spokesail {

/// One line of a log, as key=value pairs in their order.
struct log_record {
  std::string time;
  std::string node;
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;
  /// The line as it stands in the file.
  std::string text;

  /// A field's value; empty if the line has none.
  std::string value(const std::string& key) const;
};

/// Reads a line; fields it cannot read are left out. Whatever stands before
/// `time=` is passed over.
log_record parse_log_line(const std::string& line);

}  // namespace spokesail
