#include "spokesail/request-trait.h"

#include <absl/strings/str_cat.h>

#include "spokesail/hash.h"

namespace spokesail {

request_trait content_trait(std::string_view workspace, std::string_view method,
                            std::string_view host, std::string_view target,
                            std::string_view body) {
  // Each part seeds the hash of the next, so that moving bytes from the end of
  // one part to the beginning of the next changes the hash.
  uint64_t content = stable_hash(method);
  content = stable_hash(host, content);
  content = stable_hash(target, content);
  content = stable_hash(body, content);
  return {stable_hash(workspace), content, trait_kind::content};
}

request_trait prompt_part_trait(std::string_view service, std::string_view id) {
  return {stable_hash(service), stable_hash(id), trait_kind::prompt_part};
}

std::string to_text(const request_trait& trait) {
  const char* prefix = trait.kind == trait_kind::prompt_part ? "part-" : "";
  return absl::StrCat(prefix, absl::Hex(trait.scope, absl::kZeroPad16), "-",
                      absl::Hex(trait.value, absl::kZeroPad16));
}

}  // namespace spokesail
