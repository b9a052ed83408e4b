#include "spokesail/request-identity.h"

#include <absl/strings/str_cat.h>

#include "spokesail/hash.h"

namespace spokesail {

request_identity identify_request(std::string_view workspace,
                                  std::string_view method,
                                  std::string_view host,
                                  std::string_view target,
                                  std::string_view body) {
  // Each part seeds the hash of the next, so that moving bytes from the end of
  // one part to the beginning of the next changes the hash.
  uint64_t content = stable_hash(method);
  content = stable_hash(host, content);
  content = stable_hash(target, content);
  content = stable_hash(body, content);
  return {stable_hash(workspace), content};
}

std::string to_text(const request_identity& identity) {
  return absl::StrCat(absl::Hex(identity.workspace, absl::kZeroPad16), "-",
                      absl::Hex(identity.content, absl::kZeroPad16));
}

}  // namespace spokesail
