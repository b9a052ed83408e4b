// Responses that servers break off, in each framing, directly and through a
// proxy. Callers must be able to tell them from whole ones.
#include <absl/strings/match.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <memory>
#include <optional>
#include <vector>

#include "node-fixture.h"

namespace spokesail {
namespace {

using standin::answer_framing;
using standin::answer_shape;
using standin::break_kind;
using standin::link_state;

constexpr std::array framings = {answer_framing::chunked,
                                 answer_framing::length,
                                 answer_framing::until_close};
constexpr std::array break_kinds = {break_kind::close, break_kind::reset,
                                    break_kind::end};

/// Node that serves the requests, and the one that is its proxy.
constexpr int serving_node = 1;

/// A response as its caller received it.
struct received {
  unsigned status = 0;
  std::string body;
  /// Whether the framing says that it is whole.
  bool whole = false;
  boost::system::error_code error;
};

std::string stream_event(int index, bool crlf) {
  const char* end = crlf ? "\r\n" : "\n";
  return absl::StrCat("id: ", index, end, "data: word", index, end, end);
}

std::string whole_stream(bool crlf = false) {
  std::string out;
  for (int i = 0; i < stream_events; ++i) out += stream_event(i, crlf);
  return out;
}

/// Whether a body that ends after `size` bytes ends between two events, or
/// before the first or after the last one.
bool at_event_end(size_t size, bool crlf) {
  size_t end = 0;
  for (int i = 0; end < size; ++i) end += stream_event(i, crlf).size();
  return end == size;
}

/// Whether a stream that is broken off cannot be told from a whole one: its
/// framing is complete, and it ends after an event.
bool looks_whole(const answer_shape& shape, bool crlf) {
  const size_t size = *shape.break_after;
  if (!at_event_end(size, crlf)) return false;
  if (shape.kind == break_kind::end &&
      shape.framing != answer_framing::until_close) {
    return true;
  }
  const bool closes = shape.kind != break_kind::reset &&
                      shape.framing == answer_framing::until_close;
  return closes && size > 0;
}

net::awaitable<void> copy_bytes(std::shared_ptr<tcp::socket> from,
                                std::shared_ptr<tcp::socket> to) {
  std::array<char, 4096> bytes;
  for (;;) {
    auto [error, size] =
        co_await from->async_read_some(net::buffer(bytes), detail::use_tuple);
    if (error) break;
    auto [failed, sent] = co_await net::async_write(
        *to, net::buffer(bytes.data(), size), detail::use_tuple);
    if (failed) break;
  }
  detail::close_ignoring_errors(*from);
  detail::close_ignoring_errors(*to);
}

net::awaitable<void> serve_tunnel(std::shared_ptr<tcp::socket> peer) {
  boost::beast::flat_buffer buffer;
  fleet_request asked;
  auto [error, size] =
      co_await http::async_read(*peer, buffer, asked, detail::use_tuple);
  if (error) co_return;
  auto server = std::make_shared<tcp::socket>(peer->get_executor());
  const std::string address(asked.target());
  if (co_await connect_to(*server, address)) co_return;
  const std::string answer = "HTTP/1.1 200 OK\r\n\r\n";
  co_await net::async_write(*peer, net::buffer(answer), detail::use_tuple);
  net::co_spawn(peer->get_executor(), copy_bytes(peer, server), net::detached);
  co_await copy_bytes(server, peer);
}

/// A proxy that closes tunnels in an orderly way, whatever has ended them, as
/// the system does for a process that was killed.
net::awaitable<void> serve_tunnels(std::shared_ptr<tcp::acceptor> acceptor) {
  for (;;) {
    auto [error, socket] = co_await acceptor->async_accept(detail::use_tuple);
    if (error) co_return;
    net::co_spawn(
        acceptor->get_executor(),
        serve_tunnel(std::make_shared<tcp::socket>(std::move(socket))),
        net::detached);
  }
}

class broken_response_test : public node_test {
 protected:
  broken_response_test() {
    this->retries = {1, absl::Seconds(10), 100000};
    this->fleet->faults.event_interval = absl::ZeroDuration();
    auto config = this->fleet->sample_config({"key-1"});
    auto once = config["routes"][0];
    once["name"] = "note";
    once["prefix"] = "/note/";
    once["resumable"] = false;
    config["routes"].push_back(once);
    this->fleet->configure(config);
  }

