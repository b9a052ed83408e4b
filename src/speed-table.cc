// Computes slowness from samples, and bounds its effect.
#include "spokesail/speed-table.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace spokesail {
namespace {

/// Interval between two comparisons.
constexpr absl::Duration refresh_period = absl::Milliseconds(200);

/// Maximum number of samples kept for one endpoint.
constexpr size_t max_samples = 32;

/// A node reports an endpoint that is at least this slow, given this many
/// samples. If a peer has reported the endpoint, fewer samples suffice: nodes
/// that saw nothing unusual would not report on their own, and only the reports
/// of slowness would be counted.
constexpr double report_threshold = 2;
constexpr int min_samples_to_report = 2;
constexpr int min_samples_to_confirm = 1;

/// Slowness of an endpoint that fails all its requests, as a multiple of its
/// own time. A failed request costs the caller far more than a slow response.
constexpr double failure_cost = 10;

/// Failures allowed to any endpoint, since a few requests fail anywhere.
constexpr double tolerated_failures = 0.5;

/// Tolerated excess of an endpoint's failure share over that of the others.
/// With few samples, occasional failures change the share by as much.
constexpr double tolerated_failure_excess = 0.15;

/// Largest fraction of the endpoints that may be penalized; one of two may be.
constexpr double max_slow_fraction = 0.4;

/// From this ratio on, a request that ended without a response shows that its
/// endpoint is slow: normal endpoints have mostly responded by then.
constexpr double min_unanswered_ratio = 3;

/// Reported slowness is rounded to multiples of this in its base-two logarithm,
/// so that reports do not change with each sample.
constexpr double report_step = 0.25;

double sample_weight(absl::Duration age) {
  return std::exp2(-absl::FDivDuration(age, speed_table::half_life));
}

/// The lower weighted median; the values are (value, weight).
double median_of(std::vector<std::pair<double, double>> values) {
  std::sort(values.begin(), values.end());
  double total = 0;
  for (const auto& [value, weight] : values) total += weight;
  double sum = 0;
  for (const auto& [value, weight] : values) {
    sum += weight;
    if (2 * sum >= total) return value;
  }
  return values.empty() ? 1 : values.back().first;
}

/// Bounds one node's report or sample. Values below 1 are kept: clamping them
/// to 1 would bias the mean of reports upwards.
double clamp_slowness(double slowness) {
  return std::clamp(slowness, 1 / speed_table::max_slowness,
                    speed_table::max_slowness);
}

/// Scales slowness by the number of samples behind it, so that the penalty of
/// an endpoint grows and shrinks gradually.
double scale_by_samples(double slowness, double samples) {
  const double excess = samples - speed_table::min_samples + 1;
  const double part = std::clamp(excess / speed_table::min_samples, 0.0, 1.0);
  return 1 + (slowness - 1) * part;
}

}  // namespace

speed_table::record& speed_table::find_record(const endpoint_id& id,
                                              absl::Time now) {
  this->set_epoch(id, now);
  record& r = this->records[id.endpoint];
  r.kind = id.kind;
  r.epoch = id.epoch;
  if (r.samples.size() >= max_samples) r.samples.pop_front();
  return r;
}

void speed_table::add_sample(const endpoint_id& id, double ratio,
                             absl::Time now) {
  this->find_record(id, now).samples.push_back({now, ratio, false});
}

void speed_table::add_unanswered(const endpoint_id& id, double ratio,
                                 absl::Time now) {
  if (ratio >= min_unanswered_ratio) this->add_sample(id, ratio, now);
}

void speed_table::record_failure(const endpoint_id& id, absl::Time now) {
  this->find_record(id, now).samples.push_back({now, 1, true});
}

void speed_table::set_epoch(const endpoint_id& id, absl::Time now) {
  const auto found = this->records.find(id.endpoint);
  if (found == this->records.end() || found->second.epoch == id.epoch) return;
  found->second.epoch = id.epoch;
  found->second.samples.clear();
  found->second.ignore_peers_until = now + 2 * this->peer_lifetime;
  this->slow.erase(id.endpoint);
  this->last_refresh = absl::InfinitePast();
}

