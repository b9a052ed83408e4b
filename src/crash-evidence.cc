#include "spokesail/crash-evidence.h"

#include <algorithm>
#include <iterator>

namespace spokesail {

size_t count_crashes(const crash_evidence& evidence) {
  return static_cast<size_t>(
      std::count_if(evidence.crashes.begin(), evidence.crashes.end(),
                    [](const auto& item) { return !item.second.refuted; }));
}

void refute(crash_evidence& evidence, int64_t from, int64_t to) {
  for (auto& [server, crash] : evidence.crashes) {
    if (from <= crash.point && crash.point < to) crash.refuted = true;
  }
}

void normalize(crash_evidence& evidence) {
  refute(evidence, run_progress::start, evidence.passed);
  while (evidence.crashes.size() > crash_evidence::max_crashes) {
    const auto refuted =
        std::find_if(evidence.crashes.begin(), evidence.crashes.end(),
                     [](const auto& item) { return item.second.refuted; });
    evidence.crashes.erase(refuted != evidence.crashes.end()
                               ? refuted
                               : std::prev(evidence.crashes.end()));
  }
}

crash_evidence merge(const crash_evidence& a, const crash_evidence& b) {
  crash_evidence out = a;
  out.passed = std::max(a.passed, b.passed);
  for (const auto& [server, crash] : b.crashes) {
    server_crash& stored = out.crashes.try_emplace(server, crash).first->second;
    const bool refuted = stored.refuted || crash.refuted;
    // Keeps the larger of the two, so that the order of merges does not matter.
    stored.refuted = crash.refuted;
    stored = std::max(stored, crash);
    stored.refuted = refuted;
  }
  normalize(out);
  return out;
}

}  // namespace spokesail
