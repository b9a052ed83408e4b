// Callers of the soak: they send requests, judge each answer, and remember
// what they were promised.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "spokesail/hash.h"

namespace spokesail::soak {

/// What a request asks for, and how often it may run.
enum class request_kind {
  /// A stream that may be taken up at another server.
  stream,
  /// May run more than once.
  repeatable,
  /// May run once at most.
  once
};

/// How a request ended, from where its caller stands.
enum class request_end {
  /// A whole, right answer.
  answered,
  /// Refused with the promise that it has not run.
  refused,
  /// Any other final answer.
  failed,
  /// Its key was not accepted.
  key_refused,
  /// No answer, or a part of one, before the connection ended.
  cut
};

/// One request and its end.
struct sent_request {
  request_kind kind = request_kind::stream;
  std::string key;
  /// Index of the node that took it.
  size_t node = 0;
  absl::Time sent;
  absl::Time ended = absl::InfiniteFuture();
  request_end end = request_end::cut;
  bool operator==(const sent_request&) const = default;
};

/// Sends requests one after the other over connections that it keeps.
class caller {
 public:
  caller(boost::asio::io_context& loop, std::vector<std::string> nodes,
         std::string name, uint64_t seed);

  /// Sends until `stop` is called.
  boost::asio::awaitable<void> run();
  void stop() { this->stopping = true; }
  /// Whether `run` has ended.
  bool done() const { return this->ended; }

  /// All requests by their ids.
  const std::map<std::string, sent_request>& requests() const {
    return this->sent;
  }
  /// Promises that answers broke, in words.
  const std::vector<std::string>& breaches() const { return this->broken; }

 private:
  using request = boost::beast::http::request<boost::beast::http::string_body>;
  using response =
      boost::beast::http::response<boost::beast::http::string_body>;

  /// A request of some kind, from now on.
  sent_request draw();
  /// Sends one request and waits for its end.
  boost::asio::awaitable<void> send_one();
  /// Connects to some node. False if it cannot be reached.
  boost::asio::awaitable<bool> connect();
  /// Reads the answer. False if the connection ended before it was whole.
  boost::asio::awaitable<bool> read_answer(response& in);
  request compose(const std::string& id, const sent_request& what) const;
  /// Judges a whole answer. Returns how the request ended.
  request_end judge(const std::string& id, const sent_request& what,
                    const response& in);
  /// Notes events that are missing or stand twice.
  void check_events(const std::string& id, const std::string& body, bool whole);
  void breach(const std::string& id, const std::string& what);

  boost::asio::io_context& loop;
  std::vector<std::string> nodes;
  std::string name;
  random_stream random;
  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  size_t node = 0;
  int64_t count = 0;
  bool stopping = false;
  bool ended = false;
  std::map<std::string, sent_request> sent;
  std::vector<std::string> broken;
};

}  // namespace spokesail::soak