  /// Starts two nodes; with `proxied`, one has no links to the servers.
  void start_nodes(bool proxied) {
    this->start(2);
    if (!proxied) return;
    this->on_loop([this] {
      this->fleet->set_links(absl::StrCat("node-", serving_node),
                             link_state::refusing);
      return 0;
    });
  }

  /// Sets the shape of the servers' next answers; only the first is broken off.
  void set_shape(const answer_shape& shape, bool crlf = false,
                 const std::string& tail = "") {
    this->on_loop([&, this] {
      auto& settings = this->fleet->faults.shape;
      settings.active = true;
      settings.shape = shape;
      settings.breaks = shape.break_after ? 1 : 0;
      settings.crlf = crlf;
      settings.stream_tail = tail;
      return 0;
    });
  }

  fleet_request next_request(const std::string& target) {
    const std::string id = absl::StrCat("r", ++this->last_id);
    fleet_request out = request(id, target);
    const bool stream =
        absl::StartsWith(target, "/draft/") || absl::StartsWith(target, "/no");
    if (!stream) return out;
    out.set("X-Model", "large");
    out.set("X-Token-Usage", "100,60");
    // Requests with the same content are one to the detection of crashes.
    out.body() = id;
    return out;
  }

  received call(const std::string& target, unsigned version = 11,
                http::verb method = http::verb::post) {
    fleet_request out = this->next_request(target);
    out.version(version);
    out.method(method);
    out.prepare_payload();
    auto socket = this->connect(serving_node);
    received in;
    http::write(socket, out, in.error);
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.skip(method == http::verb::head);
    http::read(socket, buffer, parser, in.error);
    in.whole = !in.error && parser.is_done();
    if (parser.is_header_done()) in.status = parser.get().result_int();
    in.body = parser.get().body();
    return in;
  }

  /// Sends streams that are broken off after each number of bytes up to that of
  /// two events, in each framing and way.
  void break_streams(const std::string& target, bool crlf) {
    const size_t limit = 2 * stream_event(0, crlf).size() + 1;
    for (const auto framing : framings) {
      for (const auto kind : break_kinds) {
        for (size_t size = 0; size <= limit; ++size) {
          this->break_stream(target, {framing, kind, size}, crlf);
        }
      }
    }
  }

  void break_stream(const std::string& target, const answer_shape& shape,
                    bool crlf) {
    SCOPED_TRACE(absl::StrCat("framing ", static_cast<int>(shape.framing),
                              ", break ", static_cast<int>(shape.kind), " at ",
                              *shape.break_after, ", crlf ", crlf));
    this->set_shape(shape, crlf);
    const received in = this->call(target);
    const std::string whole = whole_stream(crlf);
    if (looks_whole(shape, crlf)) {
      EXPECT_TRUE(in.whole) << in.error.message();
      EXPECT_EQ(in.body, whole.substr(0, *shape.break_after));
      return;
    }
    if (absl::StartsWith(target, "/draft/")) {
      EXPECT_TRUE(in.whole) << in.error.message();
      EXPECT_EQ(in.body, whole);
      return;
    }
    if (in.status == 502) return;
    EXPECT_EQ(in.status, 200U);
    EXPECT_FALSE(in.whole);
    EXPECT_TRUE(at_event_end(in.body.size(), crlf)) << in.body;
    EXPECT_TRUE(absl::StartsWith(whole, in.body)) << in.body;
  }

