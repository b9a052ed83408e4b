// Explains one request from the log files of several nodes.
#pragma once

#include <string>
#include <vector>

#include "log-record.h"

namespace spokesail {

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
