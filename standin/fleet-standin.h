// A small fleet on loopback for tests: the platform's store, model engines that
// form groups, and a plain service, with injected faults.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "answer-writer.h"
#include "fleet-emulator.h"
#include "server-links.h"
#include "spokesail/hash.h"

namespace spokesail::standin {

/// Selects servers and a period of time.
struct server_selection {
  /// Ids of the servers; empty to select by `service` and `share`.
  std::set<std::string> servers;
  /// The service of the servers; empty for all.
  std::string service;
  /// Fraction of the servers, selected by a hash of their ids.
  double share = 1;
  /// From `from` up to, but not including, `until`.
  absl::Time from = absl::InfinitePast();
  absl::Time until = absl::InfiniteFuture();
};

/// The rate limit that servers advertise in their answers.
struct limit_settings : server_selection {
  /// Header value, in requests per second; no header is sent if empty.
  std::string per_s;
  /// Whether servers reject requests above the limit.
  bool strict = false;
};

/// Servers that turn all requests away with 503.
struct rejection_settings : server_selection {
  bool active = false;
  /// Values of the Retry-After headers; none are sent if empty.
  std::vector<std::string> retry_after;
  /// Whether the answers state that the request has not run.
  bool marked = true;
  /// Id or address of the server that the answers name as the cause; none if
  /// empty.
  std::string faulty_server;
};

/// Servers that announce in all answers that they are leaving. Their entries do
/// not change, as if the store could not be reached.
struct departure_settings : server_selection {
  bool active = false;
};

/// Servers that neither read nor write, and then go on as if nothing had
/// happened.
struct silence_settings : server_selection {
  bool active = false;
  /// Delay from the silence of one selected server to that of the next; zero if
  /// all are silent at once.
  absl::Duration gap;
};

/// Servers that are late with each answer, reports included, and with each
/// event of a stream, as on a busy machine.
struct slowness_settings : server_selection {
  bool active = false;
  /// Upper bound of the delays, which are random.
  absl::Duration max_delay;
};

/// How servers frame and break off the answers to requests that they run.
struct shape_settings : server_selection {
  bool active = false;
  answer_shape shape;
  /// Number of answers that are still to be broken off; the later ones are
  /// whole. Negative: all are broken off.
  int breaks = -1;
  /// Whether streams end their lines with CR LF.
  bool crlf = false;
  /// Bytes sent after the last event of a stream.
  std::string stream_tail;
  /// Paths of other calls, such as reports, whose answers have the shape too.
  std::set<std::string> calls;
};

/// Engines that crash when they begin to answer a stream request whose prompt
/// has one of some parts, wherever it stands, and are replaced a second later.
struct crash_part_settings : server_selection {
  /// Ids of the parts.
  std::set<std::string> parts;
  /// Time from the arrival of such a request until its answer begins. A request
  /// whose connection is closed meanwhile is dropped.
  absl::Duration prefill = absl::Milliseconds(100);
};

/// Faults of the fleet. `fail_plain_calls`, `break_after_events` and the breaks
/// of `shape` end by themselves; the others stay in effect until they are
/// changed.
struct fleet_faults {
  /// User agents whose calls of the store get 503.
  std::set<std::string> refused_nodes;
  /// By user agent: kinds of objects for which the store answers 503.
  std::map<std::string, std::set<std::string>> refused_kinds;
  /// The store does not answer any call.
  bool store_silent = false;
  /// Plain calls run, but their connection is closed without an answer.
  bool lose_plain_answers = false;
  /// Number of bytes added to each plain answer.
  size_t plain_answer_bytes = 0;
  /// Plain servers reject calls without running them.
  bool shed_plain = false;
  /// Number of plain calls, from the next one on, that run and fail with 500.
  int fail_plain_calls = 0;
  /// Plain answers carry another request's id.
  bool cross_plain_answers = false;
  /// The first stream that has sent this many events is cut off; 0 for none.
  int break_after_events = 0;
  /// Replacements for servers' entries, by id, as left by a writer that does
  /// not know the format.
  std::map<std::string, nlohmann::json> corrupt_entries;
  /// Remaining time, in ms, for which engines report to be slow after a start.
  int cold_left_ms = 0;
  /// Ids of servers that close connections on which a report is requested, like
  /// servers that have too many connections.
  std::set<std::string> closing_at_reports;
  /// Id of a head whose streams stall; none if empty.
  std::string stalled_head;
  /// A server that runs a stream request with this body crashes and is replaced
  /// a second later; none if empty.
  std::string crash_body;
  /// Engines crash when a stream request arrives on a reused connection, before
  /// they run it, and are replaced a second later.
  bool end_on_reused_connection = false;
  limit_settings limit;
  rejection_settings rejection;
  departure_settings departure;
  silence_settings silence;
  slowness_settings slowness;
  shape_settings shape;
  crash_part_settings crash_part;
  /// Time between two events of a stream.
  absl::Duration event_interval = absl::Milliseconds(15);
};

/// A request that a server has started to run, or that has arrived there.
struct server_run {
  std::string id;
  absl::Time at;
  std::string server;
  bool operator==(const server_run&) const = default;
};

/// What the servers and the store have received.
struct fleet_record {
  /// All runs, in the order of their start.
  std::vector<server_run> all_runs;
  /// Requests that reached their intended server, whether run or rejected, in
  /// order of arrival.
  std::vector<server_run> arrivals;
  /// Ids of the requests that have reached a server, even if it is silent.
  std::set<std::string> received;
  /// Those among them whose connection was closed while the server was silent;
  /// they count as not run, but a real server could not know that they ended.
  std::set<std::string> abandoned;
  /// Requests that a server turned away because of `rejection`, in order.
  std::vector<server_run> rejections;
  /// Number of runs by request id.
  std::map<std::string, int> runs;
  /// Number of streams by server.
  std::map<std::string, int> streams;
  /// Bodies of plain calls by request id.
  std::map<std::string, std::string> bodies;
  /// Workspace of each request, as sent to the server.
  std::map<std::string, std::string> workspaces;
  /// Number of reads, lists and watches that the store has accepted.
  int store_reads = 0;
  /// Number of lists of the servers among them.
  int server_lists = 0;
  /// Number of writes by kind, conflicts included.
  std::map<std::string, int> writes;
  /// Number of times that the lease was written without a holder.
  int lease_releases = 0;
  /// Number of runs by data hall.
  std::map<std::string, int> requests_by_hall;
  /// Bytes of the longest answer without end that was sent, and the number of
  /// those that callers have ended.
  size_t endless_bytes = 0;
  int endless_ended = 0;
  /// Number of runs of requests with `crash_body`.
  int crashing_runs = 0;
  /// Requests with a part of `crash_part` that engines have received, in order
  /// of arrival.
  std::vector<server_run> crash_part_runs;
  /// Servers that crashed because of `crash_body`, `crash_part` or
  /// `end_on_reused_connection`.
  std::set<std::string> crashed;
};

/// The whole fleet, on one event loop.
class fleet_standin {
 public:
  using request = boost::beast::http::request<boost::beast::http::string_body>;
  using response =
      boost::beast::http::response<boost::beast::http::string_body>;

