// A node that gets most new connections of its hall, several times as many as
// its host can serve, while another node has room.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include "balancer.h"
#include "child-node.h"
#include "fleet-loop.h"

namespace spokesail {
namespace {

using standin::balancer;
using standin::sleep_for;
using standin::use_tuple;
using namespace net::experimental::awaitable_operators;

/// The crowded node's process runs for a part of each period.
constexpr auto cap_period = std::chrono::milliseconds(20);
constexpr auto cap_run = std::chrono::milliseconds(1);
constexpr char cap_settings[] = "cores: 0.05\n";

constexpr size_t crowded = 0;
constexpr size_t hall_nodes = 2;
constexpr double crowd_share = 0.9;
constexpr int requests_per_s = 1500;
constexpr absl::Duration crowd_time = absl::Seconds(5);
/// A caller leaves a node that has not answered after this time.
constexpr absl::Duration patience = absl::Seconds(1);

/// Stops and continues a process so that it gets a fixed part of a core.
class processor_cap {
 public:
  explicit processor_cap(child_node& node)
      : process(node), thread([this] { this->run(); }) {}
  ~processor_cap() {
    this->over = true;
    this->thread.join();
    this->process.signal(SIGCONT);
  }
  processor_cap(const processor_cap&) = delete;
  processor_cap& operator=(const processor_cap&) = delete;

 private:
  void run() {
    while (!this->over) {
      this->process.signal(SIGCONT);
      std::this_thread::sleep_for(cap_run);
      this->process.signal(SIGSTOP);
      std::this_thread::sleep_for(cap_period - cap_run);
    }
  }

  child_node& process;
  std::atomic<bool> over = false;
  std::thread thread;
};

class crowded_node_test : public node_test {
 protected:
  crowded_node_test() {
    this->fleet->faults.slowness.active = true;
    this->fleet->faults.slowness.max_delay = absl::Milliseconds(100);
    for (size_t i = 0; i < hall_nodes; ++i) {
      this->children.push_back(std::make_unique<child_node>(
          absl::StrCat("n", i), "hall", this->peer_address(i),
          this->fleet->store_address(), i == crowded ? cap_settings : ""));
    }
    this->run();
  }

  /// Sends one request to a node. Returns the status of its answer, or nothing
  /// if there was none.
  net::awaitable<std::optional<unsigned>> attempt(size_t node, std::string id) {
    tcp::socket socket(co_await net::this_coro::executor);
    boost::system::error_code error;
    const auto address = parse_endpoint(this->children[node]->callers, error);
    auto [failed] = co_await socket.async_connect(address, use_tuple);
    if (failed) co_return std::nullopt;
    auto out = request(id, "/look/1");
    out.prepare_payload();
    auto [not_sent, sent] = co_await http::async_write(socket, out, use_tuple);
    if (not_sent) co_return std::nullopt;
    boost::beast::flat_buffer buffer;
    fleet_standin::response in;
    auto [not_read, size] =
        co_await http::async_read(socket, buffer, in, use_tuple);
    if (not_read) co_return std::nullopt;
    co_return in.result_int();
  }

  net::awaitable<void> call(std::string id) {
    std::set<size_t> tried;
    while (tried.size() < hall_nodes) {
      const size_t node = this->entry.choose(tried);
      tried.insert(node);
      auto got =
          co_await (this->attempt(node, absl::StrCat(id, "-", tried.size())) ||
                    sleep_for(patience));
      const auto* status = std::get_if<0>(&got);
      if (status == nullptr || *status != 200U) continue;
      this->served++;
      break;
    }
    this->ended++;
  }

  net::awaitable<void> crowd(int count) {
    constexpr absl::Duration step = absl::Milliseconds(10);
    const absl::Time begun = boot_now();
    int sent = 0;
    while (sent < count) {
      const double due =
          requests_per_s * absl::ToDoubleSeconds(boot_now() - begun);
      for (; sent < std::min<double>(due, count); ++sent) {
        net::co_spawn(this->client, this->call(absl::StrCat("r", sent)),
                      net::detached);
      }
      co_await sleep_for(step);
    }
  }

