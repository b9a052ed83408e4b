#include "fleet-standin.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace spokesail::standin {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using net::ip::tcp;
using json = nlohmann::json;
constexpr auto use_tuple = net::as_tuple(net::use_awaitable);

constexpr char engine_service_name[] = "lm";
constexpr char plain_service_name[] = "status";
constexpr absl::Duration tick_time = absl::Milliseconds(5);
constexpr absl::Duration event_time = absl::Milliseconds(15);
constexpr int events_per_stream = 12;

/// Figures of a small engine that loads within a test's time.
backend_service small_service() {
  engine_profile engine;
  engine.slots = 8;
  engine.stride = 5;
  engine.step_ms = 3;
  engine.read_tokens_per_ms = 46;
  engine.read_chunk = 2048;
  engine.loads_per_s = 4;
  engine.loads_at_once = 6;
  engine.open_time = absl::Milliseconds(30);
  engine.models = {
      {"large", 2, 1.0, 1, absl::Milliseconds(120), absl::Milliseconds(60)}};
  return {engine_service_name, 100, engine};
}

json engine_json() {
  return {{"slots", 8},
          {"kv_capacity", 100000},
          {"stride", 5},
          {"step_ms", 3.0},
          {"per_seq_ms", 0.2},
          {"context_per_k", 0.0},
          {"read_per_s", 46000.0},
          {"chunk", 2048},
          {"report_lag_ms", 50.0},
          {"loads_per_s", 4.0},
          {"loads_at_once", 6},
          {"keeps", 1},
          {"form_ms", 30.0},
          {"usual", {{"prompt", 100}, {"answer", 60}}},
          {"models", json::array({{{"name", "large"},
                                   {"size", 2},
                                   {"share", 1.0},
                                   {"pace", 1.0},
                                   {"load_s", 0.12},
                                   {"warm_s", 0.06}}})}};
}

const char* phase_word(member_phase phase) { return phase_name(phase); }

json entry_json(const server_entry& e) {
  json out = {
      {"service", e.service}, {"addr", e.address},
      {"zone", e.hall},       {"version", "v1"},
      {"slots", 8},           {"state", e.draining ? "draining" : "ready"},
      {"cold_left_ms", 0},    {"seq", 1}};
  if (e.domain.empty()) return out;
  out["domain"] = e.domain;
  out["staged"] = e.staged;
  out["models"] = json::array();
  if (e.membership.phase != member_phase::none) {
    out["group"] = {{"name", e.membership.group},
                    {"epoch", e.membership.epoch},
                    {"rank", e.membership.rank},
                    {"state", phase_word(e.membership.phase)}};
  }
  return out;
}

std::string text_of(const fleet_standin::request& in, const char* name) {
  const auto found = in.find(name);
  return found == in.end() ? "" : std::string(found->value());
}

fleet_standin::response answer_of(unsigned status, const std::string& body) {
  fleet_standin::response out(static_cast<http::status>(status), 11);
  out.body() = body;
  return out;
}

int64_t number_in(const std::string& query, const std::string& name) {
  for (absl::string_view part : absl::StrSplit(query, '&')) {
    int64_t value = -1;
    if (absl::ConsumePrefix(&part, name + "=") &&
        absl::SimpleAtoi(part, &value)) {
      return value;
    }
  }
  return -1;
}

net::awaitable<void> sleep_for(absl::Duration time) {
  net::steady_timer timer(co_await net::this_coro::executor);
  timer.expires_after(absl::ToChronoNanoseconds(time));
  co_await timer.async_wait(use_tuple);
}

std::string address_of(const tcp::acceptor& acceptor) {
  return absl::StrCat("127.0.0.1:", acceptor.local_endpoint().port());
}

}  // namespace

fleet_standin::fleet_standin(net::io_context& io, int domains, int count)
    : loop(io),
      emulator(small_service(), {}, 1),
      store(io, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0)),
      store_at(address_of(store)) {
  for (int i = 0; i < domains * count; ++i) {
    auto h = std::make_unique<host>();
    h->acceptor = std::make_unique<tcp::acceptor>(
        io, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0));
    h->id = this->emulator.add(absl::StrCat("d", i % domains), absl::Now(),
                               address_of(*h->acceptor));
    this->hosts.push_back(std::move(h));
  }
  for (int i = 0; i < 2; ++i) {
    auto h = std::make_unique<host>();
    h->plain = true;
    h->id = absl::StrCat("p", i);
    h->acceptor = std::make_unique<tcp::acceptor>(
        io, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0));
    server_entry entry;
    entry.service = plain_service_name;
    entry.address = address_of(*h->acceptor);
    entry.hall = "hall";
    this->put("servers", h->id, entry_json(entry));
    this->hosts.push_back(std::move(h));
  }
}

