#include "end-mark.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>

namespace spokesail {

std::string make_end_mark(random_stream& random) {
  constexpr int words = 2;
  std::string out;
  for (int i = 0; i < words; ++i) {
    const uint64_t word = random.below(std::numeric_limits<uint64_t>::max());
    absl::StrAppend(&out, absl::Hex(word, absl::kZeroPad16));
  }
  return out;
}

void end_mark_filter::feed(std::string_view bytes, std::string& out) {
  this->held.append(bytes);
  const size_t size = this->held.size();
  size_t kept = std::min(this->mark.size(), size);
  const absl::string_view all = this->held;
  while (!absl::StartsWith(this->mark, all.substr(size - kept))) --kept;
  out.append(this->held, 0, size - kept);
  this->held.erase(0, size - kept);
}

}  // namespace spokesail
