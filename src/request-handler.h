// Serves one request: chooses an endpoint, makes attempts, relays the response.
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
#include "spokesail/request-trait.h"

namespace spokesail {

class body_buffer;
class caller_session;

/// The result of an attempt.
enum class attempt_result {
  /// The response was relayed, or the caller has disconnected.
  done,
  /// The server has not run the request and will not run it.
  not_run,
  /// The server may have run the request, wholly or in part.
  broken
};

/// Handles one request from its head to the end of its response.
class request_handler {
 public:
  request_handler(node_context& node, caller_session& session,
                  http_request request, absl::Time arrived, bool keep_alive);

  /// Serves the request. Returns whether the connection can be reused.
  boost::asio::awaitable<bool> run();

 private:
  /// A response that this node gives without a server.
  struct refusal {
    unsigned status = 503;
    const char* reason = "";
    /// Retry delay sent to the caller; zero if none is sent.
    absl::Duration retry_after = absl::ZeroDuration();
  };

  /// The inputs of the last endpoint choice, for the log.
  struct endpoint_choice {
    std::string endpoint;
    /// Whether the endpoint is in this node's data hall.
    bool local = true;
    /// Requests in flight there, as known to this node and its peers.
    int running = 0;
    /// Predicted time to the first event; 0 for plain services.
    double predicted_ms = 0;
    /// Slowness factor used for the endpoint; 1 if it is not slow.
    double slowness = 1;
    /// Rate limit of the server, or of the group's head; nothing if none.
    std::optional<limit_report> limit;
  };

  // Checks, attempts and refusals: request-handler.cc.

  /// Waits for a bounded time until a node that has just started has read the
  /// server list. Does not wait without a configuration.
  boost::asio::awaitable<void> wait_until_ready();

  /// When a node without a configuration is expected to have one.
  absl::Duration first_config_delay() const;

  /// Parses the request's head and finds its route, workspace, service and
  /// model. Returns the refusal, or nothing if the request can be served.
  std::optional<refusal> reason_to_refuse();
  std::optional<refusal> match_route();
  /// The refusal for a route or key that this node's configuration lacks.
  refusal unknown_refusal(unsigned status, const char* reason) const;
  std::optional<refusal> match_service();
  /// An attempt at an endpoint, at which it is counted from now on.
  std::shared_ptr<exchange> make_exchange(
      const endpoint_target& endpoint) const;
  /// Sends the request to one endpoint, relays the response and records what
  /// the attempt shows about the request.
  boost::asio::awaitable<attempt_result> attempt(
      std::shared_ptr<exchange> running);
  boost::asio::awaitable<attempt_result> run_exchange(exchange& ex);
  /// Sets the deadlines and the expected time of an attempt.
  void prepare_exchange(exchange& ex, const endpoint_target& endpoint) const;
  /// The request as sent to a server.
  http_request attempt_request(const endpoint_target& endpoint) const;
  /// Priority rank of the request; 0 is the most urgent.
  int rank() const;
  /// Why a request must not be sent to an endpoint although it is connected;
  /// null if it may.
  const char* reason_not_to_send(const endpoint_target& endpoint);
  /// Connects to the server. Returns false if no connection was made in time,
  /// or if the request must not be sent any more.
  boost::asio::awaitable<bool> connect(exchange& ex);
  /// Sends the request and reads the response head. Returns false if none came.
  boost::asio::awaitable<bool> send_and_read_head(exchange& ex);
  /// The result of an attempt whose response head settles it; nothing if the
  /// response is to be relayed.
  std::optional<attempt_result> classify_head(const exchange& ex,
                                              const answer_head& head);
  /// Updates the server's rate limit from a response, and logs changes and
  /// invalid headers.
  void update_server_limit(const exchange& ex, const answer_head& head);
  /// Records what a response says about the server's own state: that it asks
  /// this node to back off, or that it is leaving.
  void record_server_state(const exchange& ex, const answer_head& head);
  /// Suspects the member of the endpoint that a response names as the cause of
  /// a refusal, by its id or its address; none if it names no member.
  void suspect_member(const endpoint_target& endpoint,
                      const std::string& named);
  /// Why the request may not be sent again after an attempt with this result,
  /// apart from the retry budget; null if it may.
  const char* reason_not_to_retry(attempt_result result);
  /// Whether the request may be sent again after an attempt with this result.
  /// If so, a retry is reserved.
  bool may_retry(attempt_result result);
  /// Reserves a retry in the budget; the reservation is held while the endpoint
  /// is chosen. Returns false if no retry is left.
  bool reserve_retry();
  /// Counts the reserved retry as sent.
  void count_retry();
  /// Ends a request whose response was not relayed completely. Returns whether
  /// the connection can be reused.
  boost::asio::awaitable<bool> finish_unserved(attempt_result result);
  refusal final_refusal(attempt_result result) const;
  /// The refusal of a request whose servers are all in backoff; `first` is the
  /// backoff that ends first.
  refusal backoff_refusal(const server_backoff& first) const;
  /// The refusal of a request for which no server could be used without a
  /// grant.
  refusal no_grant_refusal() const;
  /// Sends a refusal. Returns whether the connection can be reused.
  boost::asio::awaitable<bool> send_refusal(refusal r);
  absl::Duration time_left() const;
  /// Whether a stopping node has less time left than the request usually takes.
  bool too_late_to_send() const;

