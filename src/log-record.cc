#include "log-record.h"

#include <algorithm>

namespace spokesail {
namespace {

/// Parses the value that starts at `at`, in quotes or up to a space, and moves
/// `at` past it.
std::string read_value(const std::string& line, size_t& at) {
  std::string out;
  if (at >= line.size() || line[at] != '"') {
    const size_t end = std::min(line.find(' ', at), line.size());
    out = line.substr(at, end - at);
    at = end;
    return out;
  }
  for (++at; at < line.size() && line[at] != '"'; ++at) {
    if (line[at] == '\\' && at + 1 < line.size()) ++at;
    out += line[at];
  }
  ++at;
  return out;
}

}  // namespace

std::string log_record::value(const std::string& key) const {
  for (const auto& [name, content] : this->fields) {
    if (name == key) return content;
  }
  return "";
}

log_record parse_log_line(const std::string& line) {
  log_record out;
  const size_t start = line.find("time=");
  if (start == std::string::npos) return out;
  out.text = line.substr(start);
  size_t at = 0;
  while (at < out.text.size()) {
    const size_t equals = out.text.find('=', at);
    if (equals == std::string::npos) break;
    const std::string key = out.text.substr(at, equals - at);
    at = equals + 1;
    const std::string content = read_value(out.text, at);
    while (at < out.text.size() && out.text[at] == ' ') ++at;
    if (key == "time") {
      out.time = content;
    } else if (key == "node") {
      out.node = content;
    } else if (key == "event") {
      out.event = content;
    } else {
      out.fields.emplace_back(key, content);
    }
  }
  return out;
}

}  // namespace spokesail
