#include "sse.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/string_view.h>
#include <absl/strings/strip.h>

namespace spokesail {
namespace {

/// Maximum size of one event in bytes.
constexpr size_t max_event_bytes = 1 << 20;

}  // namespace

bool sse_parser::feed(const char* data, size_t size,
                      const std::function<bool(const std::string&)>& on_data) {
  this->buffer.append(data, size);
  size_t end = 0;
  while ((end = this->buffer.find("\n\n")) != std::string::npos) {
    const std::string text = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 2);
    std::string payload;
    for (absl::string_view line : absl::StrSplit(text, '\n')) {
      if (!absl::ConsumePrefix(&line, "data:")) continue;
      absl::ConsumePrefix(&line, " ");
      absl::StrAppend(&payload, payload.empty() ? "" : "\n", line);
    }
    if (!payload.empty() && !on_data(payload)) return false;
  }
  return this->buffer.size() <= max_event_bytes;
}

std::string sse_event(const std::string& data) {
  return absl::StrCat("data: ", data, "\n\n");
}

}  // namespace spokesail