void fleet_standin::start() {
  net::co_spawn(this->loop, this->accept_store(), net::detached);
  net::co_spawn(this->loop, this->tick(), net::detached);
  for (auto& h : this->hosts) {
    net::co_spawn(this->loop, this->accept_host(*h), net::detached);
  }
}

json fleet_standin::sample_config(const std::vector<std::string>& keys) const {
  static int64_t version = 0;
  json route = {{"host", "callers.example"},
                {"timeout_ms", 4000},
                {"goal_ms", 500},
                {"priority", 1},
                {"attempts", 2},
                {"public", false}};
  json stream = route;
  stream.update({{"name", "draft"},
                 {"prefix", "/draft/"},
                 {"kind", "streaming"},
                 {"service", engine_service_name},
                 {"resumable", true},
                 {"gap_aim_ms", 300},
                 {"sticky", true}});
  json once = route;
  once.update({{"name", "file"},
               {"prefix", "/file/"},
               {"kind", "unsafe"},
               {"service", plain_service_name},
               {"attempts", 1}});
  json safe = route;
  safe.update({{"name", "look"},
               {"prefix", "/look/"},
               {"kind", "safe"},
               {"service", plain_service_name}});
  return {{"version", ++version},
          {"routes", json::array({stream, once, safe})},
          {"services", json::array({{{"name", engine_service_name},
                                     {"health_path", "/health"},
                                     {"max_conns", 100},
                                     {"engine", engine_json()}},
                                    {{"name", plain_service_name},
                                     {"health_path", "/health"},
                                     {"max_conns", 100}}})},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 65536},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants",
           json::array(
               {{{"name", "north"}, {"api_keys", keys}, {"priority", 1}}})}};
}

void fleet_standin::configure(const json& spec) {
  this->put("config", "main", spec);
}

void fleet_standin::put(const std::string& kind, const std::string& name,
                        const json& spec) {
  this->kinds[kind][name] = {spec, ++this->revision, false};
}

std::string fleet_standin::serving_head(const std::string& model) const {
  for (const auto& h : this->hosts) {
    if (h->plain || !this->emulator.open_head(h->id)) continue;
    const server_entry* entry = this->emulator.directory().find(h->id);
    if (entry == nullptr) continue;
    if (group_model(entry->membership.group) != model) continue;
    if (this->emulator.group_in_place(h->id)) return h->id;
  }
  return "";
}

