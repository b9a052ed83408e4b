// Serves one request: choice of place, attempts, answer.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "event-splitter.h"
#include "exchange.h"
#include "node-context.h"

namespace spokesail {

class caller_session;

/// How an attempt ended.
enum class run_end {
  /// The answer was passed on, or there is nobody to pass it to.
  done,
  /// The server has not run the request, and never will.
  not_run,
  /// The server may have run it, or part of it.
  broken
};

/// One request from its head to the end of its answer.
class request_run {
 public:
  request_run(node_context& node, caller_session& session, http_request request,
              absl::Time arrived, bool keep_alive);

  /// Serves the request. Returns whether the connection may be used on.
  boost::asio::awaitable<bool> run();

 private:
  /// Why and how a request is answered without a server's answer.
  struct refusal {
    unsigned status = 503;
    const char* reason = "";
    absl::Duration retry_after = absl::ZeroDuration();
  };

  std::optional<refusal> reason_to_refuse();
  void choose_service();
  boost::asio::awaitable<bool> answer(refusal r);
  /// Until when it waits for a place.
  absl::Time wait_until() const;
  boost::asio::awaitable<std::optional<request_place>> find_place();
  std::optional<request_place> pick();
  std::optional<request_place> pick_group();
  double far_cost_ms() const;
  std::optional<request_place> pick_server();
  boost::asio::awaitable<run_end> attempt(request_place place);
  boost::asio::awaitable<run_end> pass_answer(exchange& ex,
                                              const answer_head& head);
  boost::asio::awaitable<run_end> pass_stream(exchange& ex,
                                              const answer_head& head);
  boost::asio::awaitable<run_end> pass_whole(exchange& ex,
                                             const answer_head& head);
  boost::asio::awaitable<bool> pass_events(exchange& ex,
                                           const event_run& events);
  boost::asio::awaitable<bool> write_stream(const std::string& bytes,
                                            bool last);
  http_request attempt_request(const request_place& place) const;
  void prepare_exchange(exchange& ex, const request_place& place) const;
  bool may_repeat(run_end end);
  refusal final_refusal(run_end end) const;
  void log_end(const char* outcome, const std::string& reason, unsigned status);
  void log_attempt(const exchange& ex, const char* end,
                   const std::string& error);
  absl::Duration time_left() const;

  node_context& node;
  caller_session& session;
  http_request request;
  absl::Time arrived;
  bool keep_alive;

  std::shared_ptr<const routing_table> table;
  const route_rule* route = nullptr;
  const api_workspace* workspace = nullptr;
  const backend_service* service = nullptr;
  const model_profile* model = nullptr;
  caller_request info;
  absl::Time deadline = absl::InfiniteFuture();

  std::set<std::string> tried;
  int runs = 0;
  int sends = 0;
  std::string last_error;
  /// Of a stream: the last event passed on, and whether its head is out.
  int64_t last_event = -1;
  bool head_out = false;
  bool chunked = true;
  std::string stream_head;
  absl::Time first_event_at = absl::InfiniteFuture();
  absl::Time last_event_at = absl::InfiniteFuture();
  absl::Duration longest_pause = absl::ZeroDuration();
};

}  // namespace spokesail
