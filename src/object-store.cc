// Names of the store's status values, and the revisions of removals.
#include "spokesail/object-store.h"

#include <map>

namespace spokesail {

const char* store_status_name(store_status status) {
  switch (status) {
    case store_status::ok:
      return "ok";
    case store_status::expired:
      return "expired";
    case store_status::unavailable:
      return "unavailable";
  }
  return "unavailable";
}

std::vector<int64_t> removal_revisions(const std::vector<object>& changes,
                                       int64_t revision) {
  std::vector<int64_t> out(changes.size(), revision);
  /// Revision of the next change of each object that follows.
  std::map<std::string, int64_t> next_change;
  for (size_t i = changes.size(); i-- > 0;) {
    const std::string& name = changes[i].key.name;
    const auto next = next_change.find(name);
    if (next != next_change.end()) out[i] = next->second - 1;
    const bool readable = changes[i].version > 0;
    if (changes[i].deleted) {
      next_change[name] = out[i];
    } else if (readable) {
      next_change[name] = changes[i].version;
    }
  }
  return out;
}

}  // namespace spokesail
