// Reads and writes of the lease.
#include "lease-keeper.h"

#include <absl/strings/str_cat.h>

#include "spokesail/lease-turn.h"

namespace spokesail {
namespace {

namespace net = boost::asio;

/// Name of the lease in the store.
constexpr char lease_name[] = "groups";

/// Period at which nodes look whether the lease is to be renewed or has run
/// out.
constexpr absl::Duration look_period = absl::Milliseconds(100);

/// Who has had no news of the store for this long would hardly reach it.
constexpr absl::Duration reach_time = absl::Milliseconds(1500);

/// Pauses after calls for the lease that failed. The holder has about 1.7 s
/// left when a renewal fails.
constexpr absl::Duration first_pause = absl::Milliseconds(100);
constexpr absl::Duration longest_pause = absl::Milliseconds(800);

/// A holder that found itself cut off from the servers leaves the duty to
/// others for this long.
constexpr absl::Duration stand_down_time = absl::Seconds(5);

}  // namespace

lease_keeper::lease_keeper(node_context& state)
    : node(state),
      self(absl::StrCat(state.settings.node, "/", state.random.engine())),
      lease(lease_name, this->self, state.settings.lease),
      late_share(state.random.unit()),
      pauses(first_pause, longest_pause) {}

bool lease_keeper::holds() const {
  return this->lease.held(this->node.now()) && !this->giving_up;
}

std::string lease_keeper::holder() const {
  if (this->holds()) return this->node.settings.node;
  const std::string& holder = this->lease.last_seen().holder;
  const std::string name = holder.substr(0, holder.rfind('/'));
  // What this node itself held before it started anew, or gave up, is over.
  return name == this->node.settings.node ? "" : name;
}

std::optional<lease_word> lease_keeper::word() const {
  // Who gave the lease up passes that on too, so that others need not wait.
  const bool gave_up = this->giving_up && this->lease.released();
  if (!this->holds() && !gave_up) return std::nullopt;
  const object& seen = this->lease.last_object();
  return lease_word{seen.version, seen.body};
}

void lease_keeper::observe(const lease_word& said) {
  object seen{{kinds::lease, lease_name}, said.version, said.record, false};
  this->lease.observe(seen, this->node.now(), this->turn());
  this->known = true;
}

void lease_keeper::stop() {
  this->giving_up = true;
  this->lease.release();
}

void lease_keeper::stand_down() {
  this->stood_down_until = this->node.now() + stand_down_time;
  this->lease.abandon();
}

std::optional<int> lease_keeper::rank() const {
  return lease_rank(this->candidates(), this->node.settings.node);
}

double lease_keeper::turn() {
  const absl::Duration wait =
      takeover_wait(this->rank(), this->node.random.unit());
  return absl::FDivDuration(wait, this->node.settings.lease.takeover_spread);
}

bool lease_keeper::may_ask() const {
  const absl::Time now = this->node.now();
  if (now < this->quiet_until) return false;
  if (this->holds()) return true;
  if (now < this->stood_down_until) return false;
  if (!this->node.routes || !this->node.directory_listed) return false;
  return this->node.config_age() < reach_time;
}

bool lease_keeper::may_read() {
  const absl::Time now = this->node.now();
  if (this->first_look == absl::InfinitePast()) this->first_look = now;
  const absl::Duration wait = first_read_wait(this->rank(), this->late_share);
  return now - this->first_look >= wait;
}

void lease_keeper::pause_calls() {
  this->quiet_until = this->node.now() + this->pauses.next(this->node.random);
}

net::awaitable<void> lease_keeper::write() {
  const auto call = this->lease.due(
      this->node.now(),
      absl::StrCat(this->self, "-", this->node.random.below(1ULL << 40)));
  if (!call) co_return;
  const platform_answer answer = co_await this->node.store.call(*call);
  this->node.metrics.count_store_call(
      "lease", answer.status == call_status::ok ? "ok" : "failed");
  const bool held = this->lease.held(this->node.now());
  this->lease.on_answer(answer, this->node.now(), this->turn());
  if (answer.status == call_status::unavailable) {
    this->pause_calls();
  } else {
    this->pauses.reset();
  }
  if (held == this->lease.held(this->node.now())) co_return;
  this->node.log.belief(held ? "lease_lost" : "lease_taken",
                        {{"fence", absl::StrCat(this->lease.fence())},
                         {"holder", this->lease.last_seen().holder}},
                        this->node.now());
}

net::awaitable<bool> lease_keeper::read() {
  const platform_call call{call_kind::read, {kinds::lease, lease_name}, 0, ""};
  const platform_answer answer = co_await this->node.store.call(call);
  this->node.metrics.count_store_call("get_lease", "sent");
  if (answer.status == call_status::unavailable) {
    this->pause_calls();
    co_return false;
  }
  this->known = true;
  if (answer.status == call_status::not_found) {
    this->lease.observe_absent(this->node.now(), this->turn());
  } else {
    this->lease.observe(answer.found, this->node.now(), this->turn());
  }
  co_return true;
}

net::awaitable<void> lease_keeper::look() {
  if (this->giving_up) {
    if (!this->lease.released()) co_await this->write();
    co_return;
  }
  if (!this->may_ask()) co_return;
  if (!this->known) {
    if (!this->may_read()) co_return;
    const bool answered = co_await this->read();
    if (!answered) co_return;
  }
  co_await this->write();
}

net::awaitable<void> lease_keeper::run() {
  for (;;) {
    co_await this->look();
    co_await this->node.sleep(look_period);
  }
}

}  // namespace spokesail
