#include "spokesail/view.h"

#include <set>

#include "spokesail/hash.h"

namespace spokesail {
namespace {

uint64_t stamp_hash(const object_key& key, int64_t version) {
  const std::string text = key.kind + "/" + key.name;
  return stable_hash(text, static_cast<uint64_t>(version));
}

}  // namespace

bool object_view::merge(const object& seen) {
  auto [it, fresh] = this->objects.try_emplace(seen.key);
  object& known = it->second;
  if (!fresh && seen.version <= known.version) return false;
  if (!fresh) this->sum -= stamp_hash(known.key, known.version);
  known = seen;
  this->sum += stamp_hash(seen.key, seen.version);
  return true;
}

std::vector<object> object_view::retain(const std::string& kind,
                                        const std::vector<object>& listed,
                                        int64_t version) {
  std::set<std::string> names;
  for (const auto& o : listed) names.insert(o.key.name);
  std::vector<object> gone;
  for (const auto& [key, known] : this->objects) {
    if (key.kind != kind || known.deleted) continue;
    if (names.count(key.name) != 0 || known.version >= version) continue;
    gone.push_back({key, version, {}, true});
  }
  for (const auto& tombstone : gone) this->merge(tombstone);
  return gone;
}

std::optional<object> object_view::find(const object_key& key) const {
  const auto it = this->objects.find(key);
  if (it == this->objects.end() || it->second.deleted) return std::nullopt;
  return it->second;
}

std::vector<object> object_view::list(const std::string& kind) const {
  std::vector<object> found;
  auto it = this->objects.lower_bound({kind, ""});
  for (; it != this->objects.end() && it->first.kind == kind; ++it) {
    if (!it->second.deleted) found.push_back(it->second);
  }
  return found;
}

std::vector<object_stamp> object_view::stamps() const {
  std::vector<object_stamp> all;
  all.reserve(this->objects.size());
  for (const auto& [key, known] : this->objects) {
    all.push_back({key, known.version});
  }
  return all;
}

std::vector<object> object_view::newer_than(
    const std::vector<object_stamp>& known) const {
  std::map<object_key, int64_t> versions;
  for (const auto& stamp : known) versions[stamp.key] = stamp.version;
  std::vector<object> newer;
  for (const auto& [key, mine] : this->objects) {
    const auto it = versions.find(key);
    if (it == versions.end() || it->second < mine.version) {
      newer.push_back(mine);
    }
  }
  return newer;
}

}  // namespace spokesail
