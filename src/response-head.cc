#include "spokesail/response-head.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/string_view.h>

#include <algorithm>

namespace spokesail {
namespace {

using boost::beast::http::error;

constexpr int first_status = 100;
constexpr int first_final_status = 200;
constexpr int last_status = 599;
constexpr int switching_protocols = 101;
constexpr int no_content = 204;

/// Status line up to the reason; `d` stands for a digit.
constexpr std::string_view status_line_form = "HTTP/1.d ddd ";
constexpr size_t minor_version_at = 7;
constexpr size_t status_at = 9;

constexpr absl::string_view transfer_encoding = "transfer-encoding";

bool is_digit(char c) {
  return absl::ascii_isdigit(static_cast<unsigned char>(c));
}

bool is_token_char(char c) {
  constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
  return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
         symbols.find(c) != std::string_view::npos;
}

bool is_blank(char c) { return c == ' ' || c == '\t'; }

/// Whether a character may stand in a field value or a reason.
bool is_text_char(char c) {
  return c == '\t' || !absl::ascii_iscntrl(static_cast<unsigned char>(c));
}

}  // namespace

bool is_status(int status) {
  return status >= first_status && status <= last_status;
}

bool is_interim_status(int status) {
  return status >= first_status && status < first_final_status;
}

bool is_field_name(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_char);
}

bool is_field_value(std::string_view text) {
  return std::all_of(text.begin(), text.end(), is_text_char);
}

response_head_scanner response_head_scanner::of_trailers() {
  response_head_scanner out;
  out.current = state::line_start;
  out.accepts_folds = true;
  return out;
}

size_t response_head_scanner::feed(std::string_view bytes) {
  size_t size = 0;
  while (size < bytes.size() && this->failure == error::need_more)
    this->scan(bytes[size++]);
  return size;
}

void response_head_scanner::scan(char c) {
  switch (this->current) {
    case state::status_line:
      return this->scan_status_line(c);
    case state::reason:
      if (c == '\r') {
        this->current = state::status_line_end;
      } else if (!is_text_char(c)) {
        this->fail(error::bad_reason);
      }
      return;
    case state::status_line_end:
    case state::line_end:
      return this->scan_line_feed(c, state::line_start);
    case state::line_start:
      return this->scan_line_start(c);
    case state::name:
      return this->scan_name(c);
    case state::value:
      return this->scan_value(c);
    case state::head_end:
      return this->scan_line_feed(c, state::complete);
    case state::complete:
    case state::malformed:
      return;
  }
}

void response_head_scanner::scan_status_line(char c) {
  const size_t at = this->position++;
  const char expected = status_line_form[at];
  if (expected == 'd' ? !is_digit(c) : c != expected) {
    this->fail(at < status_at - 1 ? error::bad_version : error::bad_status);
    return;
  }
  if (at == minor_version_at) this->minor_version = c - '0';
  if (at >= status_at && expected == 'd')
    this->status_code = 10 * this->status_code + (c - '0');
  if (this->position < status_line_form.size()) return;
  this->current = state::reason;
  const bool valid =
      is_status(this->status_code) && this->status_code != switching_protocols;
  if (!valid) this->fail(error::bad_status);
}

void response_head_scanner::scan_line_start(char c) {
  const bool continues = is_blank(c);
  if (c == '\r') {
    this->current = state::head_end;
  } else if (continues && this->accepts_folds && !this->name.empty()) {
    this->current = state::value;
  } else if (continues) {
    this->fail(error::bad_obs_fold);
  } else {
    this->name.clear();
    this->current = state::name;
    this->scan_name(c);
  }
}

void response_head_scanner::scan_name(char c) {
  if (is_token_char(c)) {
    this->name += c;
    return;
  }
  if (c != ':' || this->name.empty()) {
    this->fail(error::bad_field);
    return;
  }
  this->current = state::value;
  if (absl::EqualsIgnoreCase(this->name, transfer_encoding))
    this->coding_fields++;
}

void response_head_scanner::scan_value(char c) {
  if (c == '\r') {
    this->current = state::line_end;
  } else if (!is_text_char(c)) {
    this->fail(error::bad_value);
  } else if (absl::EqualsIgnoreCase(this->name, transfer_encoding)) {
    this->codings += c;
  }
}

void response_head_scanner::scan_line_feed(char c, state next) {
  if (c != '\n') {
    this->fail(error::bad_line_ending);
    return;
  }
  this->current = next;
  if (next == state::complete) this->end_head();
}

void response_head_scanner::end_head() {
  this->failure = error{};
  if (this->coding_fields == 0) return;
  // Neither HTTP/1.0 nor responses without a body have a transfer coding (RFC
  // 9112, section 6.1).
  const bool may_be_coded = this->minor_version > 0 &&
                            !is_interim_status(this->status_code) &&
                            this->status_code != no_content;
  const bool chunked =
      this->coding_fields == 1 &&
      absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(this->codings),
                             "chunked");
  if (!may_be_coded || !chunked) this->fail(error::bad_transfer_encoding);
}

void response_head_scanner::fail(error why) {
  this->current = state::malformed;
  this->failure = why;
}

std::optional<size_t> find_trailers(std::string_view bytes) {
  constexpr std::string_view line_end = "\r\n";
  // The line end after a chunk's data comes before the next chunk's line.
  const bool follows_data = bytes.substr(0, line_end.size()) == line_end;
  const size_t begin = follows_data ? line_end.size() : 0;
  const size_t end = bytes.find(line_end, begin);
  if (end == std::string_view::npos) return std::nullopt;
  const std::string_view line = bytes.substr(begin, end - begin);
  const std::string_view size = line.substr(0, line.find_first_of("; \t"));
  const bool last =
      !size.empty() && size.find_first_not_of('0') == std::string_view::npos;
  return last ? std::optional(end + line_end.size()) : std::nullopt;
}

}  // namespace spokesail
