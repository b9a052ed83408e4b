// Reading and writing of the lease.
#include "lease-manager.h"

#include <absl/strings/str_cat.h>

#include "spokesail/lease-takeover.h"

namespace spokesail {
namespace {

namespace net = boost::asio;

/// Name of the lease in the store.
constexpr char lease_name[] = "groups";

/// Period at which a node checks whether the lease has to be renewed or has
/// expired.
constexpr absl::Duration lease_check_period = absl::Milliseconds(100);

/// A node whose configuration has not been confirmed for this long probably
/// cannot reach the store.
constexpr absl::Duration max_config_age = absl::Milliseconds(1500);

/// Bounds of the backoff after failed calls for the lease. The holder has about
/// 1.7 s left when a renewal fails.
constexpr absl::Duration initial_backoff = absl::Milliseconds(100);
constexpr absl::Duration max_backoff = absl::Milliseconds(800);

/// A holder that found itself isolated from the servers leaves the lease to
/// other nodes for this long.
constexpr absl::Duration step_down_time = absl::Seconds(5);

}  // namespace

lease_manager::lease_manager(node_context& state)
    : node(state),
      self(absl::StrCat(state.settings.node, "/", state.random.engine())),
      lease(lease_name, this->self, state.settings.lease),
      read_jitter(state.random.unit()),
      retry_backoff(initial_backoff, max_backoff) {}

bool lease_manager::holds() const {
  return this->lease.held(this->node.now()) && !this->releasing;
}

std::string lease_manager::holder() const {
  if (this->holds()) return this->node.settings.node;
  const std::string& holder = this->lease.last_seen().holder;
  const std::string name = holder.substr(0, holder.rfind('/'));
  // A lease of an earlier start of this node, or one that it has released, has
  // no holder.
  return name == this->node.settings.node ? "" : name;
}

std::optional<lease_snapshot> lease_manager::snapshot() const {
  // A released lease is sent as well, so that other nodes need not wait for its
  // expiry.
  const bool just_released = this->releasing && this->lease.released();
  if (!this->holds() && !just_released) return std::nullopt;
  const object& seen = this->lease.last_object();
  return lease_snapshot{seen.version, seen.body};
}

void lease_manager::observe(const lease_snapshot& reported) {
  object seen{
      {kinds::lease, lease_name}, reported.version, reported.record, false};
  this->lease.observe(seen, this->node.now(), this->takeover_jitter_share());
  this->known = true;
}

void lease_manager::stop() {
  this->releasing = true;
  this->lease.release();
}

void lease_manager::step_down() {
  this->stepped_down_until = this->node.now() + step_down_time;
  this->lease.abandon();
}

std::optional<int> lease_manager::rank() const {
  return lease_rank(this->candidates(), this->node.settings.node);
}

double lease_manager::takeover_jitter_share() {
  const absl::Duration wait =
      takeover_delay(this->rank(), this->node.random.unit());
  return absl::FDivDuration(wait, this->node.settings.lease.takeover_jitter);
}

void lease_manager::update_current_since() {
  if (this->node.config_age() >= max_config_age) {
    this->current_since = absl::InfiniteFuture();
  } else {
    this->current_since = std::min(this->current_since, this->node.now());
  }
}

bool lease_manager::may_call_store() const {
  const absl::Time now = this->node.now();
  if (now < this->backoff_until) return false;
  if (this->holds()) return true;
  if (now < this->stepped_down_until) return false;
  if (this->node.reachability.in_doubt(now)) return false;
  if (!this->node.routes || !this->node.directory_listed) return false;
  const absl::Duration current_for = now - this->current_since;
  // A rank takes a look at all candidates.
  if (current_for >= max_return_delay) return true;
  return current_for >= return_delay(this->rank(), this->read_jitter);
}

bool lease_manager::may_read() {
  const absl::Time now = this->node.now();
  if (this->read_wait_start == absl::InfinitePast())
    this->read_wait_start = now;
  const absl::Duration wait = first_read_delay(this->rank(), this->read_jitter);
  return now - this->read_wait_start >= wait;
}

void lease_manager::back_off() {
  this->backoff_until =
      this->node.now() + this->retry_backoff.next(this->node.random);
}

net::awaitable<void> lease_manager::write() {
  const auto call = this->lease.due(
      this->node.now(),
      absl::StrCat(this->self, "-", this->node.random.below(1ULL << 40)));
  if (!call) co_return;
  const platform_answer answer = co_await this->node.store.call(*call);
  this->node.metrics.count_store_call(
      "lease", answer.status == call_status::ok ? "ok" : "failed");
  const bool held = this->lease.held(this->node.now());
  this->lease.on_answer(answer, this->node.now(),
                        this->takeover_jitter_share());
  if (answer.status == call_status::unavailable) {
    this->back_off();
  } else {
    this->retry_backoff.reset();
  }
  this->report_unreadable();
  if (held == this->lease.held(this->node.now())) co_return;
  this->node.log.state_change(held ? "lease_lost" : "lease_taken",
                              {{"fence", absl::StrCat(this->lease.fence())},
                               {"holder", this->lease.last_seen().holder}},
                              this->node.now());
}

net::awaitable<bool> lease_manager::read() {
  const platform_call call{call_kind::read, {kinds::lease, lease_name}, 0, ""};
  const platform_answer answer = co_await this->node.store.call(call);
  this->node.metrics.count_store_call("get_lease", "sent");
  if (answer.status == call_status::unavailable) {
    this->back_off();
    co_return false;
  }
  this->known = true;
  if (answer.status == call_status::not_found) {
    this->lease.observe_absent(this->node.now(), this->takeover_jitter_share());
  } else {
    this->lease.observe(answer.found, this->node.now(),
                        this->takeover_jitter_share());
  }
  this->report_unreadable();
  co_return true;
}

void lease_manager::report_unreadable() {
  if (!this->lease.unreadable()) return;
  this->node.unusable.report(this->lease.last_object(), "not a lease",
                             this->node.now());
}

net::awaitable<void> lease_manager::renew_or_take_over() {
  if (this->releasing) {
    if (!this->lease.released()) co_await this->write();
    co_return;
  }
  if (!this->may_call_store()) co_return;
  if (!this->known) {
    if (!this->may_read()) co_return;
    const bool answered = co_await this->read();
    if (!answered) co_return;
  }
  co_await this->write();
}

net::awaitable<void> lease_manager::run() {
  for (;;) {
    this->update_current_since();
    co_await this->renew_or_take_over();
    co_await this->node.sleep(lease_check_period);
  }
}

}  // namespace spokesail
