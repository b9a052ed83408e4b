// Explains the outcome of a request from the log files of several nodes.
#pragma once

#include <string>
#include <vector>

#include "log-record.h"

namespace spokesail {

/// The history of one request.
struct explanation {
  /// The request's log lines and the preceding state changes of its nodes, its
  /// groups and the lease, sorted by time.
  std::vector<std::string> lines;
  /// The cause of its outcome, in a few sentences; empty if the logs have no
  /// `request_ended` line for the request.
  std::string cause;
};

/// Explains the request `id` from the records of any nodes, in any order.
explanation explain_request(const std::string& id,
                            std::vector<log_record> records);

}  // namespace spokesail
