// What must hold over a whole soak, from what callers and servers saw.
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "soak.h"

namespace spokesail::soak {
namespace {

/// How long after a key was taken away a node may still accept it; the nodes'
/// settings say the same.
constexpr absl::Duration revoke_deadline = absl::Seconds(3);

/// Faults may have effects this long before they are counted and after they
/// have ended: a repair, or the lease's time.
constexpr absl::Duration before_fault = absl::Milliseconds(500);
constexpr absl::Duration after_fault = absl::Seconds(4);

const char* end_name(request_end end) {
  switch (end) {
    case request_end::answered:
      return "answered";
    case request_end::refused:
      return "refused";
    case request_end::failed:
      return "failed";
    case request_end::key_refused:
      return "key_refused";
    case request_end::cut:
      return "cut";
  }
  return "";
}

}  // namespace

void soak_run::check_all(const nlohmann::json& record) {
  this->check_ends();
  this->check_runs(record);
  this->check_keys(record);
  this->check_planned_stops(record);
}

void soak_run::check_runs(const nlohmann::json& record) {
  const auto runs = record.value("runs", std::map<std::string, int>());
  const auto workspaces =
      record.value("workspaces", std::map<std::string, std::string>());
  auto& breaches = this->result.breaches;
  size_t known = 0;
  for (const auto& c : this->callers) {
    for (const auto& [id, r] : c->requests()) {
      const auto ran = runs.find(id);
      if (ran == runs.end()) continue;
      ++known;
      if (r.end == request_end::refused) {
        breaches.push_back(id + ": refused as not run, and ran");
      }
      if (r.kind == request_kind::once && ran->second > 1) {
        breaches.push_back(id + ": ran more than once");
      }
      if (workspaces.at(id) != "north") {
        breaches.push_back(id + ": ran for another workspace");
      }
    }
  }
  if (known != runs.size()) {
    breaches.push_back(
        absl::StrCat(runs.size() - known, " requests ran that no caller sent"));
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
      for (const auto& gone : this->key_gone) {
        const bool late =
            r.sent > gone.from + revoke_deadline && r.ended < gone.to;
        if (!late) continue;
        this->result.breaches.push_back(
            absl::StrCat(id, ": ran at node-", r.node, " ",
                         absl::ToInt64Milliseconds(r.sent - gone.from),
                         " ms after its key had been taken away"));
      }
    }
  }
}

bool soak_run::excused(const sent_request& r) const {
  return std::any_of(
      this->struck.begin(), this->struck.end(), [&](const auto& fault) {
        return !fault.planned && fault.from <= r.ended + before_fault &&
               fault.to + after_fault >= r.sent;
      });
}

void soak_run::check_planned_stops(const nlohmann::json& record) {
  const auto runs = record.value("runs", std::map<std::string, int>());
  for (const auto& c : this->callers) {
    for (const auto& [id, r] : c->requests()) {
      // One that no server has seen may have crossed the end of its connection.
      if (r.end != request_end::cut || runs.count(id) == 0) continue;
      if (r.ended == absl::InfiniteFuture()) continue;
      if (this->excused(r)) continue;
      this->result.breaches.push_back(id + ": cut off while nothing failed");
    }
  }
}

void soak_run::check_ends() {
  for (const auto& c : this->callers) {
    for (const auto& breach : c->breaches()) {
      this->result.breaches.push_back(breach);
    }
    for (const auto& [id, r] : c->requests()) {
      this->result.ends[end_name(r.end)]++;
    }
  }
}

}  // namespace spokesail::soak