  // Logging and metrics: request-log.cc.

  void log_attempt(const exchange& ex, const char* outcome,
                   const std::string& error);
  /// Logs that a server's rate limit changed, ended or is invalid.
  void log_limit(const char* event, const exchange& ex,
                 std::optional<double> before, std::optional<double> after);
  /// Logs a server's backoff, or that its header is invalid.
  void log_backoff(const char* event, const exchange& ex,
                   const answer_head& head);
  /// Logs a response of a server that announces its end.
  void log_leaving(const exchange& ex, const answer_head& head);
  /// Counts the last attempt, which this node aborted; `retries` says whether
  /// the request may be sent again.
  void count_given_up(bool retries);
  /// Remaining backoff of the server, in ms for the log; empty if it has none.
  std::string backoff_left_ms(const exchange& ex) const;
  /// Time since anything was received from any server, in ms for the log.
  std::string servers_silent_ms() const;
  /// Logs that the request's trial of a trait has begun or ended.
  void log_trial(const char* event, const request_trait& trait);
  /// Logs that a retry was sent or refused, with the state of the budget.
  void log_retry(const char* event);
  /// Current usage of the service's retry budget.
  retry_usage current_retry_usage();
  void log_end(const char* outcome, const std::string& reason, unsigned status);

  // Detection of what crashes servers: request-crash.cc.

  /// Identity of the request over all its attempts. Computed on first use,
  /// since it hashes the whole content and few requests need it.
  const request_trait& identity();
  /// All traits that may be the reason for a crash: the parts of the prompt and
  /// the content.
  const std::vector<request_trait>& traits();
  /// What the known crashes mean for the request.
  crash_judgement judge();
  /// Whether the request must not be sent because servers crashed under one of
  /// its traits.
  bool quarantined();
  /// Whether the request may be sent now: none of its traits is suspected, or
  /// its trial has begun.
  bool may_run();
  /// Waits until the request may run. If it may not within a bounded time,
  /// returns false and sets `crash_refusal`.
  boost::asio::awaitable<bool> wait_for_trial();
  /// Enters the queue for a trial of a trait. False if too many wait there.
  bool enter_trial(const request_trait& trait);
  /// Leaves the queue or ends the trial, if there is one.
  void leave_trial();
  /// Sets the refusal of a quarantined or suspected request.
  bool refuse_crashing(const crash_judgement& judged);
  /// Decides on a request that has waited for its trial for too long.
  bool end_trial_wait(const crash_judgement& judged);
  /// Records under which traits servers are known to have crashed when an
  /// attempt begins.
  void note_known_crashes();
  /// Records that a server has begun to answer the request.
  void record_answer_begin();
  /// Whether a server that broke off can have begun to run the request.
  bool may_have_run(const exchange& ex) const;
  /// Records what an attempt shows about whether the request crashes servers.
  boost::asio::awaitable<void> record_run_result(const exchange& ex,
                                                 attempt_result result);
  /// Checks whether the server of a lost attempt has crashed. Waits for the
  /// check only if a crash would make a trait suspected, since the check then
  /// decides whether the request may be retried.
  boost::asio::awaitable<void> record_server_loss(const exchange& ex);

