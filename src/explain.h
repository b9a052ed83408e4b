// Explains one request from the log files of several nodes.
#pragma once

#include <string>
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

/// What is told of one request.
struct explanation {
  /// The request's lines, and what its nodes believed then, by time.
  std::vector<std::string> lines;
  /// The cause of its outcome, in a sentence; empty if the logs do not name
  /// the request.
  std::string cause;
};

/// Explains the request `id` from `records` of any nodes, in any order.
explanation explain_request(const std::string& id,
                            std::vector<log_record> records);

}  // namespace spokesail
