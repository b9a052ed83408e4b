// Thread pool that grows on demand up to a limit.
#pragma once

#include <absl/synchronization/mutex.h>

#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace spokesail::detail {

/// Runs jobs on its threads, which are created when all others are busy.
class worker_pool {
 public:
  /// Jobs can read `thread_tag` with `current_tag`.
  explicit worker_pool(size_t thread_limit, int thread_tag = 0)
      : limit(thread_limit), tag(thread_tag) {}
  ~worker_pool() { this->stop(); }
  worker_pool(const worker_pool&) = delete;
  worker_pool& operator=(const worker_pool&) = delete;

  /// Runs `job` if a thread is idle or can be created. Otherwise returns false
  /// and leaves `job` unchanged.
  bool try_add(std::function<void()>& job);

  /// Runs `job` as soon as a thread is free.
  void add(std::function<void()> job);

  /// Runs the queued jobs, then joins the threads.
  void stop();

  /// Tag of the pool that owns the calling thread; 0 on other threads.
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
