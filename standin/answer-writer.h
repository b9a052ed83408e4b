// Writes the bodies of servers' answers in different framings, whole or broken
// off.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace spokesail::standin {

/// How the end of a body is found.
enum class answer_framing {
  chunked,
  length,
  /// The body ends with the connection.
  until_close
};

/// How an answer is broken off.
enum class break_kind {
  /// The connection is closed in an orderly way.
  close,
  /// The connection is reset.
  reset,
  /// The framing ends like that of a whole answer.
  end
};

/// Where in an answer bytes come that are none of it, without end.
enum class endless_part { none, head, body, chunk_header, trailer };

/// The framing of an answer, and where it is broken off.
struct answer_shape {
  answer_framing framing = answer_framing::chunked;
  break_kind kind = break_kind::close;
  /// Bytes of the body after which it is broken off; nothing if it is whole.
  std::optional<size_t> break_after;
  /// Where the answer goes on until the caller closes the connection.
  endless_part endless = endless_part::none;
  /// What is repeated there.
  std::string filler = "";
  /// Bytes sent before the answer, such as an interim one.
  std::string prefix = "";
  /// Status line in place of the answer's own; none if empty.
  std::string status_line = "";
  /// Line added to the head, without its line end; none if empty. It comes
  /// right after the status line or after all other lines.
  std::string extra_line = "";
  bool extra_line_first = false;
  /// Trailer lines of an answer in chunks, each with its line end.
  std::string trailer = "";
  bool operator==(const answer_shape&) const = default;
};

/// A head as the shape has it: with its status line and its additional line.
std::string shape_head(std::string head, const answer_shape& shape);

/// Writes one answer to a connection.
class answer_writer {
 public:
  /// `length` is the size of the whole body, in bytes.
  answer_writer(std::shared_ptr<boost::asio::ip::tcp::socket> socket,
                answer_shape shape, size_t length);

  /// Writes the head: a status line and headers, each with its line end.
  /// Headers of the framing are added.
  boost::asio::awaitable<bool> write_head(std::string head);
  /// Writes a part of the body. Returns false if the connection has failed or
  /// the answer was broken off.
  boost::asio::awaitable<bool> write(std::string part);
  /// Whether the answer goes on until the caller closes the connection.
  bool endless() const { return this->shape.endless != endless_part::none; }
  /// Bytes that were sent, the framing included.
  size_t bytes_sent() const { return this->sent_total; }
  /// Ends the answer. Returns whether the connection can be reused.
  boost::asio::awaitable<bool> finish();

 private:
  boost::asio::awaitable<bool> send(std::string bytes);
  /// Sends bytes again and again until the caller closes the connection.
  boost::asio::awaitable<bool> send_endlessly(const std::string& bytes);
  /// Ends a broken-off answer.
  boost::asio::awaitable<bool> break_off();

  std::shared_ptr<boost::asio::ip::tcp::socket> socket;
  const answer_shape shape;
  const size_t length;
  size_t written = 0;
  size_t sent_total = 0;
};

}  // namespace spokesail::standin