  // Choice between a running attempt and another one: request-failover.cc.

  /// Called while it is in doubt whether a running attempt will be answered.
  /// Searches for another endpoint, unless a search is running.
  void on_doubt(const std::weak_ptr<exchange>& running, abort_cause cause);
  /// Searches for an endpoint that could take the request over, and aborts the
  /// running attempt only if there is one.
  boost::asio::awaitable<void> search_endpoint(node_context& state,
                                               failover_pacer& pacer,
                                               std::weak_ptr<exchange> running,
                                               abort_cause cause);
  /// Whether the servers of an attempt's endpoint answer, and ends the search.
  /// Does not refer to a handler, which may end meanwhile.
  static boost::asio::awaitable<bool> confirm(node_context& state,
                                              failover_pacer& pacer,
                                              const exchange* next);
  /// Whether a placed attempt may still be sent.
  bool may_start(const exchange& next) const;
  /// Paces the searches of the request's service.
  failover_pacer& failovers();
  /// Why no other attempt may follow a running one; null if one may.
  const char* obstacle_to_failover(const exchange& running, abort_cause cause);
  /// Chooses an endpoint and counts an attempt there; null if there is none.
  /// After a lost path it may be that of the running attempt.
  std::shared_ptr<exchange> place_attempt(const exchange& running,
                                          abort_cause cause);
  /// Logs that a running attempt is kept in spite of a doubt, unless the last
  /// reason was the same.
  void note_kept(const exchange& running, abort_cause cause,
                 const char* reason);

  // Speed measurements of endpoints: request-speed.cc.

  /// Records the time to a response, or to the first event of a stream.
  void record_latency(const exchange& ex);
  /// Records a plain response before it is relayed.
  void record_response(const exchange& ex);
  /// Records an attempt that the endpoint failed.
  void record_failure(const exchange& ex);
  endpoint_id endpoint_id_of(const endpoint_target& endpoint) const;
  /// Sets the slowness factor of each group option.
  void apply_slowness(const std::vector<const group_view*>& groups,
                      std::vector<group_option>& options) const;
  /// Slowness factors of plain servers.
  std::vector<double> server_slowness(
      const std::vector<const server_entry*>& servers) const;

  // Choice of the endpoint: request-routing.cc.

  /// Records the caller's demand for a model.
  void record_demand();
  /// Draws a service of the route by weight; null if it is not configured.
  void choose_service();
  /// Chooses the endpoint of the next attempt; nothing if there is none. Waits
  /// for an endpoint only if the request was sent before, or if a grant or the
  /// end of a backoff is due.
  boost::asio::awaitable<std::optional<endpoint_target>> find_endpoint();
  std::optional<endpoint_target> pick();
  std::optional<endpoint_target> pick_group();
  /// Records the choice of a group and returns it as an endpoint.
  endpoint_target select_group(const group_view& group,
                               const group_option& option);
  /// The groups considered for the request: all eligible ones of this data
  /// hall, and a random few of the others.
  std::vector<const group_view*> candidate_groups();
  /// Number of all groups that are eligible for the request.
  size_t count_groups() const;
  /// The groups with their load and cost, as input of the prediction.
  std::vector<group_option> group_options_of(
      const std::vector<const group_view*>& groups) const;
  /// Whether a server is in this node's data hall.
  bool is_local(const server_entry& entry) const;
  std::optional<endpoint_target> pick_server();
  /// The servers of a plain service to which the request may be sent.
  std::vector<const server_entry*> candidate_servers();
  /// The rate limit in effect for a server, if any.
  std::optional<limit_report> effective_limit(const server_entry& entry) const;
  /// Whether a group is able to serve the request, regardless of its load and
  /// of what this node knows from its own attempts.
  bool is_able(const group_view& group) const;
  /// Whether a group could take the request, regardless of its load.
  bool is_eligible(const group_view& group) const;
  /// The current backoff of a server; nothing if it has none.
  std::optional<server_backoff> backoff_of(const server_entry& entry) const;
  /// The servers to which the request could be sent if none were in backoff:
  /// heads of groups, or plain servers; without the endpoints in `excluded`.
  std::vector<const server_entry*> able_servers(
      const std::set<std::string>& excluded) const;
  /// If all these servers are in backoff, the one that ends first.
  std::optional<server_backoff> common_backoff(
      const std::set<std::string>& excluded = {}) const;
  /// How long the request waits for an endpoint when there is none; zero if it
  /// is refused at once.
  absl::Duration max_endpoint_wait() const;
  /// Whether this node may open one more connection to an endpoint.
  bool has_connection_slot(const std::string& endpoint) const;
  /// Prompt and answer tokens: as given by the caller, or the service's mean.
  request_size expected_size() const;
  /// Added cost of sending a request to another data hall, in ms.
  double remote_hall_cost_ms() const;