  /// Sends plain calls whose answers are broken off after each number of bytes.
  void break_plain_answers(const std::string& target, bool repeatable) {
    const size_t length = absl::StrCat("path ", target).size();
    for (const auto framing : framings) {
      for (const auto kind : {break_kind::reset, break_kind::close}) {
        const bool ends =
            kind == break_kind::close && framing == answer_framing::until_close;
        for (size_t size = 0; size < length && !ends; ++size)
          this->break_plain_answer(target, repeatable, {framing, kind, size});
      }
    }
  }

  void break_plain_answer(const std::string& target, bool repeatable,
                          const answer_shape& shape) {
    SCOPED_TRACE(absl::StrCat("framing ", static_cast<int>(shape.framing),
                              ", break ", static_cast<int>(shape.kind), " at ",
                              *shape.break_after));
    this->set_shape(shape);
    const received in = this->call(target);
    EXPECT_EQ(in.status, repeatable ? 200U : 502U);
    EXPECT_TRUE(in.whole) << in.error.message();
    const bool whole = in.body == absl::StrCat("path ", target);
    EXPECT_EQ(whole, repeatable) << in.body;
  }

  /// Makes the serving node use a proxy that does not tell how a server has
  /// ended a connection.
  void use_killed_proxy() {
    this->on_loop([this] {
      const auto acceptor = std::make_shared<tcp::acceptor>(
          *this->loop, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0));
      net::co_spawn(*this->loop, serve_tunnels(acceptor), net::detached);
      const proxy_node proxy{
          {"node-0", "hall"},
          absl::StrCat("127.0.0.1:", acceptor->local_endpoint().port())};
      this->nodes[serving_node]->context().connector.proxies = [proxy] {
        return std::vector<proxy_node>{proxy};
      };
      return 0;
    });
  }

  /// Sends requests whose answers are whole, in each framing.
  void expect_whole_answers() {
    for (const auto framing : framings) {
      SCOPED_TRACE(absl::StrCat("framing ", static_cast<int>(framing)));
      this->set_shape({framing, break_kind::close, std::nullopt});
      for (const unsigned version : {10U, 11U}) {
        const received stream = this->call("/draft/minutes", version);
        EXPECT_TRUE(stream.whole) << stream.error.message();
        EXPECT_EQ(stream.body, whole_stream());
        const received once = this->call("/note/one", version);
        EXPECT_TRUE(once.whole) << once.error.message();
        EXPECT_EQ(once.body, whole_stream());
        const received plain = this->call("/look/now", version);
        EXPECT_TRUE(plain.whole) << plain.error.message();
        EXPECT_EQ(plain.body, "path /look/now");
        const received single = this->call("/file/one", version);
        EXPECT_EQ(single.status, 200U);
        EXPECT_EQ(single.body, "path /file/one");
      }
      const received head = this->call("/look/now", 11, http::verb::head);
      EXPECT_EQ(head.status, 200U);
      EXPECT_TRUE(head.whole) << head.error.message();
    }
  }

