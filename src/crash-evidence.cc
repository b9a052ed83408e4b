#include "spokesail/crash-evidence.h"

#include <algorithm>
#include <iterator>

namespace spokesail {

void normalize(crash_evidence& evidence) {
  std::erase_if(evidence.crashes, [&](const auto& crash) {
    return crash.second.point < evidence.passed;
  });
  while (evidence.crashes.size() > crash_evidence::max_crashes) {
    evidence.crashes.erase(std::prev(evidence.crashes.end()));
  }
}

crash_evidence merge(const crash_evidence& a, const crash_evidence& b) {
  crash_evidence out = a;
  out.passed = std::max(a.passed, b.passed);
  for (const auto& [server, crash] : b.crashes) {
    server_crash& stored = out.crashes.try_emplace(server, crash).first->second;
    // Keeps the larger of the two as a whole. If their fields were combined and
    // progress refuted one of them, the order of merges would matter.
    stored = std::max(stored, crash);
  }
  normalize(out);
  return out;
}

}  // namespace spokesail