void speed_table::update_peer(const std::string& peer,
                              std::vector<endpoint_speed> speeds,
                              absl::Time now) {
  if (speeds.empty()) {
    this->peers.erase(peer);
    return;
  }
  this->peers[peer] = {std::move(speeds), now};
}

void speed_table::expire(absl::Time now) {
  for (auto& [endpoint, r] : this->records) {
    while (!r.samples.empty() && now - r.samples.front().at > sample_ttl) {
      r.samples.pop_front();
    }
  }
  absl::erase_if(this->records, [&](const auto& item) {
    return item.second.samples.empty() && now >= item.second.ignore_peers_until;
  });
  absl::erase_if(this->peers, [&](const auto& item) {
    return now - item.second.at > this->peer_lifetime;
  });
}

speed_table::summary speed_table::summarize(const record& r, absl::Time now) {
  summary out;
  double failed = 0;
  std::vector<std::pair<double, double>> ratios;
  for (const auto& s : r.samples) {
    const double weight = sample_weight(now - s.at);
    out.weight += weight;
    if (s.failed) {
      failed += weight;
    } else {
      ratios.emplace_back(s.ratio, weight);
    }
  }
  out.has_latency = !ratios.empty();
  out.ratio = median_of(std::move(ratios));
  if (out.weight > 0) {
    out.failed_share = std::max(0.0, failed - tolerated_failures) / out.weight;
  }
  return out;
}

speed_table::speed_map speed_table::compare(absl::Time now) const {
  std::map<std::string, summary> sums;
  std::map<std::string, std::vector<std::pair<double, double>>> ratios;
  std::map<std::string, std::vector<std::pair<double, double>>> failures;
  for (const auto& [endpoint, r] : this->records) {
    if (r.samples.empty()) continue;
    const summary sum = summarize(r, now);
    sums[endpoint] = sum;
    if (sum.has_latency) ratios[r.kind].emplace_back(sum.ratio, 1);
    failures[r.kind].emplace_back(sum.failed_share, 1);
  }
  speed_map out;
  for (const auto& [endpoint, sum] : sums) {
    const std::string& kind = this->records.at(endpoint).kind;
    const auto kind_ratios = ratios.find(kind);
    // There is no other endpoint to compare with.
    if (failures[kind].size() < 2) continue;
    const bool compared = sum.has_latency && kind_ratios->second.size() >= 2;
    const double median = compared ? median_of(kind_ratios->second) : 1;
    const double latency_ratio =
        compared && median > 0 ? sum.ratio / median : 1;
    const double excess =
        std::max(0.0, sum.failed_share - median_of(failures[kind]) -
                          tolerated_failure_excess);
    const double slowness =
        clamp_slowness(latency_ratio * (1 + failure_cost * excess));
    out[endpoint] = {endpoint, slowness,
                     static_cast<int>(std::lround(sum.weight))};
  }
  return out;
}

speed_table::speed_map speed_table::combine(const speed_map& measured,
                                            absl::Time now) const {
  // Sums of logarithms and of samples.
  std::map<std::string, std::pair<double, double>> sums;
  const auto add = [&](const endpoint_speed& speed) {
    auto& [logs, samples] = sums[speed.endpoint];
    logs += std::log(clamp_slowness(speed.slowness)) * speed.samples;
    samples += speed.samples;
  };
  for (const auto& [endpoint, speed] : measured) add(speed);
  for (const auto& [name, report] : this->peers) {
    for (const auto& speed : report.speeds) {
      const auto own_speed = measured.find(speed.endpoint);
      if (own_speed != measured.end() &&
          own_speed->second.samples >= enough_samples)
        continue;
      const auto known = this->records.find(speed.endpoint);
      const bool stale = known != this->records.end() &&
                         now < known->second.ignore_peers_until;
      if (speed.samples > 0 && !stale) add(speed);
    }
  }
  speed_map out;
  for (const auto& [endpoint, sum] : sums) {
    const auto& [logs, samples] = sum;
    const double slowness = scale_by_samples(std::exp(logs / samples), samples);
    if (slowness < min_slowness) continue;
    out[endpoint] = {endpoint, slowness, static_cast<int>(samples)};
  }
  return out;
}

