// Starts child processes and collects their exit codes.
#include "child-process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

namespace spokesail::soak {
namespace {

constexpr int log_mode = 0644;
constexpr int signal_base = 128;

int exit_code_of(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status)
                           : signal_base + WTERMSIG(status);
}

}  // namespace

child_process::~child_process() {
  if (!this->running()) return;
  this->signal(SIGCONT);
  this->signal(SIGKILL);
  int status = 0;
  waitpid(this->pid, &status, 0);
}

bool child_process::start(const std::vector<std::string>& command,
                          const std::string& log) {
  if (this->running()) return false;
  std::vector<char*> argv;
  for (const auto& argument : command)
    argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, log_mode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int failed =
      posix_spawn(&this->pid, argv[0], &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) this->pid = 0;
  return failed == 0;
}

void child_process::signal(int number) {
  if (this->running()) kill(this->pid, number);
}

bool child_process::running() {
  if (this->pid == 0) return false;
  int status = 0;
  if (waitpid(this->pid, &status, WNOHANG) == 0) return true;
  this->last_exit_code = exit_code_of(status);
  this->pid = 0;
  return false;
}

}  // namespace spokesail::soak
