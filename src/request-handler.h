// Serves one request: choice of place, attempts, answer.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "event-splitter.h"
#include "exchange.h"
#include "node-context.h"
#include "spokesail/request-identity.h"

namespace spokesail {

class caller_session;

/// How an attempt ended.
enum class attempt_result {
  /// The answer was passed on, or there is nobody to pass it to.
  done,
  /// The server has not run the request, and never will.
  not_run,
  /// The server may have run it, or part of it.
  broken
};

/// One request from its head to the end of its answer.
class request_handler {
 public:
  request_handler(node_context& node, caller_session& session,
                  http_request request, absl::Time arrived, bool keep_alive);

  /// Serves the request. Returns whether the connection may be used on.
  boost::asio::awaitable<bool> run();

 private:
  /// Why and how a request is answered without a server's answer.
  struct refusal {
    unsigned status = 503;
    const char* reason = "";
    /// When the caller should come back; zero if it is not told.
    absl::Duration retry_after = absl::ZeroDuration();
  };

  /// What decided the choice of a place, for the log.
  struct endpoint_choice {
    std::string endpoint;
    /// Whether the place is in this node's data hall.
    bool local = true;
    /// Requests there by this node's and its peers' word.
    int running = 0;
    /// Predicted time to the first event; 0 for plain services.
    double predicted_ms = 0;
    /// What the place counts as for its slowness; 1 if it is not slow.
    double slowness = 1;
    /// Rate limit of the server, or of the group's head; nothing if none.
    std::optional<limit_report> limit;
  };

  // Checks, attempts and refusals: request-handler.cc.

  /// Waits a moment until a node that has started knows the configuration and
  /// the servers.
  boost::asio::awaitable<void> wait_until_ready();

  /// Reads the request's head and finds its route, workspace, service and
  /// model. Nothing if all are there.
  std::optional<refusal> reason_to_refuse();
  std::optional<refusal> match_route();
  /// The answer about a route or key that this node does not know.
  refusal unknown_refusal(unsigned status, const char* reason) const;
  std::optional<refusal> match_service();
  /// Sends the request to one place, passes the answer on, and takes note of
  /// what the run tells of the request.
  boost::asio::awaitable<attempt_result> attempt(endpoint_target endpoint);
  boost::asio::awaitable<attempt_result> run_exchange(exchange& ex);
  /// Sets the limits of an attempt.
  void prepare_exchange(exchange& ex, const endpoint_target& endpoint) const;
  /// The request as a server gets it.
  http_request attempt_request(const endpoint_target& endpoint) const;
  /// How urgent the request is among all, 0 first.
  int rank() const;
  /// Connects to the server. False if it cannot be reached.
  boost::asio::awaitable<bool> connect(exchange& ex);
  /// Sends the request and reads the answer's head. False if there is none.
  boost::asio::awaitable<bool> send_and_read_head(exchange& ex);
  /// How an attempt ends by its answer's head; nothing if the answer is one.
  std::optional<attempt_result> classify_head(const exchange& ex,
                                              const answer_head& head);
  /// Updates the server's rate limit from an answer, and logs changes and
  /// invalid headers.
  void update_server_limit(const exchange& ex, const answer_head& head);
  /// Whether the request may be sent again after an attempt that ended so.
  bool may_retry(attempt_result end);
  /// Sets a further sending aside in the budget, where it stays while a place
  /// is looked for. False if none is left.
  bool reserve_retry();
  /// Counts the further sending that was set aside.
  void count_retry();
  /// Ends a request that no server's answer was passed on for, or not all of
  /// it. Returns whether the connection may be used on.
  boost::asio::awaitable<bool> finish_unserved(attempt_result end);
  refusal final_refusal(attempt_result end) const;
  /// The refusal of a request for which no server could be used without a
  /// grant.
  refusal no_grant_refusal() const;
  /// Answers without a server. Returns whether the connection may be used on.
  boost::asio::awaitable<bool> answer(refusal r);
  absl::Duration time_left() const;

  // What it leaves in the log: request-log.cc.

