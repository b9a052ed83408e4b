#include "losses.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/time.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace spokesail {
namespace {

/// If a request waited at the node, before it was sent, for more than this
/// fraction of its goal, the wait rather than the group is reported as the
/// cause of a late first event.
constexpr double long_wait_fraction = 0.1;

/// Width of a full bar in characters.
constexpr int max_bar_width = 50;

/// Seconds covered by one line of the plot.
constexpr int64_t plot_step_s = 2;

constexpr int max_routes_listed = 3;

/// A field as a number; 0 if it is missing or not a number.
double number(const log_record& r, const char* key) {
  double out = 0;
  return absl::SimpleAtod(r.value(key), &out) ? out : 0;
}

/// Why a stream's first event was late.
std::string first_event_cause(const log_record& r) {
  const double goal = number(r, "due_ms");
  if (number(r, "sends") > 1) return "first event late: retried";
  if (number(r, "wait_ms") > long_wait_fraction * goal) {
    return "first event late: queued at the node";
  }
  if (number(r, "predicted_ms") > goal) return "first event late: as predicted";
  return "first event late: later than predicted";
}

std::string answered_cause(const log_record& r) {
  if (r.value("status").substr(0, 1) == "5") return "failed by its server";
  const double goal = number(r, "due_ms");
  if (r.value("longest_gap_ms").empty()) {
    return number(r, "total_ms") > goal ? "answer late" : "";
  }
  if (number(r, "first_ms") > goal) return first_event_cause(r);
  if (number(r, "pause_ms") <= number(r, "longest_gap_ms")) return "";
  return number(r, "sends") > 1 ? "pause too long: resumed at another group"
                                : "pause too long: in one group";
}

/// When a request arrived; infinite past if the line has no valid time.
absl::Time arrival(const log_record& r) {
  absl::Time ended;
  std::string error;
  if (!absl::ParseTime(absl::RFC3339_full, r.time, &ended, &error)) {
    return absl::InfinitePast();
  }
  return ended - absl::Milliseconds(number(r, "total_ms"));
}

/// Whether a record is the end of a request for which a route was found.
bool is_counted(const log_record& r) {
  return r.event == "request_ended" && !r.value("route").empty();
}

/// The routes with the most losses, with their counts.
std::string worst_routes(const std::map<std::string, int>& routes) {
  std::vector<std::pair<int, std::string>> sorted;
  sorted.reserve(routes.size());
  for (const auto& [route, count] : routes) sorted.emplace_back(count, route);
  std::sort(sorted.rbegin(), sorted.rend());
  if (sorted.size() > max_routes_listed) sorted.resize(max_routes_listed);
  std::string out;
  for (const auto& [count, route] : sorted) {
    absl::StrAppend(&out, out.empty() ? "" : ", ", route, " ", count);
  }
  return out;
}

double percent(int part, int whole) {
  return whole == 0 ? 0 : 100.0 * part / whole;
}

std::string cause_lines(const loss_report& report) {
  std::vector<std::pair<int, std::string>> causes;
  for (const auto& [cause, routes] : report.by_cause) {
    int sum = 0;
    for (const auto& [route, count] : routes) sum += count;
    causes.emplace_back(sum, cause);
  }
  std::sort(causes.rbegin(), causes.rend());
  std::string out;
  for (const auto& [count, cause] : causes) {
    absl::StrAppendFormat(&out, "%7d %5.1f%%  %-42s %s\n", count,
                          percent(count, report.all.requests), cause,
                          worst_routes(report.by_cause.at(cause)));
  }
  return out;
}

std::string plot(const loss_report& report) {
  std::map<int64_t, loss_count> steps;
  for (const auto& [second, count] : report.by_second) {
    loss_count& step = steps[second / plot_step_s * plot_step_s];
    step.requests += count.requests;
    step.lost += count.lost;
  }
  std::string out = " second requests lost\n";
  for (const auto& [second, count] : steps) {
    const int width = count.lost * max_bar_width / std::max(1, count.requests);
    absl::StrAppendFormat(&out, "%7d %8d %4d %s\n", second, count.requests,
                          count.lost, std::string(width, '#'));
  }
  return out;
}

}  // namespace

std::string loss_cause(const log_record& record) {
  if (!is_counted(record)) return "";
  const std::string outcome = record.value("outcome");
  if (outcome == "answered") return answered_cause(record);
  // A request that ends because the caller disconnected does not show a fault
  // of the service, whatever failed along with it.
  if (outcome == "caller_gone") return "caller disconnected";
  return absl::StrCat(outcome, ": ", record.value("why"));
}

loss_report count_losses(const std::vector<log_record>& records) {
  loss_report out;
  absl::Time start = absl::InfiniteFuture();
  for (const auto& r : records) {
    if (is_counted(r)) start = std::min(start, arrival(r));
  }
  for (const auto& r : records) {
    if (!is_counted(r)) continue;
    const std::string cause = loss_cause(r);
    const int64_t second = absl::ToInt64Seconds(arrival(r) - start);
    loss_count& step = out.by_second[second];
    out.all.requests++;
    step.requests++;
    if (cause.empty()) continue;
    out.all.lost++;
    step.lost++;
    out.by_cause[cause][r.value("route")]++;
  }
  return out;
}

std::string loss_text(const loss_report& report) {
  return absl::StrFormat("%d requests, %d (%.1f%%) not served in time\n\n",
                         report.all.requests, report.all.lost,
                         percent(report.all.lost, report.all.requests)) +
         cause_lines(report) + "\n" + plot(report);
}

}  // namespace spokesail
