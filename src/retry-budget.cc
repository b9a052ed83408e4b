// One node's share of the fleet's retry budget.
#include "spokesail/retry-budget.h"

#include <algorithm>
#include <utility>

namespace spokesail {
namespace {

/// Fraction of the budget that is used at most. The rest covers the windows of
/// other nodes, which begin at other moments, and processes that have just
/// started.
constexpr double usable_fraction = 0.85;

/// Fraction of the ratio that a process uses within its first window.
constexpr double first_window_fraction = 1 - usable_fraction;

}  // namespace

retry_budget::history& retry_budget::current_history(const std::string& service,
                                                     absl::Time now) {
  history& h = this->services[service];
  const absl::Time since = now - this->limits.window;
  while (!h.requests.empty() && h.requests.front() < since) {
    h.requests.pop_front();
  }
  while (!h.retries.empty() && h.retries.front() < since) {
    h.retries.pop_front();
  }
  return h;
}

void retry_budget::count_request(const std::string& service, absl::Time now) {
  this->current_history(service, now).requests.push_back(now);
}

double retry_budget::allowance(const history& h, std::optional<int> nodes,
                               absl::Time now) const {
  const double ratio_part =
      this->limits.ratio * static_cast<double>(h.requests.size());
  if (now - this->started < this->limits.window) {
    return first_window_fraction * ratio_part;
  }
  const double slack_part =
      nodes ? this->limits.slack / std::max(1, *nodes) : 0;
  return usable_fraction * (ratio_part + slack_part);
}

retry_usage retry_budget::usage(const std::string& service,
                                std::optional<int> nodes, absl::Time now) {
  const history& h = this->current_history(service, now);
  retry_usage out;
  out.requests = static_cast<int>(h.requests.size());
  out.retries = static_cast<int>(h.retries.size());
  out.reserved = h.reserved;
  out.remaining = this->allowance(h, nodes, now) - out.retries - out.reserved;
  return out;
}

std::optional<retry_reservation> retry_budget::reserve(
    const std::string& service, std::optional<int> nodes, absl::Time now) {
  if (this->usage(service, nodes, now).remaining < 1) return std::nullopt;
  return retry_reservation(this->services[service]);
}

retry_reservation::retry_reservation(retry_budget::history& source)
    : history(&source) {
  this->history->reserved++;
}

retry_reservation::retry_reservation(retry_reservation&& other) noexcept
    : history(std::exchange(other.history, nullptr)) {}

retry_reservation::~retry_reservation() {
  if (this->history != nullptr) this->history->reserved--;
}

void retry_reservation::spend(absl::Time now) {
  if (this->history == nullptr) return;
  this->history->reserved--;
  this->history->retries.push_back(now);
  this->history = nullptr;
}

}  // namespace spokesail
