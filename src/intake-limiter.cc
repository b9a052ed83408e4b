// Computes the limit on requests in progress from the host's utilization.
#include "spokesail/intake-limiter.h"

#include <algorithm>

namespace spokesail {
namespace {

/// Number of requests by which the limit exceeds the current number if there is
/// capacity left, per core: bounds what is accepted before the next
/// measurement.
constexpr double growth_per_core = 128;
constexpr double min_growth = 4;

/// The lower bound of the limit, as a fraction of the growth: fewer requests do
/// not overload a host.
constexpr double min_limit_share = 0.25;

/// Mean delay at which the event loop counts as half utilized: a few handlers
/// of requests on an eighth of a core.
constexpr absl::Duration half_utilized_delay = absl::Milliseconds(3);

/// Connections are accepted again below this fraction of the limit.
constexpr double resume_fraction = 0.8;

/// Lower bound of the utilization in a prediction from few requests.
constexpr double min_measured_utilization = 0.02;

/// Requests on open connections may exceed the limit by this factor: most of
/// them end within a few intervals.
constexpr double overload_factor = 1.5;

/// The event loop runs on one core.
constexpr double usable_cores = 1;

/// The utilization of an event loop with this mean delay, as of a queue with
/// one server.
double loop_utilization(absl::Duration mean_delay) {
  return absl::FDivDuration(mean_delay, mean_delay + half_utilized_delay);
}

}  // namespace

intake_limiter::intake_limiter(node_capacity host)
    : capacity{std::min(host.cores, usable_cores), host.link_bytes_per_s},
      growth(std::max(min_growth, growth_per_core * this->capacity.cores)),
      max_in_progress(growth) {}

void intake_limiter::update(const node_usage& usage, int in_progress,
                            absl::Duration loop_delay, absl::Time now) {
  if (this->interval_start == absl::InfinitePast()) {
    this->interval_start = now;
    this->start_usage = usage;
    return;
  }
  this->loop_delay_sum += std::max(loop_delay, absl::ZeroDuration());
  this->in_progress_sum += in_progress;
  this->samples++;
  if (now - this->interval_start >= interval) this->end_interval(usage, now);
}

double intake_limiter::utilization_since_start(const node_usage& usage,
                                               absl::Duration elapsed) const {
  const double processor =
      absl::FDivDuration(
          usage.processor_time - this->start_usage.processor_time, elapsed) /
      this->capacity.cores;
  if (this->capacity.link_bytes_per_s <= 0) return processor;
  const auto bytes = static_cast<double>(
      std::max(usage.bytes_in - this->start_usage.bytes_in,
               usage.bytes_out - this->start_usage.bytes_out));
  const double link =
      bytes / absl::ToDoubleSeconds(elapsed) / this->capacity.link_bytes_per_s;
  return std::max(processor, link);
}

void intake_limiter::end_interval(const node_usage& usage, absl::Time now) {
  const absl::Duration mean_delay = this->loop_delay_sum / this->samples;
  const double mean_in_progress = this->in_progress_sum / this->samples;
  this->used_fraction =
      std::max(this->utilization_since_start(usage, now - this->interval_start),
               loop_utilization(mean_delay));
  const double predicted =
      mean_in_progress * target_utilization /
      std::max(this->used_fraction, min_measured_utilization);
  this->max_in_progress = this->used_fraction < target_utilization
                              ? std::max(predicted, mean_in_progress + growth)
                              : std::max(predicted, min_limit_share * growth);
  this->interval_start = now;
  this->start_usage = usage;
  this->loop_delay_sum = absl::ZeroDuration();
  this->in_progress_sum = 0;
  this->samples = 0;
}

bool intake_limiter::admits(int in_progress, absl::Time now) const {
  return in_progress < this->max_in_progress || this->closed_too_long(now);
}

bool intake_limiter::may_resume(int in_progress, absl::Time now) const {
  return in_progress < resume_fraction * this->max_in_progress ||
         this->closed_too_long(now);
}

bool intake_limiter::overloaded(int in_progress) const {
  return in_progress > overload_factor * this->max_in_progress;
}

}  // namespace spokesail