void fleet_standin::kill(const std::string& id) {
  for (auto& h : this->hosts) {
    if (h->id != id) continue;
    boost::system::error_code ignored;
    h->acceptor->close(ignored);
    for (const auto& socket : h->connections) {
      socket->set_option(net::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
    if (h->plain) {
      this->kinds["servers"][id] = {{}, ++this->revision, true};
    } else {
      this->emulator.kill(id, absl::Now());
    }
  }
}

net::awaitable<void> fleet_standin::tick() {
  for (;;) {
    this->emulator.advance(absl::Now());
    this->publish_servers();
    co_await sleep_for(tick_time);
  }
}

void fleet_standin::publish_servers() {
  auto& known = this->kinds["servers"];
  const auto& servers = this->emulator.directory().servers();
  for (const auto& [id, server] : servers) {
    const json spec = entry_json(server.entry);
    const auto found = known.find(id);
    if (found != known.end() && found->second.spec == spec) continue;
    this->put("servers", id, spec);
  }
  for (auto& [id, o] : known) {
    const bool engine = o.spec.contains("domain");
    if (!engine || o.gone || servers.count(id) != 0) continue;
    o.gone = true;
    o.revision = ++this->revision;
  }
}

json fleet_standin::object_json(const std::string& name,
                                const stored& o) const {
  return {{"meta", {{"name", name}, {"rev", o.revision}}},
          {"spec", o.spec},
          {"status", nullptr}};
}

net::awaitable<void> fleet_standin::accept_store() {
  for (;;) {
    auto [error, socket] = co_await this->store.async_accept(use_tuple);
    if (error) co_return;
    auto shared = std::make_shared<tcp::socket>(std::move(socket));
    net::co_spawn(this->loop, this->serve_store(shared), net::detached);
  }
}

net::awaitable<void> fleet_standin::serve_store(socket_ptr socket) {
  boost::beast::flat_buffer buffer;
  for (;;) {
    request in;
    auto [error, size] =
        co_await http::async_read(*socket, buffer, in, use_tuple);
    if (error) co_return;
    while (this->faults.store_silent) co_await sleep_for(tick_time);
    response out = co_await this->store_answer(in);
    out.prepare_payload();
    auto [failed, sent] = co_await http::async_write(*socket, out, use_tuple);
    if (failed) co_return;
  }
}

net::awaitable<fleet_standin::response> fleet_standin::store_answer(
    const request& in) {
  const std::string agent(in[http::field::user_agent]);
  if (this->faults.refused_nodes.count(agent) != 0) {
    co_return answer_of(503, "");
  }
  const std::vector<std::string> halves =
      absl::StrSplit(std::string(in.target()), absl::MaxSplits('?', 1));
  const std::vector<std::string> parts = absl::StrSplit(halves[0], '/');
  if (parts.size() < 4) co_return answer_of(404, "");
  const std::string& kind = parts[3];
  const std::string name = parts.size() > 4 ? parts[4] : "";
  if (in.method() != http::verb::get) {
    co_return this->write_object(in, kind, name);
  }
  this->record.store_reads++;
  if (!name.empty()) {
    const auto found = this->kinds[kind].find(name);
    if (found == this->kinds[kind].end()) co_return answer_of(404, "");
    co_return answer_of(200, this->object_json(name, found->second).dump());
  }
  const std::string query = halves.size() > 1 ? halves[1] : "";
  co_return co_await this->read_kind(kind, query);
}

net::awaitable<fleet_standin::response> fleet_standin::read_kind(
    const std::string& kind, const std::string& query) {
  const int64_t since = number_in(query, "watch");
  if (since < 0) {
    json items = json::array();
    for (const auto& [name, o] : this->kinds[kind]) {
      if (!o.gone) items.push_back(this->object_json(name, o));
    }
    co_return answer_of(
        200, json({{"items", items}, {"more", false}, {"at", this->revision}})
                 .dump());
  }
  const absl::Time until =
      absl::Now() + absl::Milliseconds(number_in(query, "wait_ms"));
  json events = json::array();
  while (events.empty() && absl::Now() < until) {
    for (const auto& [name, o] : this->kinds[kind]) {
      if (o.revision <= since) continue;
      events.push_back(
          {{"object", this->object_json(name, o)}, {"gone", o.gone}});
    }
    if (events.empty()) co_await sleep_for(tick_time);
  }
  co_return answer_of(
      200, json({{"events", events}, {"at", this->revision}}).dump());
}

fleet_standin::response fleet_standin::write_object(const request& in,
                                                    const std::string& kind,
                                                    const std::string& name) {
  const json body = json::parse(in.body(), nullptr, false);
  const json meta = body.value("meta", json::object());
  const std::string target = name.empty() ? meta.value("name", "") : name;
  auto& objects = this->kinds[kind];
  const auto found = objects.find(target);
  const bool create = in.method() == http::verb::post;
  if (!create && found == objects.end()) return answer_of(404, "");
  const bool stale =
      found != objects.end() &&
      (create || meta.value("rev", int64_t{0}) != found->second.revision);
  const json spec = body.value("spec", json());
  if (!stale) this->put(kind, target, spec);
  const bool given_up = kind == "lease" && spec.value("holder", "x").empty();
  if (!stale && given_up) this->record.lease_given_up++;
  return answer_of(stale ? 409 : 200,
                   this->object_json(target, objects[target]).dump());
}

net::awaitable<void> fleet_standin::accept_host(host& h) {
  for (;;) {
    auto [error, socket] = co_await h.acceptor->async_accept(use_tuple);
    if (error) co_return;
    auto shared = std::make_shared<tcp::socket>(std::move(socket));
    h.connections.insert(shared);
    net::co_spawn(this->loop, this->serve_host(h, shared), net::detached);
  }
}

net::awaitable<void> fleet_standin::serve_host(host& h, socket_ptr socket) {
  boost::beast::flat_buffer buffer;
  for (;;) {
    request in;
    auto [error, size] =
        co_await http::async_read(*socket, buffer, in, use_tuple);
    if (error) break;
    if (!co_await this->serve_call(h, socket, in)) break;
  }
  boost::system::error_code ignored;
  socket->close(ignored);
  h.connections.erase(socket);
}

fleet_standin::response fleet_standin::order_answer(host& h,
                                                    const request& in) {
  const json body = json::parse(in.body(), nullptr, false);
  const std::map<std::string, group_order_kind> kinds_by_name = {
      {"join", group_order_kind::join},
      {"open", group_order_kind::open},
      {"close", group_order_kind::close},
      {"leave", group_order_kind::leave},
      {"stage", group_order_kind::stage}};
  const auto kind = kinds_by_name.find(body.value("op", ""));
  if (kind == kinds_by_name.end()) return answer_of(400, "");
  group_order order;
  order.kind = kind->second;
  order.server = h.id;
  order.group = body.value("group", "");
  order.epoch = body.value("epoch", int64_t{0});
  order.model = body.value("model", "");
  order.members = body.value("members", std::vector<std::string>{});
  order.expected_orders = body.value("expect_rev", int64_t{0});
  switch (this->emulator.give(order, absl::Now())) {
    case order_result::begun:
      return answer_of(202, "");
    case order_result::already_done:
      return answer_of(200, "");
    case order_result::outdated_epoch:
      return answer_of(412, "");
    default:
      return answer_of(409, "");
  }
}

fleet_standin::response fleet_standin::report_answer(host& h) {
  const auto report = this->emulator.report(h.id);
  if (!report) return answer_of(503, "");
  return answer_of(200, json({{"stage", "hybrid"},
                              {"models", json::array()},
                              {"busy", false},
                              {"seq", report->orders_taken},
                              {"waiting", 0},
                              {"running", 0}})
                            .dump());
}

net::awaitable<bool> fleet_standin::serve_call(host& h, socket_ptr socket,
                                               const request& in) {
  const std::string id = text_of(in, "X-Request-Id");
  const std::string expected = text_of(in, "X-Expect-Instance");
  response out;
  if (!expected.empty() && expected != h.id) {
    out = answer_of(421, "");
  } else if (in.target() == "/spokesail/report") {
    out = this->report_answer(h);
  } else if (in.target() == "/spokesail/order") {
    out = this->order_answer(h, in);
  } else if (!h.plain && this->emulator.open_head(h.id)) {
    co_return co_await this->serve_stream(h, socket, in);
  } else if (!h.plain) {
    out = answer_of(421, "");
  } else if (this->faults.shed_plain) {
    out = answer_of(503, "");
    out.set("X-Not-Executed", "1");
  } else {
    this->record.runs[id]++;
    this->record.bodies[id] = in.body();
    this->record.workspaces[id] = text_of(in, "X-Tenant");
    if (this->faults.lose_plain_answers) co_return false;
    out = answer_of(200, absl::StrCat("path ", std::string(in.target())));
    out.set("X-Response-Stamp", "stamp-" + h.id);
  }
  const bool crossed = this->faults.cross_plain_answers && h.plain;
  if (!id.empty()) out.set("X-Request-Id", crossed ? "another" : id);
  out.prepare_payload();
  auto [error, size] = co_await http::async_write(*socket, out, use_tuple);
  co_return !error;
}

net::awaitable<bool> fleet_standin::serve_stream(host& h, socket_ptr socket,
                                                 const request& in) {
  const std::string id = text_of(in, "X-Request-Id");
  this->record.runs[id]++;
  this->record.workspaces[id] = text_of(in, "X-Tenant");
  int64_t after = -1;
  if (!absl::SimpleAtoi(text_of(in, "Last-Event-Id"), &after)) after = -1;
  std::string head = absl::StrCat(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "X-Response-Stamp: stamp-",
      h.id, "\r\nX-Request-Id: ", id, "\r\nTransfer-Encoding: chunked\r\n\r\n");
  auto [error, size] =
      co_await net::async_write(*socket, net::buffer(head), use_tuple);
  if (error) co_return false;
  int sent = 0;
  for (int64_t k = after + 1; k < events_per_stream; ++k) {
    co_await sleep_for(event_time);
    while (!this->emulator.group_in_place(h.id) ||
           this->faults.silent_head == h.id) {
      if (!socket->is_open()) co_return false;
      co_await sleep_for(tick_time);
    }
    const std::string event =
        absl::StrCat("id: ", k, "\ndata: word", k, "\n\n");
    const std::string chunk =
        absl::StrCat(absl::Hex(event.size()), "\r\n", event, "\r\n");
    auto [failed, bytes] =
        co_await net::async_write(*socket, net::buffer(chunk), use_tuple);
    if (failed) co_return false;
    if (++sent == this->faults.break_after_events) {
      this->faults.break_after_events = 0;
      co_return false;
    }
  }
  const std::string last = "0\r\n\r\n";
  auto [failed, bytes] =
      co_await net::async_write(*socket, net::buffer(last), use_tuple);
  co_return !failed;
}

}  // namespace spokesail::standin
