#include "end-to-end.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <set>

namespace spokesail {
namespace {

namespace http = boost::beast::http;

/// Whether a header applies to one connection only. `name` is in lower case.
bool is_hop_by_hop(const std::string& name) {
  static const std::set<std::string> names = {
      "connection", "keep-alive",        "proxy-connection", "te",
      "trailer",    "transfer-encoding", "upgrade",          "expect"};
  return names.count(name) != 0;
}

std::string to_lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return out;
}

}  // namespace

void copy_end_to_end_headers(const http_fields& from, http_fields& to) {
  const auto named = from[http::field::connection];
  const auto connection = to_lower({named.data(), named.size()});
  std::set<std::string> connection_options;
  for (const auto part : absl::StrSplit(connection, ',')) {
    connection_options.emplace(absl::StripAsciiWhitespace(part));
  }
  for (const auto& field : from) {
    const std::string name =
        to_lower({field.name_string().data(), field.name_string().size()});
    if (is_hop_by_hop(name) || name == "content-length") continue;
    if (connection_options.count(name) != 0) continue;
    to.insert(field.name_string(), field.value());
  }
}

bool is_event_stream(const http_fields& head) {
  const auto type = head[http::field::content_type];
  return absl::StartsWithIgnoreCase(absl::string_view(type.data(), type.size()),
                                    "text/event-stream");
}

}  // namespace spokesail
