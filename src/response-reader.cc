#include "response-reader.h"

#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/read_size.hpp>
#include <string_view>

#include "detail/socket.h"

namespace spokesail {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;

/// Largest head that is read, interim responses included, in bytes.
constexpr size_t max_head_bytes = 64 << 10;

/// Maximum size of one read.
constexpr size_t max_read_bytes = 16 << 10;

std::string_view view_of(const boost::beast::flat_buffer& buffer) {
  const net::const_buffer data = buffer.cdata();
  return {static_cast<const char*>(data.data()), data.size()};
}

}  // namespace

boost::system::error_code response_head_reader::parse(
    boost::beast::flat_buffer& buffer, parser& parser) {
  for (;;) {
    const std::string_view bytes = view_of(buffer);
    this->scanned += this->scanner.feed(bytes.substr(this->scanned));
    if (this->scanner.malformed()) return this->scanner.result();
    if (this->dropped + this->scanned > max_head_bytes)
      return http::error::header_limit;
    if (!this->scanner.complete()) return http::error::need_more;
    if (!is_interim_status(this->scanner.status())) break;
    this->dropped += this->scanned;
    buffer.consume(this->scanned);
    this->scanned = 0;
    this->scanner = {};
  }
  // An eager parser would withhold each part of a body until the next one.
  parser.eager(false);
  boost::system::error_code error;
  buffer.consume(parser.put(net::buffer(buffer.cdata(), this->scanned), error));
  return error;
}

net::awaitable<response_read> read_response_head(
    net::ip::tcp::socket& socket, boost::beast::flat_buffer& buffer,
    response_head_reader::parser& parser, answer_charge& held) {
  parser.header_limit(max_head_bytes);
  response_head_reader reader;
  response_read out;
  for (;;) {
    if (buffer.size() > 0) {
      out.error = reader.parse(buffer, parser);
      if (out.error != http::error::need_more) co_return out;
      if (!held.try_hold(buffer.size())) {
        out.error = net::error::no_buffer_space;
        co_return out;
      }
    }
    const size_t space = boost::beast::read_size(buffer, max_read_bytes);
    auto [error, size] = co_await socket.async_read_some(buffer.prepare(space),
                                                         detail::use_tuple);
    buffer.commit(size);
    out.size += size;
    if (!error) continue;
    out.error = error;
    if (error == net::error::eof) {
      out.error = out.size == 0 ? http::error::end_of_stream
                                : http::error::partial_message;
    }
    co_return out;
  }
}

boost::system::error_code response_body_reader::check_trailers(
    std::string_view bytes) {
  if (this->checked == 0) this->checked = find_trailers(bytes).value_or(0);
  if (this->checked == 0) return http::error::need_more;
  this->checked += this->trailers.feed(bytes.substr(this->checked));
  return this->trailers.malformed() ? this->trailers.result()
                                    : http::error::need_more;
}

boost::system::error_code response_body_reader::parse(
    boost::beast::flat_buffer& buffer, response_head_reader::parser& parser) {
  boost::system::error_code error;
  const size_t parsed = parser.put(buffer.cdata(), error);
  buffer.consume(parsed);
  // The buffer of the body is full.
  if (error == http::error::need_buffer) return {};
  const bool in_chunk_header =
      error == http::error::need_more && parser.chunked();
  return in_chunk_header ? this->check_trailers(view_of(buffer)) : error;
}

net::awaitable<response_read> response_body_reader::read(
    net::ip::tcp::socket& socket, boost::beast::flat_buffer& buffer,
    response_head_reader::parser& parser, answer_charge& held, size_t more) {
  response_read out;
  for (;;) {
    if (buffer.size() > 0) {
      out.error = this->parse(buffer, parser);
      if (out.error != http::error::need_more) co_return out;
      if (!held.try_hold(buffer.size() + more)) {
        out.error = net::error::no_buffer_space;
        co_return out;
      }
    }
    const size_t space = boost::beast::read_size(buffer, max_read_bytes);
    if (space == 0) {
      out.error = http::error::buffer_overflow;
      co_return out;
    }
    auto [error, size] = co_await socket.async_read_some(buffer.prepare(space),
                                                         detail::use_tuple);
    buffer.commit(size);
    out.size += size;
    if (!error) continue;
    out.error = error;
    if (error == net::error::eof) parser.put_eof(out.error);
    co_return out;
  }
}

bool is_malformed(const boost::system::error_code& error) {
  const auto& parse_errors =
      http::make_error_code(http::error::bad_method).category();
  const bool ended_early = error == http::error::end_of_stream ||
                           error == http::error::partial_message;
  return error && error.category() == parse_errors && !ended_early;
}

}  // namespace spokesail