  // Admission and grants: request-admit.cc.

  /// Name of the admission queue that the request belongs to.
  std::string admission_pool() const;
  /// Whether a request may be sent to a group's members or a plain server now.
  /// If a required grant is missing, records that the server was skipped.
  bool may_send(const std::string& head,
                const std::vector<std::string>& members);
  /// Whether one of these servers is still slow after a start and may get only
  /// a limited rate of requests.
  bool is_cold(const std::vector<std::string>& members) const;
  /// Whether a slot of this node's share of a server's limit is available.
  bool has_slot(const server_entry& entry, double per_s);
  /// Clears the servers recorded as skipped, before another choice.
  void reset_skipped();
  /// Records that a server was skipped for lack of a grant.
  void skip_ungranted(const std::string& head,
                      const std::optional<limit_report>& limit);
  /// Requests a grant for one of the servers that were skipped.
  void request_grant();
  /// Consumes the grant that a choice needs, and requests one for the servers
  /// that were skipped.
  std::optional<endpoint_target> acquire_grant_if_needed(
      std::optional<endpoint_target> endpoint);
  /// The endpoint with the grant that it needs, which is consumed; nothing if
  /// the grant has just expired.
  std::optional<endpoint_target> acquire_grant(endpoint_target endpoint);
  /// The request as admission sees it.
  admission_request make_admission_request() const;
  /// Chooses a group for the first attempt by admission, at once or after a
  /// wait; nothing if the request is refused.
  boost::asio::awaitable<std::optional<endpoint_target>> admit();
  /// Makes one admission decision. Returns the endpoint if the request is
  /// admitted.
  std::optional<endpoint_target> try_admit(const admission_request& queued,
                                           bool was_queued);

  // Relaying of responses: request-answer.cc.

  boost::asio::awaitable<attempt_result> relay_response(
      exchange& ex, const answer_head& head);
  /// Waits until there is memory for more of a response.
  boost::asio::awaitable<void> wait_for_memory(exchange& ex, size_t size,
                                               const answer_charge& charge);
  /// Relays a plain response after its whole body was read.
  boost::asio::awaitable<attempt_result> relay_buffered(
      exchange& ex, const answer_head& head);
  /// Writes a response whose body is whole.
  boost::asio::awaitable<void> write_whole(http_response& head,
                                           const body_buffer& body);
  /// Replaces the server's Retry-After in a response that is relayed: the
  /// server addresses this node, not its callers, whom other servers may serve
  /// sooner.
  void replace_retry_after(http_response& out) const;
  /// Blames a server for bytes that are no response: it gets no other requests
  /// for a while.
  void blame_for_malformed(exchange& ex);
  /// Whether a complete response is dropped and the request sent again: it
  /// reports a fault of the server, and another one can take the request.
  bool retry_instead(const exchange& ex);
  /// Relays a stream event by event.
  boost::asio::awaitable<attempt_result> relay_stream(exchange& ex,
                                                      const answer_head& head);
  /// Builds the response head that is sent with a stream's first events.
  void begin_stream(const exchange& ex);
  /// Passes the time to the first event to admission, which learns the
  /// prediction's error.
  void record_prediction_error(const exchange& ex, absl::Time now);
  /// Relays complete events. Returns false if the caller has disconnected.
  boost::asio::awaitable<bool> relay_events(exchange& ex,
                                            const event_batch& events);
  /// Writes a part of a stream. Returns false if the caller has disconnected.
  boost::asio::awaitable<bool> write_stream(const std::string& bytes,
                                            bool last);

  node_context& node;
  caller_session& session;
  http_request request;
  absl::Time arrived;
  bool keep_alive;

