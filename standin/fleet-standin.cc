// The servers of the small fleet.
#include "fleet-standin.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "fleet-loop.h"
#include "fleet-sample.h"

namespace spokesail::standin {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using net::ip::tcp;
using json = nlohmann::json;

constexpr int events_per_stream = 12;

/// Time from the start of a run that crashes its server to the crash, and from
/// the crash to the server's replacement.
constexpr absl::Duration crash_delay = absl::Milliseconds(50);
constexpr absl::Duration crash_outage = absl::Seconds(1);

/// Parses the body of an order to `server`. Returns nullopt if the kind of the
/// order is unknown.
std::optional<group_order> read_order(const std::string& server,
                                      const std::string& text) {
  static const std::map<std::string, group_order_kind> kinds_by_name = {
      {"join", group_order_kind::join},
      {"open", group_order_kind::open},
      {"close", group_order_kind::close},
      {"leave", group_order_kind::leave},
      {"stage", group_order_kind::stage}};
  const json body = json::parse(text, nullptr, false);
  const auto kind = kinds_by_name.find(body.value("op", ""));
  if (kind == kinds_by_name.end()) return std::nullopt;
  group_order order;
  order.kind = kind->second;
  order.server = server;
  order.group = body.value("group", "");
  order.epoch = body.value("epoch", int64_t{0});
  order.model = body.value("model", "");
  order.members = body.value("members", std::vector<std::string>{});
  order.expected_orders = body.value("expect_rev", int64_t{0});
  return order;
}

/// An event of a stream.
std::string event_text(int64_t index, bool crlf) {
  const char* line_end = crlf ? "\r\n" : "\n";
  return absl::StrCat("id: ", index, line_end, "data: word", index, line_end,
                      line_end);
}

/// Whether a connection was closed by its other end, or by this one.
bool is_closed_by_peer(tcp::socket& socket) {
  if (!socket.is_open()) return true;
  boost::system::error_code error;
  char byte = 0;
  socket.non_blocking(true, error);
  const size_t size =
      socket.receive(net::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error != net::error::would_block && size == 0;
}

std::string address_of(const tcp::acceptor& acceptor) {
  return absl::StrCat("127.0.0.1:", acceptor.local_endpoint().port());
}

}  // namespace

fleet_standin::fleet_standin(net::io_context& io, int domains, int count)
    : loop(io),
      emulator(small_service(), {}, 1),
      store(io, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0)),
      store_endpoint(address_of(store)) {
  for (int i = 0; i < domains * count; ++i) {
    auto h = std::make_unique<host>();
    h->domain = absl::StrCat("d", i % domains);
    h->hall = hall_of(i % domains);
    this->open_host(*h);
    this->hosts.push_back(std::move(h));
  }
  for (int i = 0; i < 2; ++i) {
    auto h = std::make_unique<host>();
    h->plain = true;
    h->id = absl::StrCat("p", i);
    h->hall = hall_of(i * (domains - 1));
    h->acceptor = std::make_unique<tcp::acceptor>(
        io, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0));
    server_entry entry;
    entry.service = plain_service_name;
    entry.address = address_of(*h->acceptor);
    entry.hall = h->hall;
    this->put("servers", h->id, entry_json(entry));
    this->hosts.push_back(std::move(h));
  }
}

std::string fleet_standin::hall_of(int domain) {
  return domain == 0 ? "hall" : absl::StrCat("hall-", domain);
}

void fleet_standin::end_evacuation(const std::string& hall) {
  this->objects_by_kind["evacuations"][hall] = {json(), ++this->revision, true};
}

void fleet_standin::open_host(host& h) {
  h.acceptor = std::make_unique<tcp::acceptor>(
      this->loop, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0));
  h.id = this->emulator.add(h.domain, absl::Now(), address_of(*h.acceptor),
                            h.hall);
}

void fleet_standin::start() {
  net::co_spawn(this->loop, this->accept_store(), net::detached);
  net::co_spawn(this->loop, this->run_emulator(), net::detached);
  for (auto& h : this->hosts) {
    net::co_spawn(this->loop, this->accept_host(*h), net::detached);
  }
}

