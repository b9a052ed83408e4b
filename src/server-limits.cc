#include "spokesail/server-limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace spokesail {
namespace {

/// Changes up to this fraction of the larger limit are not reported.
constexpr double min_relative_change = 0.1;

bool differ_significantly(const std::optional<double>& a,
                          const std::optional<double>& b) {
  if (!a || !b) return a.has_value() != b.has_value();
  return std::abs(*a - *b) > min_relative_change * std::max(*a, *b);
}

}  // namespace

void server_limits::set(const server_instance& server,
                        std::optional<double> per_s, absl::Time answered_at) {
  entry& e = this->entries[server];
  e.per_s = per_s;
  e.answered_at = answered_at;
  if (differ_significantly(e.returned_per_s, per_s)) {
    this->changes.insert(server);
  }
}

void server_limits::note_answer(const server_instance& server,
                                std::optional<double> per_s, absl::Time sent,
                                absl::Time now) {
  const auto found = this->entries.find(server);
  if (!per_s) {
    if (found == this->entries.end() || !found->second.per_s) return;
    if (sent <= found->second.answered_at) return;
  }
  this->set(server, per_s, now);
}

bool server_limits::merge_report(const limit_report& report, absl::Time now) {
  const absl::Time answered_at = now - report.age;
  const auto found = this->entries.find(report.server);
  if (found != this->entries.end() &&
      answered_at <= found->second.answered_at) {
    return false;
  }
  if (found == this->entries.end() && !report.per_s) return false;
  this->set(report.server, report.per_s, answered_at);
  return true;
}

std::optional<double> server_limits::find(const server_instance& server) const {
  const auto found = this->entries.find(server);
  if (found == this->entries.end()) return std::nullopt;
  return found->second.per_s;
}

std::optional<limit_report> server_limits::report(const server_instance& server,
                                                  absl::Time now) const {
  const auto found = this->entries.find(server);
  if (found == this->entries.end()) return std::nullopt;
  return limit_report{server, found->second.per_s,
                      now - found->second.answered_at};
}

std::set<server_instance> server_limits::take_changes() {
  for (const auto& server : this->changes) {
    entry& e = this->entries[server];
    e.returned_per_s = e.per_s;
  }
  return std::exchange(this->changes, {});
}

void server_limits::forget(
    const std::function<bool(const server_instance&)>& exists) {
  std::erase_if(this->entries,
                [&](const auto& item) { return !exists(item.first); });
  std::erase_if(this->changes,
                [&](const auto& server) { return !exists(server); });
}

size_t server_limits::size() const {
  return static_cast<size_t>(
      std::count_if(this->entries.begin(), this->entries.end(),
                    [](const auto& item) { return item.second.per_s; }));
}

}  // namespace spokesail
