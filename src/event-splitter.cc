// Finds the ends and ids of server-sent events.
#include "event-splitter.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace spokesail {
namespace {

/// The offset after the first empty line from `from` on; npos if there is none.
size_t event_end(absl::string_view text, size_t from) {
  for (size_t at = text.find('\n', from); at != absl::string_view::npos;
       at = text.find('\n', at + 1)) {
    const absl::string_view after = text.substr(at + 1);
    if (absl::StartsWith(after, "\n")) return at + 2;
    if (absl::StartsWith(after, "\r\n")) return at + 3;
  }
  return absl::string_view::npos;
}

/// The id of an event; -1 if it has none or it is not a number.
int64_t event_id(absl::string_view event) {
  int64_t id = -1;
  for (absl::string_view line : absl::StrSplit(event, '\n')) {
    if (!absl::ConsumePrefix(&line, "id:")) continue;
    if (!absl::SimpleAtoi(absl::StripAsciiWhitespace(line), &id)) return -1;
  }
  return id;
}

}  // namespace

std::optional<event_batch> event_splitter::feed(std::string_view bytes) {
  this->pending.append(bytes);
  event_batch out;
  size_t consumed = 0;
  for (;;) {
    const size_t end = event_end(this->pending, consumed);
    if (end == absl::string_view::npos) break;
    const int64_t id = event_id(
        absl::string_view(this->pending).substr(consumed, end - consumed));
    if (id >= 0) out.last_id = id;
    out.events++;
    consumed = end;
  }
  out.bytes = this->pending.substr(0, consumed);
  this->pending.erase(0, consumed);
  if (this->pending.size() > max_event_bytes) return std::nullopt;
  return out;
}

}  // namespace spokesail
