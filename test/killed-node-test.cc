// A node process that is killed while it sends a stream.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "node-fixture.h"

namespace spokesail {
namespace {

class killed_node_test : public node_test {
 protected:
  killed_node_test() {
    this->fleet->faults.event_interval = absl::Milliseconds(50);
    std::string name = "/tmp/killed-node-XXXXXX";
    this->folder = ::mkdtemp(name.data());
  }

  ~killed_node_test() override {
    if (this->node > 0) this->kill_node();
    std::filesystem::remove_all(this->folder);
  }

  void start_node() {
    const std::string path = this->folder + "/settings";
    std::ofstream(path) << "node: n1\nhall: hall\nlisten:\n  callers: "
                        << this->callers << "\n  ready: " << free_address()
                        << "\n  metrics: " << free_address()
                        << "\n  peers: " << free_address()
                        << "\nplatform: " << this->fleet->store_address()
                        << "\nbounds:\n  stop_grace_s: 1\n";
    this->node = ::fork();
    if (this->node != 0) return;
    const std::string flag = "--settings=" + path;
    ::execl(SPOKESAIL_BINARY, SPOKESAIL_BINARY, "node", flag.c_str(), nullptr);
    ::_exit(127);
  }

  void kill_node() {
    ::kill(this->node, SIGKILL);
    ::waitpid(this->node, nullptr, 0);
    this->node = -1;
  }

  /// Begins a stream; nothing is received yet.
  boost::system::error_code begin_stream(tcp::socket& socket,
                                         const std::string& id) {
    boost::system::error_code error;
    socket.connect(parse_endpoint(this->callers, error), error);
    fleet_request out = stream_request(id);
    out.version(10);
    out.prepare_payload();
    if (!error) http::write(socket, out, error);
    return error;
  }

  /// Reads until an event has come. False if the stream ended before.
  bool read_event(tcp::socket& socket, std::string& in) {
    boost::system::error_code error;
    while (!error && in.find("word") == std::string::npos) {
      std::array<char, 4096> bytes;
      const size_t size = socket.read_some(net::buffer(bytes), error);
      in.append(bytes.data(), size);
    }
    return !error;
  }

  std::string folder;
  std::string callers = free_address();
  pid_t node = -1;
};

// Guards against a stream without chunks that ends like a whole one because the
// process of its node has ended.
TEST_F(killed_node_test, http_1_0_callers_see_a_reset) {
  this->start_node();
  this->run();
  tcp::socket socket(this->client);
  std::string in;
  const absl::Time until = boot_now() + wait_timeout;
  for (int i = 0; boot_now() < until; ++i) {
    in.clear();
    socket = tcp::socket(this->client);
    const auto error = this->begin_stream(socket, absl::StrCat("r", i));
    if (!error && this->read_event(socket, in)) break;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  ASSERT_NE(in.find("word"), std::string::npos);
  this->kill_node();
  boost::system::error_code error;
  net::read(socket, net::dynamic_buffer(in), error);
  EXPECT_EQ(error, net::error::connection_reset) << error.message();
  EXPECT_LT(event_ids(in).size(), all_ids().size());
}

}  // namespace
}  // namespace spokesail
