// Finds the ends and ids of server-sent events.
#include "event-splitter.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace spokesail {
namespace {

/// Space that is kept although no part of an event needs it, in bytes.
constexpr size_t max_spare_bytes = 16 << 10;

/// A line of a stream. Lines end with LF, CR LF or CR.
struct text_line {
  absl::string_view content;
  /// Offset after its end.
  size_t end = 0;
  /// Whether it ends with CR alone.
  bool bare_cr = false;
};

/// The line that begins at `from`; nothing if its end has not come. A CR that
/// is the last byte may be half of a CR LF, unless the lines end with CR alone.
std::optional<text_line> next_line(absl::string_view text, size_t from,
                                   bool bare_cr) {
  const size_t at = text.find_first_of("\r\n", from);
  if (at == absl::string_view::npos) return std::nullopt;
  const absl::string_view content = text.substr(from, at - from);
  if (text[at] == '\n') return text_line{content, at + 1, false};
  if (at + 1 == text.size()) {
    if (!bare_cr) return std::nullopt;
    return text_line{content, at + 1, true};
  }
  const bool pair = text[at + 1] == '\n';
  return text_line{content, at + (pair ? 2 : 1), !pair};
}

/// The offset after the first empty line from `from` on; npos if there is none.
size_t event_end(absl::string_view text, size_t from) {
  bool bare_cr = false;
  for (auto line = next_line(text, from, bare_cr); line;
       line = next_line(text, line->end, bare_cr)) {
    if (line->content.empty()) return line->end;
    bare_cr = line->bare_cr;
  }
  return absl::string_view::npos;
}

/// The id of an event; -1 if it has none or it is not a number.
int64_t event_id(absl::string_view event) {
  int64_t id = -1;
  for (absl::string_view line :
       absl::StrSplit(event, absl::ByAnyChar("\r\n"))) {
    if (!absl::ConsumePrefix(&line, "id:")) continue;
    if (!absl::SimpleAtoi(absl::StripAsciiWhitespace(line), &id)) return -1;
  }
  return id;
}

}  // namespace

std::optional<event_batch> event_splitter::feed(std::string_view bytes) {
  const size_t line_end = std::string_view(bytes).find_first_of("\r\n");
  this->pending.append(bytes);
  event_batch out;
  // The end of a line is searched for only in new bytes: a server may send many
  // small parts of a line that never ends.
  const bool same_line = this->scanned + bytes.size() == this->pending.size() &&
                         line_end == std::string_view::npos;
  if (same_line) {
    this->scanned = this->pending.size();
    if (this->pending.size() > max_event_bytes) return std::nullopt;
    return out;
  }
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
  if (this->pending.capacity() > max_spare_bytes + 2 * this->pending.size())
    this->pending.shrink_to_fit();
  const bool in_line = this->pending.find_first_of("\r\n") == std::string::npos;
  this->scanned = in_line ? this->pending.size() : 0;
  if (this->pending.size() > max_event_bytes) return std::nullopt;
  return out;
}

size_t event_splitter::unfinished_bytes() const {
  size_t end = 0;
  bool bare_cr = false;
  while (const auto line = next_line(this->pending, end, bare_cr)) {
    if (!absl::StartsWith(line->content, ":")) return this->pending.size();
    end = line->end;
    bare_cr = line->bare_cr;
  }
  return end == this->pending.size() ? 0 : this->pending.size();
}

}  // namespace spokesail
