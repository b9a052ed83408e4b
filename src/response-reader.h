// Reads the heads of responses. All readers of responses use it, so that they
// agree on what a response is.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <string_view>

#include "spokesail/byte-budget.h"
#include "spokesail/response-head.h"

namespace spokesail {

/// Takes the head of a response out of the bytes received.
class response_head_reader {
 public:
  using parser = boost::beast::http::basic_parser<false>;

  /// Passes the head at the front of `buffer` to `parser` and consumes it. Both
  /// must be the same at each call. Returns `need_more` if the head has not
  /// ended, and `header_limit` if it is too large.
  ///
  /// Interim responses are dropped: the final one may come from another server.
  boost::system::error_code parse(boost::beast::flat_buffer& buffer,
                                  parser& parser);

 private:
  response_head_scanner scanner;
  /// Bytes of the buffer that were scanned.
  size_t scanned = 0;
  /// Bytes of interim responses.
  size_t dropped = 0;
};

/// How a read ended.
struct response_read {
  boost::system::error_code error;
  /// Bytes received.
  size_t size = 0;
};

/// Reads from `socket` until the head of the final response was parsed. What
/// the buffer holds is counted in `held`; the read fails with `no_buffer_space`
/// if there is no memory for it.
boost::asio::awaitable<response_read> read_response_head(
    boost::asio::ip::tcp::socket& socket, boost::beast::flat_buffer& buffer,
    response_head_reader::parser& parser, answer_charge& held);

/// Reads the body of a response, after its head.
class response_body_reader {
 public:
  /// Reads and parses until a part of the body was parsed or the body has
  /// ended. What the buffer holds is counted in `held`, with `more` bytes that
  /// the caller holds; the read fails with `no_buffer_space` if there is no
  /// memory for it. Trailer fields are checked as they arrive.
  boost::asio::awaitable<response_read> read(
      boost::asio::ip::tcp::socket& socket, boost::beast::flat_buffer& buffer,
      response_head_reader::parser& parser, answer_charge& held, size_t more);

 private:
  /// Parses what the buffer holds. `need_more` if no part is whole.
  boost::system::error_code parse(boost::beast::flat_buffer& buffer,
                                  response_head_reader::parser& parser);
  /// Checks the trailer fields in bytes that are not parsed yet.
  boost::system::error_code check_trailers(std::string_view bytes);

  response_head_scanner trailers = response_head_scanner::of_trailers();
  /// Bytes before the next one to check; 0 before the trailers were found.
  size_t checked = 0;
};

/// Whether a read failed because the bytes are no response, rather than because
/// they ended early.
bool is_malformed(const boost::system::error_code& error);

}  // namespace spokesail
