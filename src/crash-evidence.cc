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
  for (const auto& [server, end] : b.crashes) {
    server_crash& known = out.crashes.try_emplace(server, end).first->second;
    // As one value: of parts taken from two ends, one may since be refuted.
    known = std::max(known, end);
  }
  normalize(out);
  return out;
}

}  // namespace spokesail
