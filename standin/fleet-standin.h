// A small fleet on loopback: the platform's store, model engines that form
// groups, and a plain service, with the faults that tests bring about.
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

#include "fleet-emulator.h"

namespace spokesail::standin {

/// The rate limit that servers advertise in their answers.
struct limit_settings {
  /// Header value, in requests per second; no header is sent if empty.
  std::string per_s;
  /// The service whose servers advertise the limit; empty for all.
  std::string service;
  /// Fraction of these servers, selected by a hash of their ids.
  double share = 1;
  /// The limit is advertised from `from` up to, but not including, `until`.
  absl::Time from = absl::InfinitePast();
  absl::Time until = absl::InfiniteFuture();
  /// Whether servers reject requests above the limit.
  bool strict = false;
};

/// What the fleet does wrong, until it is changed.
struct fleet_faults {
  /// Callers of the store, by user agent, that get 503.
  std::set<std::string> refused_nodes;
  /// Kinds of objects of which the store tells a caller nothing, by its user
  /// agent.
  std::map<std::string, std::set<std::string>> refused_kinds;
  /// The store answers nobody.
  bool store_silent = false;
  /// Plain calls run, and their connection ends without an answer.
  bool lose_plain_answers = false;
  /// Bytes that are added to each plain answer.
  size_t plain_answer_bytes = 0;
  /// Plain servers turn calls away unrun.
  bool shed_plain = false;
  /// So many plain calls, from the next one on, run and fail.
  int fail_plain_calls = 0;
  /// Plain answers bear another request's id.
  bool cross_plain_answers = false;
  /// Streams are reset after this many events; 0 for none.
  int break_after_events = 0;
  /// What another writer leaves in place of servers' entries, by id.
  std::map<std::string, nlohmann::json> spoiled_entries;
  /// How much longer engines say that they are slow after their start, in ms.
  int cold_left_ms = 0;
  /// Streams of one head fall silent.
  std::string silent_head;
  /// A server that runs a request with this body crashes and is replaced after
  /// a while; none if empty.
  std::string crash_body;
  /// Engines end as a stream's request reaches them over a kept connection,
  /// before they run it, and are replaced after a while.
  bool end_on_kept = false;
  limit_settings limit;
};

/// A request that a server began to run.
struct server_run {
  std::string id;
  absl::Time at;
  std::string server;
  bool operator==(const server_run&) const = default;
};

/// What the servers saw.
struct fleet_record {
  /// All runs, in their order.
  std::vector<server_run> all_runs;
  /// Requests that reached their intended server, run or rejected, in order of
  /// arrival.
  std::vector<server_run> arrivals;
  /// Runs by request id.
  std::map<std::string, int> runs;
  /// Streams by the server that they were sent to.
  std::map<std::string, int> streams;
  /// Bodies of plain calls by request id.
  std::map<std::string, std::string> bodies;
  /// Workspace of each request, as the server was told.
  std::map<std::string, std::string> workspaces;
  /// Watches and lists that the store has answered.
  int store_reads = 0;
  /// Lists of the servers among them.
  int server_lists = 0;
  /// Objects written, by kind.
  std::map<std::string, int> writes;
  /// Times that a lease was written without a holder.
  int lease_given_up = 0;
  /// Requests that servers took, by data hall.
  std::map<std::string, int> taken_in;
  /// Runs of the body that crashes servers.
  int crashing_runs = 0;
  /// Servers that crashed under it, or ended on a kept connection.
  std::set<std::string> crashed;
};

/// The whole fleet, on one event loop.
class fleet_standin {
 public:
  using request = boost::beast::http::request<boost::beast::http::string_body>;
  using response =
      boost::beast::http::response<boost::beast::http::string_body>;

  /// Each domain is in a data hall of its own (see `hall_of`); the two plain
  /// servers are in the first and the last of them.
  fleet_standin(boost::asio::io_context& loop, int domains, int hosts);

  /// The data hall of a domain, by its number.
  static std::string hall_of(int domain);

  /// Starts to serve.
  void start();

  std::string store_address() const { return this->store_at; }

  /// Writes the configuration, as the operator does.
  void configure(const nlohmann::json& spec);
  /// Evacuates a data hall, as the operator does; the object holds `spec`.
  void evacuate(const std::string& hall, const nlohmann::json& spec) {
    this->put("evacuations", hall, spec);
  }
  /// Takes the evacuation back.
  void end_evacuation(const std::string& hall);
  /// Writes a node's entry, as an earlier start of it did.
  void enroll_node(const std::string& name, const nlohmann::json& spec) {
    this->put("entry-nodes", name, spec);
  }
  /// A configuration with a stream route, a repeatable and a plain one that
  /// may run once, for workspace `north` with the keys given.
  nlohmann::json sample_config(const std::vector<std::string>& keys) const;

  int serving(const std::string& model) const {
    return this->emulator.serving(model);
  }
  fleet_emulator& engines() { return this->emulator; }
  /// The head of a group that serves `model`; empty if there is none.
  std::string serving_head(const std::string& model) const;

  /// Kills a server: its connections are reset and its port is closed.
  void kill(const std::string& id);

  fleet_faults faults;
  fleet_record record;

 private:
  struct stored {
    nlohmann::json spec;
    int64_t revision = 0;
    bool gone = false;
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
  boost::asio::awaitable<response> store_answer(const request& in);
  boost::asio::awaitable<response> read_kind(const std::string& kind,
                                             const std::string& query);
  response write_object(const request& in, const std::string& kind,
                        const std::string& name);
  boost::asio::awaitable<void> accept_host(host& h);
  boost::asio::awaitable<void> serve_host(host& h, socket_ptr socket);
  boost::asio::awaitable<bool> serve_call(host& h, socket_ptr socket,
                                          const request& in);
  boost::asio::awaitable<bool> serve_stream(host& h, socket_ptr socket,
                                            const request& in);
  /// Takes note that a server begins to run a request.
  void note_run(const host& h, const std::string& id);
  /// The limit that a host currently advertises; empty if none.
  std::string limit_of(const host& h) const;
  /// Whether a host enforces its limit and has reached it in the last second.
  /// Limits below one request per second are enforced as one.
  bool over_limit(const host& h) const;
  /// Ends a host after a moment and replaces it later.
  boost::asio::awaitable<void> crash(host& h, absl::Duration after);
  /// Opens a host's port and joins it to the fleet under a new id.
  void open_host(host& h);
  response order_answer(host& h, const request& in);
  response report_answer(host& h);
  boost::asio::awaitable<void> tick();
  void publish_servers();
  void put(const std::string& kind, const std::string& name,
           const nlohmann::json& spec);
  nlohmann::json object_json(const std::string& name, const stored& o) const;
  std::string add_host(bool plain);

  boost::asio::io_context& loop;
  fleet_emulator emulator;
  boost::asio::ip::tcp::acceptor store;
  std::string store_at;
  std::map<std::string, std::map<std::string, stored>> kinds;
  int64_t revision = 0;
  std::vector<std::unique_ptr<host>> hosts;
};

}  // namespace spokesail::standin
