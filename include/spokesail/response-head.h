// The head of an HTTP/1.1 response, by the grammar of RFC 9110 and RFC 9112.
#pragma once

#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace spokesail {

/// Whether a status code is one of HTTP: 100 to 599 (RFC 9110, section 15).
bool is_status(int status);

/// Whether a status announces that another response to the same request
/// follows (RFC 9110, section 15.2).
bool is_interim_status(int status);

/// Whether a text is a field name: a token (RFC 9110, section 5.1).
bool is_field_name(std::string_view text);

/// Whether a text has only the characters of a field value (RFC 9110, section
/// 5.5).
bool is_field_value(std::string_view text);

/// Finds the end of a response's head in bytes that arrive in parts, and
/// whether the bytes are such a head. Stricter than the grammar where a
/// recipient may reject: folded lines (RFC 9112, section 5.2), switches of the
/// protocol, which no request asks for, and transfer codings other than
/// "chunked", which cannot be decoded here.
class response_head_scanner {
 public:
  response_head_scanner() = default;
  /// A scanner of trailer fields: lines of a head without its status line.
  /// Folded lines are accepted, since trailers are not passed on.
  static response_head_scanner of_trailers();

  /// Scans the bytes that follow those scanned before. Returns the number of
  /// bytes that belong to the head or, after an error, that were scanned.
  size_t feed(std::string_view bytes);

  /// `need_more` until the head has ended, a success once it has, otherwise
  /// why the bytes are no head of a response.
  boost::beast::http::error result() const { return this->failure; }
  /// Whether the head has ended and is valid.
  bool complete() const { return this->current == state::complete; }
  /// Whether the bytes are no head of a response.
  bool malformed() const { return this->current == state::malformed; }

  /// The status, once the status line was scanned.
  int status() const { return this->status_code; }

 private:
  enum class state {
    status_line,
    reason,
    status_line_end,
    line_start,
    name,
    value,
    line_end,
    head_end,
    complete,
    malformed
  };

  void scan(char c);
  void scan_status_line(char c);
  void scan_line_start(char c);
  void scan_name(char c);
  void scan_value(char c);
  /// Accepts the second byte of a line end.
  void scan_line_feed(char c, state next);
  void end_head();
  void fail(boost::beast::http::error why);

  state current = state::status_line;
  boost::beast::http::error failure = boost::beast::http::error::need_more;
  /// Bytes of the status line before its reason.
  size_t position = 0;
  int minor_version = 0;
  int status_code = 0;
  /// Name of the current field, and values of all Transfer-Encoding fields.
  std::string name;
  std::string codings;
  int coding_fields = 0;
  bool accepts_folds = false;
};

/// Where the trailer fields begin in bytes that follow the data of a chunk, or
/// the head: after the last chunk's own line. Nothing if that line has not
/// ended, or if the chunk is not the last one.
std::optional<size_t> find_trailers(std::string_view bytes);

}  // namespace spokesail