std::vector<endpoint_speed> speed_table::select_reported(
    const speed_map& measured) const {
  speed_map reported_by_peers;
  for (const auto& [name, report] : this->peers) {
    for (const auto& speed : report.speeds) {
      if (speed.slowness >= report_threshold)
        reported_by_peers[speed.endpoint] = speed;
    }
  }
  std::vector<endpoint_speed> out;
  for (const auto& [endpoint, speed] : measured) {
    const bool slow_here = speed.slowness >= report_threshold;
    const bool reports = slow_here && speed.samples >= min_samples_to_report;
    const bool confirms = reported_by_peers.contains(endpoint) &&
                          speed.samples >= min_samples_to_confirm;
    if (!reports && !confirms) continue;
    const double step = std::round(std::log2(speed.slowness) / report_step);
    out.push_back({endpoint, std::exp2(step * report_step), speed.samples});
  }
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
    return std::pair(-a.slowness, a.endpoint) <
           std::pair(-b.slowness, b.endpoint);
  });
  if (out.size() > max_reported) out.resize(max_reported);
  return out;
}

void speed_table::record_changes(const speed_map& next, absl::Time now) {
  const auto age = [&](const std::string& endpoint) {
    const auto found = this->records.find(endpoint);
    const bool no_samples =
        found == this->records.end() || found->second.samples.empty();
    return no_samples ? absl::InfiniteDuration()
                      : now - found->second.samples.back().at;
  };
  for (const auto& [endpoint, speed] : next) {
    if (this->slow.contains(endpoint)) continue;
    this->changes.push_back({speed, age(endpoint)});
  }
  for (const auto& [endpoint, speed] : this->slow) {
    if (next.contains(endpoint)) continue;
    endpoint_speed recovered = speed;
    recovered.slowness = 1;
    this->changes.push_back({recovered, age(endpoint)});
  }
}

void speed_table::refresh(absl::Time now) {
  if (now - this->last_refresh < refresh_period) return;
  this->last_refresh = now;
  if (this->records.empty() && this->peers.empty() && this->slow.empty()) {
    this->current_report.clear();
    return;
  }
  this->expire(now);
  const speed_map measured = this->compare(now);
  speed_map next = this->combine(measured, now);
  this->current_report = this->select_reported(measured);
  this->record_changes(next, now);
  this->slow = std::move(next);
}

double speed_table::slowness(const std::string& endpoint, absl::Time now) {
  this->refresh(now);
  const auto found = this->slow.find(endpoint);
  return found == this->slow.end() ? 1 : found->second.slowness;
}

std::vector<endpoint_speed> speed_table::reported(absl::Time now) {
  this->refresh(now);
  return this->current_report;
}

std::vector<speed_change> speed_table::take_changes() {
  return std::exchange(this->changes, {});
}

size_t max_slow_endpoints(size_t endpoints) {
  if (endpoints < 2) return 0;
  const double share = max_slow_fraction * static_cast<double>(endpoints);
  return std::max<size_t>(1, static_cast<size_t>(share));
}

std::vector<double> bound_slowness(std::vector<double> slowness) {
  std::vector<size_t> slow;
  for (size_t i = 0; i < slowness.size(); ++i) {
    if (slowness[i] > 1) slow.push_back(i);
  }
  if (2 * slow.size() > slowness.size()) {
    // If most endpoints are slow, avoiding them would overload the others.
    return std::vector<double>(slowness.size(), 1.0);
  }
  std::stable_sort(slow.begin(), slow.end(), [&](size_t a, size_t b) {
    return slowness[a] > slowness[b];
  });
  for (size_t i = max_slow_endpoints(slowness.size()); i < slow.size(); ++i) {
    slowness[slow[i]] = 1;
  }
  return slowness;
}

}  // namespace spokesail
