// Processes that the soak starts, and signals to them by their ids.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace spokesail::soak {

/// One process. It is killed and waited for when this goes.
class child_process {
 public:
  child_process() = default;
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  /// Starts a program whose output is appended to `log`. False if it cannot be
  /// started, or is running already.
  bool start(const std::vector<std::string>& words, const std::string& log);
  /// Sends a signal, if the process runs.
  void signal(int number);
  /// Whether it runs; takes its exit code once it has ended.
  bool running();
  /// How it ended: its exit code, or the signal's number and 128.
  int exit_code() const { return this->code; }

 private:
  pid_t id = 0;
  int code = 0;
};

}  // namespace spokesail::soak