  void log_attempt(const exchange& ex, const char* end,
                   const std::string& error);
  /// Logs that a server's rate limit changed, ended or is invalid.
  void log_limit(const char* event, const exchange& ex,
                 std::optional<double> before, std::optional<double> after);
  /// Tells of a further sending, or that there is none, and why.
  void log_retry(const char* event);
  /// How the budget of its service's repeats stands.
  retry_usage retries();
  void log_end(const char* outcome, const std::string& reason, unsigned status);

  // Whether it crashes servers: request-crash.cc.

  /// What the request is over all its attempts; read from its whole content
  /// when it is first asked for, since few requests need it.
  const request_identity& identity();
  /// Whether it may not be sent because servers crashed under it.
  bool quarantined();
  /// Whether a server is known to have ended under it, or broke off.
  bool has_lost_servers();
  /// Whether a server that broke off can have begun to run the request.
  bool may_have_run(const exchange& ex) const;
  /// Takes note of what a run that ended so tells of the request.
  boost::asio::awaitable<void> record_run_result(const exchange& ex,
                                                 attempt_result end);
  /// Finds out whether a run's server ended. Waits for it if the request's
  /// next sending hangs on it.
  boost::asio::awaitable<void> record_server_loss(const exchange& ex);

  // What it tells of a place's speed: request-speed.cc.

  /// Takes note of the time until an answer, or the first event of a stream.
  void record_latency(const exchange& ex);
  /// Takes note of a plain answer before it is passed on.
  void record_response(const exchange& ex);
  /// Takes note of a run that its server failed.
  void record_failure(const exchange& ex);
  endpoint_id seen(const endpoint_target& endpoint) const;
  /// Sets what groups count as for their slowness.
  void apply_slowness(const std::vector<const group_view*>& groups,
                      std::vector<group_option>& options) const;
  /// What plain servers count as for their slowness.
  std::vector<double> server_slowness(
      const std::vector<const server_entry*>& servers) const;

  // The choice of a place: request-routing.cc.

  /// Takes note that a caller asks for a model.
  void record_demand();
  /// Draws a service of the route by weight; null if it is not configured.
  void choose_service();
  /// A place for the next sending; nothing if there is none. Waits for one
  /// only if a server has had the request.
  boost::asio::awaitable<std::optional<endpoint_target>> find_endpoint();
  std::optional<endpoint_target> pick();
  std::optional<endpoint_target> pick_group();
  /// Takes note of a choice of a group, and makes it a place.
  endpoint_target select_group(const group_view& group,
                               const group_option& option);
  /// The groups that may serve the request: all of this data hall, and some of
  /// the others.
  std::vector<const group_view*> candidate_groups();
  /// All groups that may serve the request.
  size_t count_groups() const;
  /// These groups as the prediction takes them.
  std::vector<group_option> weigh(
      const std::vector<const group_view*>& groups) const;
  /// Whether a server is in this node's data hall.
  bool is_local(const server_entry& entry) const;
  std::optional<endpoint_target> pick_server();
  /// The rate limit in effect for a server, if any.
  std::optional<limit_report> effective_limit(const server_entry& entry) const;
  /// Whether a group could take the request, its load aside.
  bool is_eligible(const group_view& group) const;
  /// Whether this node may have one more connection to a place.
  bool has_connection_slot(const std::string& endpoint) const;
  /// Tokens to read and to write, by the caller's word or as usual.
  request_size expected_size() const;
  /// What going to another data hall counts as, in ms.
  double remote_hall_cost_ms() const;

  // Whether it may be sent now: request-admit.cc.

  /// The places that it competes for, as admission names them.
  std::string admission_pool() const;
  /// Whether a request may be sent to a group's members or a plain server now.
  /// If a required grant is missing, records that it was passed over.
  bool may_send(const std::string& head,
                const std::vector<std::string>& members);
  /// Whether one of these is slow after a start, and must not get many
  /// requests.
  bool is_cold(const std::vector<std::string>& members) const;
  /// Whether a slot of this node's share of a server's limit is available.
  bool has_slot(const server_entry& entry, double per_s);
  /// Clears the servers recorded as passed over, before another choice.
  void reset_skipped();
  /// Records that a server was passed over for lack of a grant.
  void skip_ungranted(const std::string& head,
                      const std::optional<limit_report>& limit);
  /// Requests a grant for one of the servers that were passed over.
  void request_grant();
  /// Consumes the grant that a choice needs, and requests one for the servers
  /// that were passed over.
  std::optional<endpoint_target> acquire_grant_if_needed(
      std::optional<endpoint_target> endpoint);
  /// The place with the grant that it needs, which is used up; nothing if it
  /// has just ended.
  std::optional<endpoint_target> acquire_grant(endpoint_target endpoint);
  /// What the request asks of admission.
  admission_request make_admission_request() const;
  /// A group for the first sending, by admission: at once, after a wait, or
  /// none.
  boost::asio::awaitable<std::optional<endpoint_target>> admit();
  /// The verdict of this moment, and a place if it is one.
  std::optional<endpoint_target> try_admit(const admission_request& asked,
                                           bool entered);

