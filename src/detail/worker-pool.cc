#include "detail/worker-pool.h"

#include <utility>

namespace spokesail::detail {
namespace {

thread_local int thread_tag = 0;

}  // namespace

int worker_pool::current_tag() { return thread_tag; }

bool worker_pool::has_work_or_stopped() const {
  return this->stopped || !this->jobs.empty();
}

bool worker_pool::try_add(std::function<void()>& job) {
  absl::MutexLock lock(&this->mutex);
  const bool busy = this->idle <= this->jobs.size();
  if (this->stopped || (busy && this->threads.size() >= this->limit)) {
    return false;
  }
  this->jobs.push_back(std::move(job));
  if (busy) this->threads.emplace_back([this] { this->run(); });
  return true;
}

void worker_pool::add(std::function<void()> job) {
  if (this->try_add(job)) return;
  absl::MutexLock lock(&this->mutex);
  if (!this->stopped) this->jobs.push_back(std::move(job));
}

void worker_pool::run() {
  thread_tag = this->tag;
  for (;;) {
    std::function<void()> job;
    {
      absl::MutexLock lock(&this->mutex);
      this->idle++;
      this->mutex.Await(
          absl::Condition(this, &worker_pool::has_work_or_stopped));
      this->idle--;
      if (this->jobs.empty()) return;
      job = std::move(this->jobs.front());
      this->jobs.pop_front();
    }
    job();
  }
}

void worker_pool::stop() {
  std::vector<std::thread> ended;
  {
    absl::MutexLock lock(&this->mutex);
    this->stopped = true;
    ended.swap(this->threads);
  }
  for (auto& thread : ended) thread.join();
}

}  // namespace spokesail::detail
