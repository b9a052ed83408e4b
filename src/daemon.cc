#include "spokesail/daemon.h"

#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <deque>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "clock.h"
#include "detail/worker-pool.h"
#include "entry.h"
#include "log.h"
#include "metrics.h"
#include "spokesail/backend.h"
#include "spokesail/peer.h"
#include "spokesail/platform.h"
#include "spokesail/reducer.h"

namespace spokesail {
namespace {

using json = nlohmann::json;
namespace leaf = boost::leaf;

constexpr absl::Duration tick_period = absl::Milliseconds(50);
constexpr size_t platform_threads = 4;
constexpr size_t probe_threads = 64;
constexpr absl::Duration watch_retry_delay = absl::Milliseconds(300);
constexpr int max_audit_attempts = 5;

/// Kinds of objects that a node or its controller needs.
const std::vector<std::string> watched_kinds = {
    kinds::config, kinds::host, kinds::placement, kinds::drain, kinds::lease};

volatile std::sig_atomic_t stop_signals = 0;

void on_stop_signal(int) { stop_signals = stop_signals + 1; }

uint64_t random_boot_id() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

/// Runs the reducer on one thread and executes its effects on others.
class daemon {
 public:
  explicit daemon(const settings& s)
      : config(s),
        backend(make_http_backend()),
        store(make_http_platform(s.platform_address, s.platform_deadline,
                                 [this](const std::string& verb) {
                                   this->counters.count_platform_call(verb);
                                 })),
        entry(make_entry_server(
            this->config, *this->backend, this->counters,
            [this](event_body e) { this->post(std::move(e)); })),
        platform_pool(platform_threads),
        probe_pool(probe_threads) {}

  int run() {
    try {
      this->link = make_rpc_link(
          this->config.self.peer_address,
          [this](event_body e) { this->post(std::move(e)); },
          [this](const char* direction, size_t bytes) {
            this->counters.count_control_bytes(direction, bytes);
          });
    } catch (const std::exception& e) {
      log_line("start_failed", {{"reason", e.what()}});
      return 1;
    }
    std::atomic<bool> listen_failed = false;
    std::thread http([&] {
      if (!this->entry->listen() && !this->done) listen_failed = true;
    });
    log_line("started", {{"hall", this->config.self.hall},
                         {"http", this->config.self.http_address},
                         {"peer", this->config.self.peer_address}});
    while (!this->done && !listen_failed) this->run_once();
    if (listen_failed) {
      log_line("start_failed", {{"reason", "cannot listen for callers"}});
    }
    this->done = true;
    this->watching = false;
    this->entry->stop();
    http.join();
    for (auto& thread : this->watch_threads) thread.join();
    this->link.reset();
    this->platform_pool.stop();
    this->probe_pool.stop();
    log_line("stopped", {});
    return listen_failed ? 1 : 0;
  }

 private:
  void post(event_body body) {
    absl::MutexLock lock(&this->mutex);
    this->queue.push_back({boot_now(), std::move(body)});
  }

  bool has_events() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) {
    return !this->queue.empty();
  }

  void run_once() {
    std::deque<event> due;
    {
      absl::MutexLock lock(&this->mutex);
      const absl::Duration left = this->next_tick - boot_now();
      if (left > absl::ZeroDuration()) {
        this->mutex.AwaitWithTimeout(absl::Condition(this, &daemon::has_events),
                                     left);
      }
      due.swap(this->queue);
    }
    if (stop_signals > this->handled_signals) {
      this->handled_signals = stop_signals;
      due.push_back({boot_now(), stop_event{}});
    }
    if (boot_now() >= this->next_tick) {
      this->next_tick = boot_now() + tick_period;
      due.push_back({boot_now(), tick_event{}});
    }
    for (auto& e : due) {
      this->counters.count_event();
      auto result = reduce(std::move(this->state), e);
      this->state = std::move(result.state);
      for (auto& effect : result.effects) {
        std::visit([this](auto& one) { this->execute(one); }, effect);
      }
    }
  }

  void execute(const watch_effect& e) {
    this->watching = e.enabled;
    if (!e.enabled || !this->watch_threads.empty()) return;
    for (const auto& kind : watched_kinds) {
      this->watch_threads.emplace_back(
          [this, kind] { this->watch_kind(kind); });
    }
  }

  void execute(const poll_effect&) {
    this->platform_pool.add([this] {
      for (const auto& kind : watched_kinds) {
        if (kind != kinds::lease) this->list(kind);
      }
      this->post(platform_event{call_owner::poll, {}});
    });
  }

  void execute(const platform_effect& e) {
    this->platform_pool.add([this, e] {
      this->post(platform_event{e.owner, this->store->call(e.call)});
    });
  }

  void execute(const probe_effect& e) {
    this->probe_pool.add([this, e] {
      const absl::Time sent = boot_now();
      const auto found = this->backend->probe(e.address, e.service,
                                              this->config.node.probe_deadline);
      this->post(probe_event{e.host, e.address, found.reachable, found.report,
                             found.load, sent});
    });
  }

