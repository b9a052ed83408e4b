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
    // Takes the larger as a whole. A combination of fields could keep a field
    // of a crash that progress refutes, and depend on the order of merges.
    stored = std::max(stored, crash);
  }
  normalize(out);
  return out;
}

}  // namespace spokesail
