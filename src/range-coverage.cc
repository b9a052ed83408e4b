#include "spokesail/range-coverage.h"

#include <algorithm>
#include <limits>

namespace spokesail {
namespace {

bool encloses(const id_range& outer, const id_range& inner) {
  if (outer.first > inner.first) return false;
  if (outer.end.empty()) return true;
  return !inner.end.empty() && inner.end <= outer.end;
}

}  // namespace

void range_coverage::add(const id_range& ids, const listed_state& state) {
  std::erase_if(this->ranges, [&](const range& known) {
    return known.state.revision <= state.revision && encloses(ids, known.ids);
  });
  this->ranges.push_back({ids, state});
}

const range_coverage::range* range_coverage::newest_with(
    const std::string& id) const {
  const range* newest = nullptr;
  for (const range& known : this->ranges) {
    if (!known.ids.contains(id)) continue;
    if (newest == nullptr || known.state.revision > newest->state.revision)
      newest = &known;
  }
  return newest;
}

int64_t range_coverage::revision_of(const std::string& id) const {
  const range* newest = this->newest_with(id);
  return newest == nullptr ? 0 : newest->state.revision;
}

std::optional<listed_state> range_coverage::complete() const {
  listed_state out = {std::numeric_limits<int64_t>::max(), 0};
  std::string covered_to;
  do {
    const range* next = this->newest_with(covered_to);
    if (next == nullptr) return std::nullopt;
    out.revision = std::min(out.revision, next->state.revision);
    out.removals_since =
        std::max(out.removals_since, next->state.removals_since);
    covered_to = next->ids.end;
  } while (!covered_to.empty());
  return out;
}

void range_coverage::drop_up_to(int64_t revision) {
  std::erase_if(this->ranges, [&](const range& known) {
    return known.state.revision <= revision;
  });
}

}  // namespace spokesail
