// Counts from nodes' logs the requests that were not served in time, by cause.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "log-record.h"

namespace spokesail {

/// The number of requests, and of those not served in time (lost).
struct loss_count {
  int requests = 0;
  int lost = 0;
  bool operator==(const loss_count&) const = default;
};

/// Statistics of the requests in some log files. Requests for which no route
/// was found are left out, since it is unknown what should have served them.
struct loss_report {
  loss_count all;
  /// Lost requests by cause and route.
  std::map<std::string, std::map<std::string, int>> by_cause;
  /// Counts by second of arrival, relative to the first request's arrival.
  std::map<int64_t, loss_count> by_second;
  bool operator==(const loss_report&) const = default;
};

/// Why a request was not served in time, by the record of its end; empty if it
/// was served in time or the record is not about the end of a request.
std::string loss_cause(const log_record& record);

/// Counts the requests of `records`, in any order.
loss_report count_losses(const std::vector<log_record>& records);

/// Formats the report as text, with a bar chart of losses over time.
std::string loss_text(const loss_report& report);

}  // namespace spokesail