  int last_id = 0;
};

// Guards against streams that are broken off inside an event and reach their
// callers as whole.
TEST_F(broken_response_test, resumes_streams_that_end_inside_an_event) {
  this->start_nodes(false);
  this->break_streams("/draft/minutes", false);
}

// Guards against the same where lines end with CR LF, also between the two.
TEST_F(broken_response_test, resumes_streams_that_end_inside_a_line_end) {
  this->start_nodes(false);
  this->break_streams("/draft/minutes", true);
}

// Guards against the same where the stream may not be resumed.
TEST_F(broken_response_test,
       resets_callers_of_streams_that_may_not_be_resumed) {
  this->start_nodes(false);
  this->break_streams("/note/one", false);
}

// Guards against the same through another node.
TEST_F(broken_response_test, resumes_broken_streams_through_a_proxy) {
  this->start_nodes(true);
  this->break_streams("/draft/minutes", false);
}

// Guards against the same where the stream may not be resumed.
TEST_F(broken_response_test, resets_callers_of_broken_streams_through_a_proxy) {
  this->start_nodes(true);
  this->break_streams("/note/one", false);
}

// Guards against half an event after the last one in a stream whose framing is
// complete.
TEST_F(broken_response_test, streams_with_a_tail_are_whole_if_no_event_is_cut) {
  this->start_nodes(false);
  for (const auto framing : framings) {
    for (const char* tail : {"\n", ": comment\n", "\n: comment\n\n"}) {
      this->set_shape({framing, break_kind::close, std::nullopt}, false, tail);
      const received in = this->call("/note/one");
      EXPECT_TRUE(in.whole) << tail;
      EXPECT_EQ(in.body, whole_stream() + tail);
    }
    for (const char* tail : {"data: word", "data: word\n", ": comm"}) {
      this->set_shape({framing, break_kind::close, std::nullopt}, false, tail);
      const received in = this->call("/note/one");
      EXPECT_FALSE(in.whole) << tail;
      EXPECT_EQ(in.body, whole_stream()) << tail;
    }
  }
}

// Guards against plain answers that are broken off and reach their callers as
// whole.
TEST_F(broken_response_test, plain_answers_that_break_off_are_not_whole) {
  this->start_nodes(false);
  this->break_plain_answers("/look/now", true);
  this->break_plain_answers("/file/one", false);
}

// Guards against resets of servers that a proxy turns into an orderly close,
// and against bytes of a proxy that fill up what an answer lacks.
TEST_F(broken_response_test,
       plain_answers_broken_behind_a_proxy_are_not_whole) {
  this->start_nodes(true);
  this->break_plain_answers("/look/now", true);
  this->break_plain_answers("/file/one", false);
}

// Guards against a mend that refuses whole answers without a length.
TEST_F(broken_response_test, whole_answers_are_whole_in_each_framing) {
  this->start_nodes(false);
  this->expect_whole_answers();
}

// Guards against the same through another node.
TEST_F(broken_response_test, whole_answers_are_whole_through_a_proxy) {
  this->start_nodes(true);
  this->expect_whole_answers();
}

// Guards against answers without a length that end because their proxy did, and
// reach their callers as whole.
TEST_F(broken_response_test, the_end_of_a_proxy_is_not_that_of_a_response) {
  this->start_nodes(true);
  this->use_killed_proxy();
  for (const auto framing : framings) {
    SCOPED_TRACE(absl::StrCat("framing ", static_cast<int>(framing)));
    const bool framed = framing != answer_framing::until_close;
    this->set_shape({framing, break_kind::close, std::nullopt});
    EXPECT_EQ(this->call("/file/one").status, framed ? 200U : 502U);
    EXPECT_EQ(this->call("/note/one").whole, framed);
  }
  for (const auto kind : break_kinds) {
    this->set_shape({answer_framing::until_close, kind, 5});
    EXPECT_EQ(this->call("/file/one").status, 502U);
    this->set_shape({answer_framing::until_close, kind, 25});
    const received stream = this->call("/note/one");
    EXPECT_FALSE(stream.whole);
    EXPECT_EQ(stream.body, stream_event(0, false));
  }
}

// Guards against a broken stream that ends like a whole one for a caller
// without chunks.
TEST_F(broken_response_test, http_1_0_callers_are_reset) {
  this->start_nodes(false);
  for (const auto framing : framings) {
    for (const auto kind : break_kinds) {
      const size_t size = stream_event(0, false).size() + 3;
      this->set_shape({framing, kind, size});
      const received in = this->call("/note/one", 10);
      EXPECT_EQ(in.status, 200U);
      EXPECT_EQ(in.error, net::error::connection_reset);
      EXPECT_EQ(in.body, stream_event(0, false));
    }
  }
}

}  // namespace
}  // namespace spokesail
