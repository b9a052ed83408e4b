// Invariants of a soak test, checked with the records of callers and servers.
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "soak.h"

namespace spokesail::soak {
namespace {

/// How long a node may still accept a key after its revocation: `revoke_ms` in
/// the settings of the nodes.
constexpr absl::Duration revoke_deadline = absl::Seconds(3);

/// A fault may cut off requests that ended up to this long before its recorded
/// start, or that were sent up to this long after its end: a repair or the
/// expiry of the lease takes that time.
constexpr absl::Duration margin_before_fault = absl::Milliseconds(500);
constexpr absl::Duration margin_after_fault = absl::Seconds(4);

const char* outcome_name(request_outcome outcome) {
  switch (outcome) {
    case request_outcome::answered:
      return "answered";
    case request_outcome::refused:
      return "refused";
    case request_outcome::failed:
      return "failed";
    case request_outcome::key_refused:
      return "key_refused";
    case request_outcome::cut:
      return "cut";
  }
  return "";
}

}  // namespace

void soak_run::check_all(const nlohmann::json& record) {
  this->count_outcomes();
  this->check_runs(record);
  this->check_keys(record);
  this->check_planned_stops(record);
}

void soak_run::check_runs(const nlohmann::json& record) {
  const auto runs = record.value("runs", std::map<std::string, int>());
  const auto workspaces =
      record.value("workspaces", std::map<std::string, std::string>());
  const auto abandoned = record.value("abandoned", std::set<std::string>());
  auto& breaches = this->result.breaches;
  size_t matched = 0;
  for (const auto& c : this->callers) {
    for (const auto& [id, r] : c->requests()) {
      const auto ran = runs.find(id);
      if (abandoned.count(id) != 0 && r.outcome == request_outcome::refused) {
        breaches.push_back(id +
                           ": refused as not run, but a silent server has it");
      }
      if (ran == runs.end()) continue;
      ++matched;
      if (r.outcome == request_outcome::refused) {
        breaches.push_back(id + ": ran although it was refused as not run");
      }
      if (r.kind == request_kind::once && ran->second > 1) {
        breaches.push_back(id + ": ran more than once, but may run only once");
      }
      if (r.kind == request_kind::once && abandoned.count(id) != 0) {
        breaches.push_back(id + ": ran although a silent server has it, too");
      }
      if (workspaces.at(id) != "north") {
        breaches.push_back(id + ": ran for another workspace");
      }
    }
  }
  if (matched != runs.size()) {
    breaches.push_back(absl::StrCat(runs.size() - matched,
                                    " requests ran that no caller sent"));
  }
  for (const auto& rule :
       record.value("breaches", std::vector<std::string>())) {
    breaches.push_back("group: " + rule);
  }
}

void soak_run::check_keys(const nlohmann::json& record) {
  const auto runs = record.value("runs", std::map<std::string, int>());
  for (const auto& c : this->callers) {
    for (const auto& [id, r] : c->requests()) {
      if (r.key != "key-2" || runs.count(id) == 0) continue;
      for (const auto& revocation : this->key_revocations) {
        const bool ran_after_deadline =
            r.sent > revocation.from + revoke_deadline &&
            r.ended < revocation.to;
        if (!ran_after_deadline) continue;
        this->result.breaches.push_back(
            absl::StrCat(id, ": ran at node-", r.node, " ",
                         absl::ToInt64Milliseconds(r.sent - revocation.from),
                         " ms after its key had been revoked"));
      }
    }
  }
}

bool soak_run::may_be_fault_effect(const sent_request& r) const {
  const bool overdue = r.ended - r.sent >= request_deadline;
  return std::any_of(
      this->fault_windows.begin(), this->fault_windows.end(),
      [&](const auto& fault) {
        const bool ends_requests = !fault.planned || (fault.delays && overdue);
        return ends_requests && fault.from <= r.ended + margin_before_fault &&
               fault.to + margin_after_fault >= r.sent;
      });
}

void soak_run::check_planned_stops(const nlohmann::json& record) {
  const auto received = record.value("received", std::set<std::string>());
  for (const auto& c : this->callers) {
    for (const auto& [id, r] : c->requests()) {
      // A request that reached no server may have been sent while the node was
      // closing the connection, which is allowed.
      const bool cut =
          r.outcome == request_outcome::cut && received.count(id) != 0;
      if (!cut && r.outcome != request_outcome::failed) continue;
      if (r.ended == absl::InfiniteFuture()) continue;
      if (this->may_be_fault_effect(r)) continue;
      this->result.breaches.push_back(absl::StrCat(
          id, ": ", cut ? "cut off" : absl::StrCat("failed with ", r.status),
          " without an unplanned fault, at node-", r.node, " after ",
          absl::ToInt64Milliseconds(r.ended - r.sent), " ms"));
    }
  }
}

void soak_run::count_outcomes() {
  for (const auto& c : this->callers) {
    for (const auto& breach : c->breaches()) {
      this->result.breaches.push_back(breach);
    }
    for (const auto& [id, r] : c->requests()) {
      this->result.outcomes[outcome_name(r.outcome)]++;
    }
  }
}

}  // namespace spokesail::soak
