// A node that is stopped before its event loop runs.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <string>

#include "node-fixture.h"

namespace spokesail {
namespace {

std::string settings_text() {
  return absl::StrCat(
      "node: n1\nhall: h1\nlisten:\n  callers: ", free_address(),
      "\n  ready: ", free_address(), "\n  metrics: ", free_address(),
      "\n  peers: ", free_address(), "\nplatform: ", free_address(),
      "\nbounds:\n  stop_grace_s: 1\n");
}

/// A named pipe in a folder of its own.
class named_pipe {
 public:
  named_pipe() {
    std::string name = "/tmp/early-signal-XXXXXX";
    this->folder = ::mkdtemp(name.data());
    this->path = this->folder + "/settings";
    EXPECT_EQ(::mkfifo(this->path.c_str(), 0600), 0);
  }
  ~named_pipe() { std::filesystem::remove_all(this->folder); }
  named_pipe(const named_pipe&) = delete;
  named_pipe& operator=(const named_pipe&) = delete;

  std::string folder;
  std::string path;
};

pid_t start_node(const std::string& settings) {
  const pid_t child = ::fork();
  if (child != 0) return child;
  const std::string flag = "--settings=" + settings;
  ::execl(SPOKESAIL_BINARY, SPOKESAIL_BINARY, "node", flag.c_str(), nullptr);
  ::_exit(127);
}

TEST(early_signal, a_node_that_reads_its_settings_stops_as_planned) {
  const named_pipe settings;
  const pid_t node = start_node(settings.path);
  ASSERT_GT(node, 0);
  // Opening the pipe returns once the node has opened it too, and the node then
  // waits for the text.
  const int out = ::open(settings.path.c_str(), O_WRONLY | O_CLOEXEC);
  ASSERT_GE(out, 0);
  ASSERT_EQ(::kill(node, SIGTERM), 0);
  const std::string text = settings_text();
  EXPECT_EQ(::write(out, text.data(), text.size()),
            static_cast<ssize_t>(text.size()));
  ::close(out);
  int status = 0;
  ASSERT_EQ(::waitpid(node, &status, 0), node);
  EXPECT_TRUE(WIFEXITED(status)) << "ended by signal " << WTERMSIG(status);
  EXPECT_EQ(WEXITSTATUS(status), 0);
}

}  // namespace
}  // namespace spokesail