  /// Each domain has `hosts` engine hosts and is in a data hall of its own (see
  /// `hall_of`). The two plain servers are in the first and the last data hall.
  fleet_standin(boost::asio::io_context& loop, int domains, int hosts);

  /// The name of the data hall of a domain, given by its index.
  static std::string hall_of(int domain);

  /// Starts serving.
  void start();

  std::string store_address() const { return this->store_endpoint; }

  /// Writes the configuration as an operator does.
  void configure(const nlohmann::json& spec);
  /// Evacuates a data hall as an operator does; `spec` is the object's spec.
  void evacuate(const std::string& hall, const nlohmann::json& spec) {
    this->put("evacuations", hall, spec);
  }
  /// Ends the evacuation of a data hall.
  void end_evacuation(const std::string& hall);
  /// Writes a node's entry as an earlier process of the node has left it.
  void enroll_node(const std::string& name, const nlohmann::json& spec) {
    this->put("entry-nodes", name, spec);
  }
  /// A configuration for workspace `north` with the given API keys. It has a
  /// streaming route, a repeatable one and one whose requests run at most once.
  nlohmann::json sample_config(const std::vector<std::string>& keys) const;

  int serving(const std::string& model) const {
    return this->emulator.serving(model);
  }
  fleet_emulator& engines() { return this->emulator; }
  /// Id of the head of a group that serves `model`; empty if there is none.
  std::string serving_head(const std::string& model) const;

