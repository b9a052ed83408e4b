// Counts, from nodes' logs, which requests were not served in time, and why.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "log-record.h"

namespace spokesail {

/// Requests, and those of them that were not served in time.
struct loss_count {
  int requests = 0;
  int lost = 0;
  bool operator==(const loss_count&) const = default;
};

/// The requests of some log files. Requests for which no route was found are
/// left out: nobody can say what they were to be served by.
struct loss_report {
  loss_count all;
  /// Lost requests by cause, and by cause and route.
  std::map<std::string, std::map<std::string, int>> by_cause;
  /// By the second in which the request came, counted from the first one.
  std::map<int64_t, loss_count> by_second;
  bool operator==(const loss_report&) const = default;
};

/// Why a request that has ended was not served in time, by its line; empty if
/// it was served in time or the line is none of a request.
std::string loss_cause(const log_record& record);

/// Counts the requests of `records`, in any order.
loss_report count_losses(const std::vector<log_record>& records);

/// The report as text, with a bar for each second.
std::string loss_text(const loss_report& report);

}  // namespace spokesail
