// Starts child processes and sends signals to them.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace spokesail::soak {

/// A child process. The destructor kills it and waits for its end.
class child_process {
 public:
  child_process() = default;
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  /// Starts a program and appends its output to `log`. Returns false if it
  /// cannot be started or the process is already running.
  bool start(const std::vector<std::string>& command, const std::string& log);
  /// Sends a signal if the process is running.
  void signal(int number);
  /// Whether the process is running; stores its exit code once it has ended.
  bool running();
  /// The exit code of the process, or 128 plus the number of the signal that
  /// ended it.
  int exit_code() const { return this->last_exit_code; }

 private:
  pid_t pid = 0;
  int last_exit_code = 0;
};

}  // namespace spokesail::soak