json fleet_standin::sample_config(const std::vector<std::string>& keys) const {
  return sample_config_json(keys);
}

void fleet_standin::configure(const json& spec) {
  this->put("config", "main", spec);
}

std::string fleet_standin::serving_head(const std::string& model) const {
  for (const auto& h : this->hosts) {
    if (h->plain || !this->emulator.is_open_head(h->id)) continue;
    const server_entry* entry = this->emulator.directory().find(h->id);
    if (entry == nullptr) continue;
    if (group_model(entry->membership.group) != model) continue;
    if (this->emulator.group_complete(h->id)) return h->id;
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
      this->objects_by_kind["servers"][id] = {{}, ++this->revision, true};
    } else {
      this->emulator.kill(id, absl::Now());
    }
  }
}

void fleet_standin::set_links(const std::string& node, link_state state) {
  this->links.set_state(node, state);
  if (state != link_state::reset) return;
  boost::system::error_code ignored;
  for (auto& h : this->hosts) {
    for (const auto& socket : h->connections) {
      const auto remote = socket->remote_endpoint(ignored);
      if (ignored || !this->links.dialed_by(node, remote.port())) continue;
      socket->set_option(net::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }
}

net::awaitable<bool> fleet_standin::wait_for_link(const host& h,
                                                  socket_ptr socket) {
  boost::system::error_code error;
  const auto remote = socket->remote_endpoint(error);
  if (error) co_return false;
  const auto held = [&] {
    return this->is_silent(h) ||
           this->links.state_of_port(remote.port()) == link_state::silent;
  };
  if (!held()) co_return true;
  while (held()) co_await sleep_for(poll_interval);
  co_return !is_closed_by_peer(*socket);
}

net::awaitable<void> fleet_standin::run_emulator() {
  for (;;) {
    this->emulator.advance(absl::Now());
    this->publish_servers();
    co_await sleep_for(poll_interval);
  }
}

void fleet_standin::publish_servers() {
  auto& entries = this->objects_by_kind["servers"];
  const auto& servers = this->emulator.directory().servers();
  for (const auto& [id, server] : servers) {
    const auto corrupt = this->faults.corrupt_entries.find(id);
    const bool intact = corrupt == this->faults.corrupt_entries.end();
    json spec = intact ? entry_json(server.entry) : corrupt->second;
    if (intact) spec["cold_left_ms"] = this->faults.cold_left_ms;
    const auto found = entries.find(id);
    if (found != entries.end() && found->second.spec == spec) continue;
    this->put("servers", id, spec);
  }
  for (auto& [id, o] : entries) {
    const bool engine = o.spec.contains("domain");
    if (!engine || o.deleted || servers.count(id) != 0) continue;
    o.deleted = true;
    o.revision = ++this->revision;
  }
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
  for (bool reused = false;; reused = true) {
    request in;
    auto [error, size] =
        co_await http::async_read(*socket, buffer, in, use_tuple);
    if (error) break;
    const std::string id = header_value(in, "X-Request-Id");
    this->record.received.insert(id);
    if (!co_await this->wait_for_link(h, socket)) {
      this->record.abandoned.insert(id);
      break;
    }
    const bool stream = !h.plain && this->emulator.is_open_head(h.id) &&
                        in.method() == http::verb::post &&
                        in.target() != "/spokesail/order";
    if (reused && stream && this->faults.end_on_reused_connection) {
      co_await this->crash(h, absl::ZeroDuration());
      break;
    }
    if (!co_await this->serve_call(h, socket, in)) break;
  }
  boost::system::error_code ignored;
  socket->close(ignored);
  h.connections.erase(socket);
}

fleet_standin::response fleet_standin::handle_order(host& h,
                                                    const request& in) {
  const auto order = read_order(h.id, in.body());
  if (!order) return make_response(400, "");
  switch (this->emulator.send_order(*order, absl::Now())) {
    case order_result::begun:
      return make_response(202, "");
    case order_result::already_done:
      return make_response(200, "");
    case order_result::outdated_epoch:
      return make_response(412, "");
    default:
      return make_response(409, "");
  }
}

fleet_standin::response fleet_standin::handle_report(host& h) {
  const auto report = this->emulator.report(h.id);
  if (!report) return make_response(503, "");
  return make_response(200, json({{"stage", "hybrid"},
                                  {"models", json::array()},
                                  {"busy", false},
                                  {"seq", report->orders_started},
                                  {"waiting", 0},
                                  {"running", 0}})
                                .dump());
}

void fleet_standin::record_run(const host& h, const std::string& id) {
  this->record.all_runs.push_back({id, absl::Now(), h.id});
  this->record.runs[id]++;
  this->record.requests_by_hall[h.hall]++;
}

bool fleet_standin::contains(const server_selection& selection, const host& h) {
  if (!selection.servers.empty()) return selection.servers.count(h.id) != 0;
  const bool is_engine = selection.service == engine_service_name;
  if (!selection.service.empty() && is_engine == h.plain) return false;
  constexpr uint64_t buckets = 1000;
  return static_cast<double>(stable_hash(h.id) % buckets) <
         selection.share * buckets;
}

bool fleet_standin::is_selected(const host& h,
                                const server_selection& selection) {
  const absl::Time now = absl::Now();
  return now >= selection.from && now < selection.until &&
         contains(selection, h);
}

std::string fleet_standin::advertised_limit(const host& h) const {
  const limit_settings& settings = this->faults.limit;
  return is_selected(h, settings) ? settings.per_s : "";
}

bool fleet_standin::is_leaving(const host& h) const {
  const departure_settings& settings = this->faults.departure;
  return settings.active && is_selected(h, settings);
}

bool fleet_standin::is_silent(const host& h) const {
  const silence_settings& settings = this->faults.silence;
  if (!settings.active || !contains(settings, h)) return false;
  absl::Time now = absl::Now();
  for (const auto& other : this->hosts) {
    if (other.get() == &h) break;
    if (contains(settings, *other)) now -= settings.gap;
  }
  return now >= settings.from && now < settings.until;
}

absl::Duration fleet_standin::draw_delay(const host& h) {
  const slowness_settings& settings = this->faults.slowness;
  const bool slow = settings.active && is_selected(h, settings);
  return slow ? settings.max_delay * this->random.unit() : absl::ZeroDuration();
}

bool fleet_standin::rejects(const host& h) const {
  const rejection_settings& settings = this->faults.rejection;
  return settings.active && is_selected(h, settings);
}

void fleet_standin::add_state_headers(const host& h, response& out) const {
  const std::string limit = this->advertised_limit(h);
  if (!limit.empty()) out.set("Server-Limit", limit);
  if (this->is_leaving(h)) out.set("Server-Leaving", "1");
}

fleet_standin::response fleet_standin::make_rejection(const host& h,
                                                      const std::string& id) {
  const rejection_settings& settings = this->faults.rejection;
  response out = make_response(503, "");
  out.set("X-Response-Stamp", "stamp-" + h.id);
  if (settings.marked) out.set("X-Not-Executed", "1");
  if (!settings.faulty_server.empty()) {
    out.set("At-Server", settings.faulty_server);
  }
  for (const auto& value : settings.retry_after) {
    out.insert("Retry-After", value);
  }
  this->record.rejections.push_back({id, absl::Now(), h.id});
  return out;
}

bool fleet_standin::over_limit(const host& h) const {
  double per_s = 0;
  if (!this->faults.limit.strict) return false;
  if (!absl::SimpleAtod(this->advertised_limit(h), &per_s)) return false;
  const absl::Time since = absl::Now() - absl::Seconds(1);
  const auto& runs = this->record.all_runs;
  const auto recent_runs =
      std::count_if(runs.begin(), runs.end(), [&](const server_run& run) {
        return run.server == h.id && run.at >= since;
      });
  return static_cast<double>(recent_runs) >= std::max(1.0, per_s);
}

net::awaitable<bool> fleet_standin::serve_call(host& h, socket_ptr socket,
                                               const request& in) {
  const std::string id = header_value(in, "X-Request-Id");
  const std::string expected = header_value(in, "X-Expect-Instance");
  response out;
  if (!id.empty() && expected == h.id) {
    this->record.arrivals.push_back({id, absl::Now(), h.id});
  }
  if (!expected.empty() && expected != h.id) {
    out = make_response(421, "");
  } else if (in.target() == "/spokesail/report") {
    if (this->faults.closing_at_reports.count(h.id) != 0) co_return false;
    out = this->handle_report(h);
  } else if (in.target() == "/spokesail/order") {
    out = this->handle_order(h, in);
  } else if (this->rejects(h)) {
    out = this->make_rejection(h, id);
  } else if (this->over_limit(h)) {
    out = make_response(503, "");
    out.set("X-Not-Executed", "1");
  } else if (!h.plain && this->emulator.is_open_head(h.id)) {
    co_return co_await this->serve_stream(h, socket, in);
  } else if (!h.plain) {
    out = make_response(421, "");
  } else if (this->faults.shed_plain) {
    out = make_response(503, "");
    out.set("X-Not-Executed", "1");
  } else {
    this->record_run(h, id);
    this->record.bodies[id] = in.body();
    this->record.workspaces[id] = header_value(in, "X-Tenant");
    if (this->faults.lose_plain_answers) co_return false;
    const bool fails = this->faults.fail_plain_calls > 0;
    if (fails) this->faults.fail_plain_calls--;
    out = make_response(fails ? 500 : 200,
                        absl::StrCat("path ", std::string(in.target())));
    out.set("X-Response-Stamp", "stamp-" + h.id);
  }
  if (h.plain) out.body().append(this->faults.plain_answer_bytes, '.');
  const bool wrong_id = this->faults.cross_plain_answers && h.plain;
  if (!id.empty()) out.set("X-Request-Id", wrong_id ? "another" : id);
  this->add_state_headers(h, out);
  const absl::Duration delay = this->draw_delay(h);
  if (delay > absl::ZeroDuration()) co_await sleep_for(delay);
  if (!co_await this->wait_for_link(h, socket)) co_return false;
  const shape_settings& shape = this->faults.shape;
  const bool shaped = out.find("X-Response-Stamp") != out.end() ||
                      shape.calls.count(std::string(in.target())) != 0;
  if (shaped && shape.active && is_selected(h, shape)) {
    const bool no_body = in.method() == http::verb::head;
    co_return co_await this->write_shaped(h, socket, out, no_body);
  }
  out.prepare_payload();
  auto [error, size] = co_await http::async_write(*socket, out, use_tuple);
  co_return !error;
}

answer_shape fleet_standin::next_shape(const host& h) {
  shape_settings& settings = this->faults.shape;
  if (!settings.active || !is_selected(h, settings)) return {};
  answer_shape out = settings.shape;
  if (settings.breaks == 0) out.break_after.reset();
  if (out.break_after && settings.breaks > 0) settings.breaks--;
  return out;
}

net::awaitable<bool> fleet_standin::write_shaped(const host& h,
                                                 socket_ptr socket,
                                                 const response& out,
                                                 bool no_body) {
  std::string head = absl::StrCat("HTTP/1.1 ", out.result_int(), " Status\r\n");
  for (const auto& field : out) {
    absl::StrAppend(&head, std::string(field.name_string()), ": ",
                    std::string(field.value()), "\r\n");
  }
  answer_writer writer(socket, this->next_shape(h), out.body().size());
  bool open = co_await writer.write_head(std::move(head));
  if (open && !no_body) open = co_await writer.write(out.body());
  this->record_endless(writer);
  if (!open) co_return false;
  co_return co_await writer.finish();
}

void fleet_standin::record_endless(const answer_writer& writer) {
  if (!writer.endless()) return;
  this->record.endless_bytes =
      std::max(this->record.endless_bytes, writer.bytes_sent());
  this->record.endless_ended++;
}

net::awaitable<void> fleet_standin::crash(host& h, absl::Duration after) {
  const std::string id = h.id;
  co_await sleep_for(after);
  if (h.id != id || !h.acceptor->is_open()) co_return;
  this->record.crashed.insert(id);
  this->kill(id);
  co_await sleep_for(crash_outage);
  this->open_host(h);
  net::co_spawn(this->loop, this->accept_host(h), net::detached);
}

bool fleet_standin::crashes_on(const host& h, const request& in) const {
  const crash_part_settings& settings = this->faults.crash_part;
  if (settings.parts.empty() || !is_selected(h, settings)) return false;
  const std::vector<std::string> parts =
      absl::StrSplit(header_value(in, "X-Prompt-Prefix"), ',');
  return std::any_of(parts.begin(), parts.end(), [&](const auto& part) {
    return settings.parts.count(part.substr(0, part.find(':'))) != 0;
  });
}

net::awaitable<void> fleet_standin::crash_on_answer(host& h, socket_ptr socket,
                                                    const request& in) {
  const std::string id = header_value(in, "X-Request-Id");
  const std::string server = h.id;
  this->record.crash_part_runs.push_back({id, absl::Now(), server});
  const absl::Time answer_at = absl::Now() + this->faults.crash_part.prefill;
  while (absl::Now() < answer_at) {
    co_await sleep_for(poll_interval);
    if (is_closed_by_peer(*socket)) co_return;
  }
  if (h.id != server) co_return;
  answer_writer writer(socket, {}, 0);
  co_await writer.write_head(
      absl::StrCat("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                   "X-Response-Stamp: stamp-",
                   h.id, "\r\nX-Request-Id: ", id, "\r\n"));
  co_await sleep_for(poll_interval);
  co_await this->crash(h, absl::ZeroDuration());
}

net::awaitable<bool> fleet_standin::serve_stream(host& h, socket_ptr socket,
                                                 const request& in) {
  const std::string id = header_value(in, "X-Request-Id");
  this->record_run(h, id);
  this->record.streams[h.id]++;
  this->record.workspaces[id] = header_value(in, "X-Tenant");
  if (!in.body().empty() && in.body() == this->faults.crash_body) {
    this->record.crashing_runs++;
    co_await this->crash(h, crash_delay);
    co_return false;
  }
  if (this->crashes_on(h, in)) {
    co_await this->crash_on_answer(h, socket, in);
    co_return false;
  }
  int64_t after = -1;
  if (!absl::SimpleAtoi(header_value(in, "Last-Event-Id"), &after)) after = -1;
  const shape_settings& settings = this->faults.shape;
  const bool crlf = settings.active && settings.crlf;
  const std::string tail = settings.active ? settings.stream_tail : "";
  std::vector<std::string> events;
  size_t length = tail.size();
  for (int64_t index = after + 1; index < events_per_stream; ++index) {
    events.push_back(event_text(index, crlf));
    length += events.back().size();
  }
  const std::string limit = this->advertised_limit(h);
  answer_writer writer(socket, this->next_shape(h), length);
  std::string head = absl::StrCat(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "X-Response-Stamp: stamp-",
      h.id, "\r\nX-Request-Id: ", id, "\r\n");
  if (!limit.empty()) absl::StrAppend(&head, "Server-Limit: ", limit, "\r\n");
  if (this->is_leaving(h)) head += "Server-Leaving: 1\r\n";
  const bool begun = co_await writer.write_head(std::move(head));
  if (!begun) {
    this->record_endless(writer);
    co_return false;
  }
  int sent = 0;
  for (const std::string& event : events) {
    co_await sleep_for(this->faults.event_interval + this->draw_delay(h));
    while (!this->emulator.group_complete(h.id) ||
           this->faults.stalled_head == h.id) {
      if (!socket->is_open()) co_return false;
      co_await sleep_for(poll_interval);
    }
    if (!co_await this->wait_for_link(h, socket)) co_return false;
    if (!co_await writer.write(event)) {
      this->record_endless(writer);
      co_return false;
    }
    if (++sent == this->faults.break_after_events) {
      this->faults.break_after_events = 0;
      co_return false;
    }
  }
  bool open = true;
  if (!tail.empty()) open = co_await writer.write(tail);
  if (!open) co_return false;
  co_return co_await writer.finish();
}

}  // namespace spokesail::standin