  /// The configuration when the request arrived; null if there was none. Keeps
  /// the objects alive that the pointers below refer to.
  std::shared_ptr<const routing_table> table;
  const route_rule* route = nullptr;
  /// Null for requests that need no key.
  const api_workspace* workspace = nullptr;
  const backend_service* service = nullptr;
  /// Null for plain services.
  const model_profile* model = nullptr;
  caller_request info;
  std::optional<request_trait> cached_identity;
  /// Traits of the prompt's parts, once the service is known.
  std::vector<request_trait> part_traits;
  /// Result of `traits`, once it was needed.
  std::vector<request_trait> cached_traits;
  /// Traits under which servers were known to have crashed when the current
  /// attempt began.
  std::set<request_trait> known_crashes;
  /// The trait whose trial the request waits for or runs in, and the request's
  /// number in that queue.
  std::optional<request_trait> trial_trait;
  uint64_t trial_number = 0;
  /// Set if the request is refused because of crashes.
  std::optional<refusal> crash_refusal;
  /// Whether the trial has begun.
  bool in_trial = false;
  /// Whether the next attempt runs without a trial because none began in time.
  bool ran_untried = false;
  /// Whether a server broke off an earlier attempt.
  bool server_lost_before = false;
  absl::Time deadline = absl::InfiniteFuture();

  /// Number of servers that the last choice skipped for lack of a grant.
  int ungranted_count = 0;
  /// One of them, chosen uniformly at random.
  std::string ungranted_server;
  /// Sum of the grant rates of those with a limit, in requests per second.
  double skipped_per_s = 0;
  /// When a grant was last requested.
  absl::Time grant_requested_at = absl::InfinitePast();

  /// Endpoints that an attempt was made at.
  std::set<std::string> tried_endpoints;
  /// Attempts that a server may have run.
  int possible_runs = 0;
  /// All attempts.
  int attempts_made = 0;
  /// Attempts that got a connection, so that a server may have received them.
  int connected_attempts = 0;
  /// Why this node aborted the last attempt; none if it did not.
  abort_cause last_abort = abort_cause::none;
  /// Whether the last attempt found no path to its server or any other, over
  /// this node's links or through another node.
  bool no_path = false;
  /// Whether the last attempt was aborted because this node had lost its link,
  /// or broke off at a proxy.
  bool path_lost = false;
  /// Whether only groups are eligible that this node has just heard.
  bool only_heard_groups = false;
  /// Whether another endpoint is being searched for during an attempt.
  bool searching = false;
  /// A retry reserved in the budget for this request.
  std::optional<retry_reservation> reserved;
  /// The next attempt, if its endpoint was chosen while the last one ran.
  std::shared_ptr<exchange> placed;
  /// The choice of its endpoint.
  endpoint_choice placed_choice;
  /// When the next search for the running attempt may begin.
  absl::Time next_search = absl::InfinitePast();
  /// Why the running attempt was last kept in spite of a doubt.
  const char* kept_reason = "";
  /// When the last attempt ended; only set after one.
  absl::Time attempt_ended_at = absl::InfinitePast();
  /// Why the last attempt failed.
  std::string last_error;
  /// Why the last attempt was not followed by another; empty if it was.
  const char* no_retry_reason = "";
  /// The body of the last response; nothing if there was none.
  std::optional<body_evidence> last_body;
  /// Node that the last attempt went through; empty if it was direct.
  std::string proxy;
  /// The last decision of admission; nothing if admission was not used.
  std::optional<admission_decision> last_decision;
  /// Inputs of the last endpoint choice.
  endpoint_choice chosen;
  /// Of a stream: id of the last event relayed, and whether its head was sent.
  int64_t last_event = -1;
  bool head_sent = false;
  /// Whether the caller supports chunked encoding.
  bool chunked = true;
  /// A stream's response head until it is sent.
  std::string stream_head;
  absl::Time first_event_at = absl::InfiniteFuture();
  absl::Time last_event_at = absl::InfiniteFuture();
  absl::Duration max_event_gap = absl::ZeroDuration();
  /// Time from arrival until an endpoint was chosen or the choice failed.
  absl::Duration queue_time = absl::ZeroDuration();
};

}  // namespace spokesail
