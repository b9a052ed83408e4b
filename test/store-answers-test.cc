// Answers of the store that are cut short, without a length or chunks.
#include <gtest/gtest.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <optional>

#include "detail/socket.h"
#include "fleet-adapter.h"
#include "http-fetch.h"

namespace spokesail {
namespace {

namespace net = boost::asio;
using net::ip::tcp;

/// Answers each call with the same bytes and closes the connection.
class store_with_one_answer {
 public:
  explicit store_with_one_answer(net::io_context& loop)
      : acceptor(loop, {net::ip::make_address("127.0.0.1"), 0}) {
    net::co_spawn(loop, this->serve(), net::detached);
  }

  std::string address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }

  std::string body;

 private:
  net::awaitable<void> serve() {
    for (;;) {
      auto [error, socket] =
          co_await this->acceptor.async_accept(detail::use_tuple);
      if (error) co_return;
      std::array<char, 4096> request;
      co_await socket.async_read_some(net::buffer(request), detail::use_tuple);
      const std::string out =
          "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + this->body;
      co_await net::async_write(socket, net::buffer(out), detail::use_tuple);
    }
  }

  tcp::acceptor acceptor;
};

class store_answers : public testing::Test {
 protected:
  template <typename Result>
  Result run(net::awaitable<Result> call) {
    auto result = net::co_spawn(this->loop, std::move(call), net::use_future);
    this->loop.restart();
    while (result.wait_for(std::chrono::seconds(0)) !=
           std::future_status::ready) {
      this->loop.run_one();
    }
    return result.get();
  }

  net::io_context loop;
  store_with_one_answer server{this->loop};
  http_fetcher fetcher{this->loop.get_executor(), "test"};
  std::unique_ptr<object_store> store =
      make_fleet_store(this->fetcher, this->server.address());
};

// Guards against a list that is cut short and taken for a shorter one, which
// would remove servers, keys or configurations.
TEST_F(store_answers, lists_that_are_cut_short_are_errors) {
  const std::string whole =
      R"({"items":[{"meta":{"name":"a","rev":1},"spec":{"x":1}},)"
      R"({"meta":{"name":"b","rev":2},"spec":{"x":2}}],"more":false,"at":7})";
  for (size_t size = 0; size <= whole.size(); ++size) {
    this->server.body = whole.substr(0, size);
    const object_listing out = this->run(this->store->list("servers", false));
    const bool complete = size == whole.size();
    EXPECT_EQ(out.status == store_status::ok, complete) << size;
    EXPECT_EQ(out.objects.size(), complete ? 2U : 0U);
  }
}

// Guards against the same in the changes that a watch returns.
TEST_F(store_answers, watches_that_are_cut_short_are_errors) {
  const std::string whole =
      R"({"events":[{"object":{"meta":{"name":"a","rev":8}},"gone":true}],)"
      R"("at":8})";
  for (size_t size = 0; size <= whole.size(); ++size) {
    this->server.body = whole.substr(0, size);
    const object_changes out =
        this->run(this->store->watch("servers", 7, absl::Seconds(1)));
    EXPECT_EQ(out.status == store_status::ok, size == whole.size()) << size;
    EXPECT_EQ(out.revision, size == whole.size() ? 8 : 7) << size;
  }
}

// Guards against an object that is cut short and taken for a smaller one.
TEST_F(store_answers, objects_that_are_cut_short_are_errors) {
  const std::string whole =
      R"({"meta":{"name":"main","rev":3},"spec":{"version":5}})";
  for (size_t size = 0; size <= whole.size(); ++size) {
    this->server.body = whole.substr(0, size);
    platform_call call;
    call.key = {"config", "main"};
    const platform_answer out = this->run(this->store->call(call));
    EXPECT_EQ(out.status == call_status::ok, size == whole.size()) << size;
  }
}

}  // namespace
}  // namespace spokesail
