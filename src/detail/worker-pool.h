// Threads that are made as work needs them, up to a limit.
#pragma once

#include <absl/synchronization/mutex.h>

#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace spokesail::detail {

/// Runs jobs on threads of its own.
class worker_pool {
 public:
  /// `tag` can be read back by the jobs with `current_tag`.
  explicit worker_pool(size_t thread_limit, int thread_tag = 0)
      : limit(thread_limit), tag(thread_tag) {}
  ~worker_pool() { this->stop(); }
  worker_pool(const worker_pool&) = delete;
  worker_pool& operator=(const worker_pool&) = delete;

  /// Runs `job` if a thread is idle or may be made. False, with `job` left
  /// as it was, if all are busy.
  bool try_add(std::function<void()>& job);

  /// Runs `job` as soon as a thread is free.
  void add(std::function<void()> job);

  /// Runs what is queued and ends the threads.
  void stop();

  /// The tag of the pool whose thread calls this; 0 elsewhere.
  static int current_tag();

 private:
  void run();
  bool has_work_or_stopped() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

  const size_t limit;
  const int tag;
  absl::Mutex mutex;
  std::deque<std::function<void()>> jobs ABSL_GUARDED_BY(mutex);
  std::vector<std::thread> threads ABSL_GUARDED_BY(mutex);
  size_t idle ABSL_GUARDED_BY(mutex) = 0;
  bool stopped ABSL_GUARDED_BY(mutex) = false;
};

}  // namespace spokesail::detail
