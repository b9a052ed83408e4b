#include "spokesail/crash-evidence.h"

#include <algorithm>
#include <iterator>

namespace spokesail {

void normalize(crash_evidence& evidence) {
  std::erase_if(evidence.crashes, [&](const auto& crash) {
    return crash.second < evidence.passed;
  });
  while (evidence.crashes.size() > crash_evidence::most_crashes) {
    evidence.crashes.erase(std::prev(evidence.crashes.end()));
  }
}

crash_evidence merge(const crash_evidence& a, const crash_evidence& b) {
  crash_evidence out = a;
  out.passed = std::max(a.passed, b.passed);
  for (const auto& [server, point] : b.crashes) {
    const auto at = out.crashes.try_emplace(server, point).first;
    at->second = std::max(at->second, point);
  }
  normalize(out);
  return out;
}

}  // namespace spokesail