  /// Waits until the nodes serve requests.
  bool wait_until_serving() {
    for (size_t node = 0; node < hall_nodes; ++node) {
      bool serving = false;
      const absl::Time until = boot_now() + wait_timeout;
      while (!serving && boot_now() < until) {
        net::co_spawn(
            this->client, this->attempt(node, "probe"),
            [&](std::exception_ptr, auto got) { serving = got == 200U; });
        this->client.run();
        this->client.restart();
      }
      if (!serving) return false;
    }
    return true;
  }

  /// Requests that the crowded node has read so far, by outcome.
  std::map<std::string, double> outcomes() {
    tcp::socket socket(this->client);
    boost::system::error_code error;
    socket.connect(parse_endpoint(this->children[crowded]->metrics, error));
    fleet_request out(http::verb::get, "/metrics", 11);
    http::write(socket, out);
    boost::beast::flat_buffer buffer;
    fleet_standin::response in;
    http::read(socket, buffer, in);
    std::map<std::string, double> found;
    const std::regex line(
        "spokesail_requests_total\\{outcome=\"([a-z_]+)\"[^}]*\\} ([0-9.e+]+)");
    const std::string text = in.body();
    for (std::sregex_iterator at(text.begin(), text.end(), line), end;
         at != end; ++at) {
      found[(*at)[1]] += std::stod((*at)[2]);
    }
    return found;
  }

  std::vector<std::unique_ptr<child_node>> children;
  balancer entry{hall_nodes, 1};
  int served = 0;
  int ended = 0;
};

// Guards against a node that accepts more connections than it can serve, and
// reads requests whose callers have left.
TEST_F(crowded_node_test, serves_what_it_reads_and_leaves_the_rest_unread) {
  ASSERT_TRUE(this->wait_until_serving());
  const auto before = this->outcomes();
  this->entry.set_crowd({crowded}, crowd_share);
  const int count =
      static_cast<int>(requests_per_s * absl::ToDoubleSeconds(crowd_time));
  {
    const processor_cap cap(*this->children[crowded]);
    net::co_spawn(this->client, this->crowd(count), net::detached);
    this->client.run();
    this->client.restart();
  }
  ASSERT_EQ(this->ended, count);
  double read = 0;
  double answered = 0;
  for (const auto& [outcome, total] : this->outcomes()) {
    const auto earlier = before.find(outcome);
    const double n = total - (earlier == before.end() ? 0 : earlier->second);
    read += n;
    if (outcome == "answered") answered += n;
  }
  RecordProperty("read", static_cast<int>(read));
  RecordProperty("answered", static_cast<int>(answered));
  RecordProperty("served", this->served);
  EXPECT_GT(read, 0);
  EXPECT_GE(answered, 0.75 * read);
  EXPECT_GE(this->served, 0.75 * count);
}

using busy_node_test = node_test;

// Guards against a node that refuses requests beside idle servers, since it has
// its equal part of their connections although the other nodes use none.
TEST_F(busy_node_test, uses_connections_that_other_nodes_do_not_use) {
  constexpr int fleet_nodes = 295;
  constexpr int streams = 12;
  this->start(1, 3);
  this->on_loop([this] {
    node_context& state = this->nodes[0]->context();
    state.fleet.record(fleet_nodes, state.now());
    return 0;
  });
  std::vector<std::future<unsigned>> answers;
  for (int i = 0; i < streams; ++i) {
    answers.push_back(std::async(std::launch::async, [this, i] {
      return this->send_request(stream_request(absl::StrCat("s", i)))
          .result_int();
    }));
  }
  int served = 0;
  for (auto& answer : answers) served += answer.get() == 200U ? 1 : 0;
  EXPECT_EQ(served, streams);
}

}  // namespace
}  // namespace spokesail
