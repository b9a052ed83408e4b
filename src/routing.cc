#include "spokesail/routing.h"

#include <algorithm>

namespace spokesail {
namespace {

/// An option keeps its prefixes while its load is at most this many times the
/// mean.
constexpr double affinity_bound = 1.25;

double utilization(const route_option& option) {
  const int load = std::max(option.in_flight, option.reported);
  return static_cast<double>(load) / std::max(option.capacity, 1);
}

double mean_utilization(const std::vector<route_option>& options) {
  double sum = 0;
  for (const auto& option : options) sum += utilization(option);
  return sum / static_cast<double>(options.size());
}

std::optional<size_t> affinity_option(const std::vector<route_option>& options,
                                      uint64_t prefix) {
  std::vector<std::string> names;
  names.reserve(options.size());
  for (const auto& option : options) names.push_back(option.name);
  const double bound = affinity_bound * mean_utilization(options);
  const auto ranked = rendezvous(std::to_string(prefix), names, names.size());
  for (const auto& name : ranked) {
    const auto it = std::find(names.begin(), names.end(), name);
    const auto i = static_cast<size_t>(it - names.begin());
    const double request_share = 1.0 / std::max(options[i].capacity, 1);
    const bool near_mean = utilization(options[i]) <= bound + request_share;
    if (near_mean && has_room(options[i])) return i;
  }
  return std::nullopt;
}

}  // namespace

bool has_room(const route_option& option) {
  if (option.in_flight >= option.capacity) return false;
  if (option.in_flight < option.share) return true;
  return option.reported < option.capacity;
}

std::optional<size_t> choose_route(const std::vector<route_option>& options,
                                   std::optional<uint64_t> prefix,
                                   random_stream& random) {
  std::vector<size_t> open;
  for (size_t i = 0; i < options.size(); i++) {
    if (has_room(options[i])) open.push_back(i);
  }
  if (open.empty()) return std::nullopt;
  if (prefix) {
    const auto preferred = affinity_option(options, *prefix);
    if (preferred) return preferred;
  }
  const size_t a = open[random.below(open.size())];
  const size_t b = open[random.below(open.size())];
  return utilization(options[b]) < utilization(options[a]) ? b : a;
}

}  // namespace spokesail
