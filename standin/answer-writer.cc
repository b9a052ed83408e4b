#include "answer-writer.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/write.hpp>

#include "fleet-loop.h"

namespace spokesail::standin {

namespace net = boost::asio;
using net::ip::tcp;

/// Size of the writes of an answer without end.
constexpr size_t endless_block = 16 << 10;

std::string shape_head(std::string head, const answer_shape& shape) {
  const std::string line_end = "\r\n";
  const size_t status_size = head.find(line_end);
  if (!shape.status_line.empty())
    head.replace(0, status_size, shape.status_line);
  if (!shape.extra_line.empty()) {
    const size_t at = shape.extra_line_first
                          ? head.find(line_end) + line_end.size()
                          : head.size();
    head.insert(at, absl::StrCat(shape.extra_line, line_end));
  }
  return shape.prefix + head;
}

answer_writer::answer_writer(std::shared_ptr<tcp::socket> connection,
                             answer_shape answer, size_t size)
    : socket(std::move(connection)), shape(answer), length(size) {}

net::awaitable<bool> answer_writer::send(std::string bytes) {
  auto [error, size] =
      co_await net::async_write(*this->socket, net::buffer(bytes), use_tuple);
  this->sent_total += size;
  co_return !error;
}

net::awaitable<bool> answer_writer::send_endlessly(const std::string& bytes) {
  std::string block;
  while (block.size() < endless_block) block += bytes;
  while (co_await this->send(block)) {
  }
  co_return false;
}

net::awaitable<bool> answer_writer::write_head(std::string head) {
  switch (this->shape.framing) {
    case answer_framing::chunked:
      head += "Transfer-Encoding: chunked\r\n";
      break;
    case answer_framing::length: {
      const bool ends_early = this->shape.kind == break_kind::end;
      const size_t cut = this->shape.break_after.value_or(this->length);
      absl::StrAppend(&head, "Content-Length: ",
                      ends_early ? std::min(cut, this->length) : this->length,
                      "\r\n");
      break;
    }
    case answer_framing::until_close:
      head += "Connection: close\r\n";
      break;
  }
  head = shape_head(std::move(head), this->shape);
  if (this->shape.endless == endless_part::head) {
    if (!co_await this->send(std::move(head))) co_return false;
    co_return co_await this->send_endlessly(this->shape.filler);
  }
  head += "\r\n";
  if (!co_await this->send(std::move(head))) co_return false;
  if (this->shape.break_after != size_t{0}) co_return true;
  co_return co_await this->break_off();
}

net::awaitable<bool> answer_writer::write(std::string part) {
  const std::string& filler = this->shape.filler;
  switch (this->shape.endless) {
    case endless_part::chunk_header:
      if (!co_await this->send("1;")) co_return false;
      co_return co_await this->send_endlessly(filler);
    case endless_part::trailer:
      if (!co_await this->send("0\r\n")) co_return false;
      co_return co_await this->send_endlessly(filler);
    case endless_part::body:
      if (this->shape.framing != answer_framing::chunked)
        co_return co_await this->send_endlessly(filler);
      co_return co_await this->send_endlessly(
          absl::StrCat(absl::Hex(filler.size()), "\r\n", filler, "\r\n"));
    default:
      break;
  }
  const size_t end = this->written + part.size();
  const bool breaks =
      this->shape.break_after && *this->shape.break_after <= end;
  const std::string sent =
      breaks ? part.substr(0, *this->shape.break_after - this->written) : part;
  const bool chunked = this->shape.framing == answer_framing::chunked;
  // A chunk that is broken off has the size of the whole one.
  const size_t chunk_size =
      this->shape.kind == break_kind::end ? sent.size() : part.size();
  std::string bytes;
  if (chunked) absl::StrAppend(&bytes, absl::Hex(chunk_size), "\r\n");
  bytes += sent;
  if (chunked && chunk_size == sent.size()) bytes += "\r\n";
  this->written += sent.size();
  if (!co_await this->send(std::move(bytes))) co_return false;
  if (!breaks) co_return true;
  co_return co_await this->break_off();
}

net::awaitable<bool> answer_writer::break_off() {
  if (this->shape.kind == break_kind::end) {
    co_await this->finish();
    // A connection that was not closed has nothing more to say.
    co_return false;
  }
  boost::system::error_code ignored;
  if (this->shape.kind == break_kind::reset) {
    this->socket->set_option(net::socket_base::linger(true, 0), ignored);
  }
  this->socket->close(ignored);
  co_return false;
}

net::awaitable<bool> answer_writer::finish() {
  switch (this->shape.framing) {
    case answer_framing::chunked:
      co_return co_await this->send(
          absl::StrCat("0\r\n", this->shape.trailer, "\r\n"));
    case answer_framing::length:
      co_return true;
    case answer_framing::until_close:
      break;
  }
  boost::system::error_code ignored;
  this->socket->close(ignored);
  co_return false;
}

}  // namespace spokesail::standin