  void execute(const order_effect& e) {
    this->probe_pool.add([this, e] {
      // The lease may have expired while this job waited for a thread.
      const absl::Duration left = e.content.not_after - boot_now();
      order_status status = order_status::unreachable;
      if (left > absl::ZeroDuration()) {
        status = this->backend->send_order(e.content, left);
      }
      this->post(order_event{e.content.host, status});
    });
  }

  void execute(const heartbeat_effect& e) {
    this->link->send_heartbeat(e.address, e.content);
  }
  void execute(const heartbeat_ack_effect& e) {
    this->link->reply_heartbeat(e.token, e.content);
  }
  void execute(const push_effect& e) { this->link->push(e.address, e.objects); }
  void execute(const pull_effect& e) { this->link->pull(e.address, e.known); }
  void execute(const pull_reply_effect& e) {
    this->link->reply_pull(e.token, e.objects);
  }
  void execute(const start_attempt_effect& e) { this->entry->start(e.content); }
  void execute(const cancel_attempt_effect& e) {
    this->entry->cancel(e.attempt);
  }
  void execute(const finish_request_effect& e) {
    this->entry->finish(e.request, e.result);
  }
  void execute(const status_reply_effect& e) {
    this->entry->answer_status(e.token, e.text);
  }
  void execute(const gauges_effect& e) {
    this->counters.set(e);
    this->entry->set_ready(e.ready);
  }
  void execute(const exit_effect&) { this->done = true; }

  void execute(const log_effect& e) {
    log_line(e.name, e.fields);
    if (!e.audited) return;
    json spec = {{"event", e.name},
                 {"node", this->config.self.name},
                 {"at", absl::FormatTime(absl::Now(), absl::UTCTimeZone())}};
    for (const auto& field : e.fields) spec[field.key] = field.value;
    // The name starts with the time, so that the audit trail is listed in
    // order.
    const std::string name =
        absl::StrCat(absl::ToUnixMicros(absl::Now()), "-",
                     this->config.self.name, "-", ++this->audit_count);
    this->platform_pool.add([this, name, spec] {
      object base;
      base.key = {kinds::audit, name};
      complete_write(*this->store, make_write(base, spec.dump(), name),
                     max_audit_attempts);
    });
  }

  /// Lists a kind and posts the list to the reducer. Returns the list's
  /// version, or -1 if the platform is unavailable.
  int64_t list(const std::string& kind) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<int64_t> {
          BOOST_LEAF_AUTO(found, this->store->list(kind));
          const int64_t version = found.version;
          this->post(list_event{kind, std::move(found.objects), version});
          return version;
        },
        [] { return int64_t{-1}; });
  }

  /// Watches one kind while watching is enabled, until the daemon stops.
  void watch_kind(const std::string& kind) {
    int64_t version = -1;
    std::mt19937 random(std::random_device{}());
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    while (!this->done) {
      if (!this->watching) {
        version = -1;
        absl::SleepFor(watch_retry_delay);
        continue;
      }
      if (version < 0) version = this->list(kind);
      if (version >= 0) version = this->watch_from(kind, version);
      // Random delay, so that watches that ended together do not all restart at
      // once.
      if (!this->done) absl::SleepFor(jitter(random) * watch_retry_delay);
    }
  }

  /// Runs one watch until it ends. Returns the version to resume from, or -1 if
  /// a new list is needed.
  int64_t watch_from(const std::string& kind, int64_t version) {
    const auto on_change = [&](const object* o) {
      if (o) {
        version = std::max(version, o->version);
        this->post(object_event{*o});
      }
      return this->watching && !this->done;
    };
    return leaf::try_handle_all(
        [&]() -> leaf::result<int64_t> {
          BOOST_LEAF_CHECK(this->store->watch(kind, version, on_change));
          return version;
        },
        [&](platform_error e) {
          return e == platform_error::expired ? int64_t{-1} : version;
        },
        [] { return int64_t{-1}; });
  }

  static node_options with_new_boot_id(node_options options) {
    options.boot = random_boot_id();
    options.seed = options.boot;
    return options;
  }

  node_state initial_state() {
    this->config.node = with_new_boot_id(this->config.node);
    node_state initial = make_node(this->config.node, boot_now());
    for (const auto& peer : this->config.peers) {
      initial.members.add_address(peer.hall, peer.address);
    }
    return initial;
  }

  settings config;
  metrics counters;
  std::unique_ptr<backend_client> backend;
  std::unique_ptr<platform_store> store;
  node_state state = this->initial_state();
  std::atomic<bool> done = false;
  std::atomic<bool> watching = false;
  int handled_signals = 0;
  uint64_t audit_count = 0;
  absl::Time next_tick = absl::InfinitePast();
  absl::Mutex mutex;
  std::deque<event> queue ABSL_GUARDED_BY(mutex);
  std::unique_ptr<entry_server> entry;
  std::vector<std::thread> watch_threads;
  detail::worker_pool platform_pool;
  detail::worker_pool probe_pool;
  std::unique_ptr<rpc_peer_link> link;
};

}  // namespace

int serve(const settings& s) {
  std::signal(SIGTERM, on_stop_signal);
  std::signal(SIGINT, on_stop_signal);
  std::signal(SIGPIPE, SIG_IGN);
  start_log(s.self.name);
  daemon d(s);
  return d.run();
}

}  // namespace spokesail