  // The passing on of answers: request-answer.cc.

  boost::asio::awaitable<attempt_result> relay_answer(exchange& ex,
                                                      const answer_head& head);
  /// Waits until there is memory for more of an answer.
  boost::asio::awaitable<void> wait_for_memory(exchange& ex,
                                               const answer_charge& answer);
  /// Passes a plain answer on once it is whole.
  boost::asio::awaitable<attempt_result> relay_buffered(
      exchange& ex, const answer_head& head);
  /// Whether an answer of this status is dropped for another attempt.
  bool retry_instead(unsigned status);
  /// Passes a stream on, event by event.
  boost::asio::awaitable<attempt_result> relay_stream(exchange& ex,
                                                      const answer_head& head);
  /// Makes the head that goes out with a stream's first events.
  void begin_stream(const exchange& ex);
  /// Has admission learn from a first event.
  void record_prediction_error(const exchange& ex, absl::Time now);
  /// Passes whole events on. False if the caller is gone.
  boost::asio::awaitable<bool> relay_events(exchange& ex,
                                            const event_batch& events);
  /// Writes a part of a stream. False if the caller is gone.
  boost::asio::awaitable<bool> write_stream(const std::string& bytes,
                                            bool last);

  node_context& node;
  caller_session& session;
  http_request request;
  absl::Time arrived;
  bool keep_alive;

  /// The configuration of the request's arrival, which the pointers below
  /// point into; null before the first.
  std::shared_ptr<const routing_table> table;
  const route_rule* route = nullptr;
  /// Null for requests that need no key.
  const api_workspace* workspace = nullptr;
  const backend_service* service = nullptr;
  /// Null for plain services.
  const model_profile* model = nullptr;
  caller_request info;
  std::optional<request_identity> cached_identity;
  /// Whether its server broke off in an earlier send.
  bool server_lost_before = false;
  absl::Time deadline = absl::InfiniteFuture();

  /// Number of servers that the last choice passed over for lack of a grant.
  int ungranted_count = 0;
  /// One of them, chosen uniformly at random.
  std::string ungranted_server;
  /// Sum of the grant rates of those with a limit, in requests per second.
  double skipped_per_s = 0;
  /// When a grant was last requested.
  absl::Time grant_wanted_at = absl::InfinitePast();

  /// Servers that it was sent to.
  std::set<std::string> tried;
  /// Attempts that a server may have run.
  int runs = 0;
  /// Attempts at all.
  int sends = 0;
  /// Attempts that found a connection, so that a server may have seen them.
  int connected_sends = 0;
  /// A further sending that the budget holds for it.
  std::optional<retry_reservation> reserved;
  /// When the last attempt ended; only set after one.
  absl::Time attempt_ended_at = absl::InfinitePast();
  std::string last_error;
  /// What admission said last; nothing if it was not asked.
  std::optional<admission_decision> last_decision;
  /// Of the last choice of a place.
  endpoint_choice chosen;
  /// Of a stream: the last event passed on, and whether its head is out.
  int64_t last_event = -1;
  bool head_sent = false;
  /// Whether the caller understands chunks.
  bool chunked = true;
  /// A stream's head until it is out.
  std::string stream_head;
  absl::Time first_event_at = absl::InfiniteFuture();
  absl::Time last_event_at = absl::InfiniteFuture();
  absl::Duration longest_pause = absl::ZeroDuration();
  /// From its arrival until it had a place, or none.
  absl::Duration queue_time = absl::ZeroDuration();
};

}  // namespace spokesail
