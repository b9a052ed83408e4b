#include "unusable-entries.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

namespace spokesail {
namespace {

/// Number of objects that are remembered; all are forgotten at once then.
constexpr size_t max_reported = 1000;

/// Bytes of a name that are logged.
constexpr size_t max_logged_name = 64;

}  // namespace

void unusable_entries::report(const object& o, const std::string& why,
                              absl::Time now) {
  if (this->reported.size() >= max_reported) this->reported.clear();
  object_key key = {o.key.kind, o.key.name.substr(0, max_logged_name)};
  const auto [at, inserted] = this->reported.emplace(key, o.version);
  if (!inserted && at->second == o.version) return;
  at->second = o.version;
  this->metrics.count_unusable_entry(o.key.kind, why);
  this->log.state_change("entry_unusable",
                         {{"kind", o.key.kind},
                          {"name", absl::CHexEscape(key.name)},
                          {"rev", absl::StrCat(o.version)},
                          {"bytes", absl::StrCat(o.body.size())},
                          {"why", why}},
                         now);
}

}  // namespace spokesail