  /// Kills a server: resets its connections and closes its port.
  void kill(const std::string& id);

  /// Changes the state of a node's links to all servers.
  void set_links(const std::string& node, link_state state);

  fleet_faults faults;
  fleet_record record;
  server_links links;

 private:
  struct stored_object {
    nlohmann::json spec;
    int64_t revision = 0;
    bool deleted = false;
  };
  struct host {
    std::string id;
    bool plain = false;
    std::string domain;
    std::string hall;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
    std::set<std::shared_ptr<boost::asio::ip::tcp::socket>> connections;
  };
  using socket_ptr = std::shared_ptr<boost::asio::ip::tcp::socket>;

  boost::asio::awaitable<void> accept_store();
  boost::asio::awaitable<void> serve_store(socket_ptr socket);
  boost::asio::awaitable<response> handle_store_request(const request& in);
  boost::asio::awaitable<response> list_or_watch(const std::string& kind,
                                                 const std::string& query);
  response write_object(const request& in, const std::string& kind,
                        const std::string& name);
  boost::asio::awaitable<void> accept_host(host& h);
  boost::asio::awaitable<void> serve_host(host& h, socket_ptr socket);
  boost::asio::awaitable<bool> serve_call(host& h, socket_ptr socket,
                                          const request& in);
  boost::asio::awaitable<bool> serve_stream(host& h, socket_ptr socket,
                                            const request& in);
  /// Records that a server starts to run a request.
  void record_run(const host& h, const std::string& id);
  /// Whether a selection contains a host, at any time.
  static bool contains(const server_selection& selection, const host& h);
  /// Whether a host is selected at the current time.
  static bool is_selected(const host& h, const server_selection& selection);
  /// Adds the headers by which a host reports its own state.
  void add_state_headers(const host& h, response& out) const;
  /// The limit that a host currently advertises; empty if none.
  std::string advertised_limit(const host& h) const;
  /// Whether a host announces that it is leaving.
  bool is_leaving(const host& h) const;
  /// The shape of the next answer of a host to a request that it runs.
  answer_shape next_shape(const host& h);
  /// Writes a plain answer in the shape that is set.
  boost::asio::awaitable<bool> write_shaped(const host& h, socket_ptr socket,
                                            const response& out, bool no_body);
  /// Waits while a host or the link of a connection is silent. Returns false if
  /// the other end has closed the connection meanwhile.
  boost::asio::awaitable<bool> wait_for_link(const host& h, socket_ptr socket);
  /// Records an answer without end.
  void record_endless(const answer_writer& writer);
  /// Whether a host neither reads nor writes.
  bool is_silent(const host& h) const;
  /// How late a host is with its next answer or event.
  absl::Duration draw_delay(const host& h);
  /// Whether a host turns all requests away.
  bool rejects(const host& h) const;
  /// Records that a host turns a request away, and returns its answer.
  response make_rejection(const host& h, const std::string& id);
  /// Whether a host enforces its limit and has reached it in the last second.
  /// Limits below one request per second are enforced as one.
  bool over_limit(const host& h) const;
  /// Whether a host crashes when it begins to answer a request.
  bool crashes_on(const host& h, const request& in) const;
  /// Receives such a request, begins to answer it unless its caller closes the
  /// connection, and crashes.
  boost::asio::awaitable<void> crash_on_answer(host& h, socket_ptr socket,
                                               const request& in);
  /// Kills a host after the given delay and restarts it a second later under a
  /// new id.
  boost::asio::awaitable<void> crash(host& h, absl::Duration after);
  /// Opens a host's port and adds the host to the fleet under a new id.
  void open_host(host& h);
  response handle_order(host& h, const request& in);
  response handle_report(host& h);
  boost::asio::awaitable<void> run_emulator();
  void publish_servers();
  void put(const std::string& kind, const std::string& name,
           const nlohmann::json& spec);
  nlohmann::json object_json(const std::string& name,
                             const stored_object& o) const;
  std::string add_host(bool plain);

  boost::asio::io_context& loop;
  fleet_emulator emulator;
  boost::asio::ip::tcp::acceptor store;
  std::string store_endpoint;
  std::map<std::string, std::map<std::string, stored_object>> objects_by_kind;
  int64_t revision = 0;
  std::vector<std::unique_ptr<host>> hosts;
  random_stream random{std::mt19937_64(1)};
};

}  // namespace spokesail::standin
