#include "trial-coordinator.h"

#include <algorithm>

#include "exchange.h"
#include "spokesail/hash.h"

namespace spokesail {
namespace {

namespace net = boost::asio;

/// Interval at which the queue is checked for messages to send. Adds to the
/// time that a suspected request waits.
constexpr absl::Duration check_period = absl::Milliseconds(10);

}  // namespace

std::vector<std::string> trial_coordinator::issuers(
    const request_trait& trait) const {
  std::vector<std::string> nodes = this->link.reachable_peers();
  nodes.push_back(this->node.settings.node);
  return rendezvous(to_text(trait), nodes, trial_timing::max_issuers);
}

trial_response trial_coordinator::respond(const trial_request& request) {
  const absl::Time now = this->node.now();
  if (request.update) this->node.crashes.merge_update(*request.update, now);
  trial_response out{request.trait, request.nonce, false, {}};
  if (request.ended) {
    this->issuer.end(request.trait, request.nonce);
  } else {
    out.granted = this->issuer.begin(request.trait, request.nonce, now);
  }
  out.update = this->node.crashes.update_for(request.trait, now);
  return out;
}

void trial_coordinator::handle_request(const std::string& peer,
                                       const trial_request& request) {
  trial_response response = this->respond(request);
  if (!request.ended) this->link.send(peer, std::move(response));
}

void trial_coordinator::handle_response(const trial_response& response) {
  const absl::Time now = this->node.now();
  if (response.update) this->node.crashes.merge_update(*response.update, now);
  this->node.trials.accept(response, now);
}

void trial_coordinator::send(trial_queue::message message) {
  trial_request& request = message.request;
  const auto nodes = this->issuers(request.trait);
  const std::string& to = nodes[std::min(message.issuer, nodes.size() - 1)];
  request.update =
      this->node.crashes.update_for(request.trait, this->node.now());
  if (to != this->node.settings.node) {
    this->link.send(to, std::move(request));
    return;
  }
  const trial_response response = this->respond(request);
  if (!request.ended) this->handle_response(response);
}

void trial_coordinator::abort_suspected() {
  const crash_tracker& tracker = this->node.crashes;
  if (tracker.revision() == this->revision) return;
  this->revision = tracker.revision();
  const absl::Time now = this->node.now();
  const std::vector<exchange*> all(this->node.exchanges.begin(),
                                   this->node.exchanges.end());
  for (exchange* ex : all) {
    if (ex->head_received || !ex->repeatable) continue;
    const crash_verdict verdict = tracker.judge(ex->parts, now).verdict;
    const bool waits =
        verdict == crash_verdict::suspected && ex->may_wait_for_trial;
    if (waits && ex->on_doubt) ex->on_doubt(abort_cause::suspected);
    if (verdict == crash_verdict::quarantined)
      ex->abort(abort_cause::suspected);
  }
}

net::awaitable<void> trial_coordinator::run() {
  for (;;) {
    this->abort_suspected();
    if (!this->node.trials.empty()) {
      for (auto& m : this->node.trials.take_messages(this->node.now()))
        this->send(std::move(m));
    }
    co_await this->node.sleep(check_period);
  }
}

}  // namespace spokesail
