#include "explain.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <set>

namespace spokesail {
namespace {

/// Events that change a node's state. The latest of each is shown with every
/// request that the node serves afterwards.
const std::set<std::string> node_state_events = {
    "config_in_force", "store_lost", "store_regained", "not_ready",
    "ready",           "stopping",   "relay_chosen",   "relay_failed",
    "servers_listed",  "start",      "halls_closed"};

/// Events about a group, with the field that names the group.
const std::map<std::string, std::string> group_events = {
    {"group_suspected", "group"},
    {"group_given_up", "group"},
    {"group_dissolved", "subject"},
    {"group_forming", "subject"},
    {"order", "group"}};

/// Whether a record is about one of `groups`.
bool concerns_group(const log_record& r, const std::set<std::string>& groups) {
  const auto named = group_events.find(r.event);
  return named != group_events.end() &&
         groups.count(r.value(named->second)) != 0;
}

std::string format_record(const log_record& r) {
  return absl::StrCat(
      r.time, " ", r.node, " ", r.event,
      r.text.substr(
          std::min(r.text.size(), r.text.find("event=") + 6 + r.event.size())));
}

/// The last records about a request, by kind.
struct request_records {
  const log_record* end = nullptr;
  /// The last attempt that failed; null if there is none.
  const log_record* attempt = nullptr;
  /// The last attempt that was kept in spite of a doubt; null if there is none.
  const log_record* kept = nullptr;
};

std::string describe_attempt(const log_record& attempt) {
  std::string out = absl::StrCat("; its last failed attempt was at server ",
                                 attempt.value("server"));
  if (!attempt.value("group").empty()) {
    absl::StrAppend(&out, " of group ", attempt.value("group"));
  }
  absl::StrAppend(&out, " and ended ", attempt.value("end"), " (",
                  attempt.value("why"), ")");
  return out;
}

std::string describe_kept(const log_record& kept) {
  return absl::StrCat("; its attempt at server ", kept.value("server"),
                      " was in doubt (", kept.value("cause"), ", silent for ",
                      kept.value("silent_ms"),
                      " ms) and was kept because: ", kept.value("why"));
}

std::string cause_of(const request_records& records) {
  const log_record& end = *records.end;
  const std::string outcome = end.value("outcome");
  std::string out = absl::StrCat("The request ended as ", outcome);
  if (end.value("status") != "0") {
    absl::StrAppend(&out, " with status ", end.value("status"));
  }
  if (!end.value("why").empty()) {
    absl::StrAppend(&out, " because: ", end.value("why"));
  }
  if (!end.value("no_retry").empty()) {
    absl::StrAppend(&out,
                    "; it was not sent again because: ", end.value("no_retry"));
  }
  absl::StrAppend(&out, ". It was sent ", end.value("sends"),
                  " time(s) and may have run ", end.value("runs"), " time(s)");
  if (records.kept != nullptr) out += describe_kept(*records.kept);
  if (records.attempt != nullptr) out += describe_attempt(*records.attempt);
  absl::StrAppend(&out, ". The node then had configuration ",
                  end.value("config"), ", verified ",
                  end.value("config_age_ms"),
                  " ms before, and the servers as of revision ",
                  end.value("servers_rev"), ".");
  return out;
}

}  // namespace

explanation explain_request(const std::string& id,
                            std::vector<log_record> records) {
  std::stable_sort(
      records.begin(), records.end(),
      [](const auto& a, const auto& b) { return a.time < b.time; });
  std::set<std::string> nodes;
  std::set<std::string> groups;
  request_records own;
  for (const auto& r : records) {
    if (r.value("id") != id) continue;
    nodes.insert(r.node);
    if (!r.value("group").empty()) groups.insert(r.value("group"));
    if (r.event == "request_ended") own.end = &r;
    if (r.event == "attempt_ended") own.attempt = &r;
    if (r.event == "attempt_kept") own.kept = &r;
  }
  explanation out;
  if (own.end == nullptr) return out;
  // The latest state change of each kind before the end, by node and event.
  std::map<std::string, const log_record*> state_changes;
  std::vector<const log_record*> selected;
  for (const auto& r : records) {
    if (r.time > own.end->time) break;
    if (r.value("id") == id || concerns_group(r, groups)) {
      selected.push_back(&r);
    } else if (node_state_events.count(r.event) != 0 &&
               nodes.count(r.node) != 0) {
      state_changes[absl::StrCat(r.node, " ", r.event)] = &r;
    } else if (r.event == "lease_taken") {
      state_changes["lease"] = &r;
    }
  }
  for (const auto& [kind, r] : state_changes) selected.push_back(r);
  std::stable_sort(
      selected.begin(), selected.end(),
      [](const auto* a, const auto* b) { return a->time < b->time; });
  for (const auto* r : selected) out.lines.push_back(format_record(*r));
  out.cause = cause_of(own);
  return out;
}

}  // namespace spokesail
