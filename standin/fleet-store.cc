// The object store of the small fleet.
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <absl/time/clock.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "fleet-loop.h"

namespace spokesail::standin {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using net::ip::tcp;
using json = nlohmann::json;

/// The integer value of a query parameter; -1 if there is none.
int64_t query_number(const std::string& query, const std::string& name) {
  for (absl::string_view part : absl::StrSplit(query, '&')) {
    int64_t value = -1;
    if (absl::ConsumePrefix(&part, name + "=") &&
        absl::SimpleAtoi(part, &value)) {
      return value;
    }
  }
  return -1;
}

}  // namespace

void fleet_standin::put(const std::string& kind, const std::string& name,
                        const json& spec) {
  this->objects_by_kind[kind][name] = {spec, ++this->revision, false};
}

json fleet_standin::object_json(const std::string& name,
                                const stored_object& o) const {
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
    while (this->faults.store_silent) co_await sleep_for(poll_interval);
    response out = co_await this->handle_store_request(in);
    out.prepare_payload();
    auto [failed, sent] = co_await http::async_write(*socket, out, use_tuple);
    if (failed) co_return;
  }
}

net::awaitable<fleet_standin::response> fleet_standin::handle_store_request(
    const request& in) {
  const std::string agent(in[http::field::user_agent]);
  if (this->faults.refused_nodes.count(agent) != 0) {
    co_return make_response(503, "");
  }
  const std::vector<std::string> halves =
      absl::StrSplit(std::string(in.target()), absl::MaxSplits('?', 1));
  const std::vector<std::string> parts = absl::StrSplit(halves[0], '/');
  if (parts.size() < 4) co_return make_response(404, "");
  const std::string& kind = parts[3];
  const auto refused = this->faults.refused_kinds.find(agent);
  if (refused != this->faults.refused_kinds.end() &&
      refused->second.count(kind) != 0) {
    co_return make_response(503, "");
  }
  const std::string name = parts.size() > 4 ? parts[4] : "";
  if (in.method() != http::verb::get) {
    co_return this->write_object(in, kind, name);
  }
  this->record.store_reads++;
  if (!name.empty()) {
    const auto found = this->objects_by_kind[kind].find(name);
    if (found == this->objects_by_kind[kind].end())
      co_return make_response(404, "");
    co_return make_response(200, this->object_json(name, found->second).dump());
  }
  const std::string query = halves.size() > 1 ? halves[1] : "";
  co_return co_await this->list_or_watch(kind, query);
}

net::awaitable<fleet_standin::response> fleet_standin::list_or_watch(
    const std::string& kind, const std::string& query) {
  const int64_t since = query_number(query, "watch");
  if (since < 0) {
    if (kind == "servers") this->record.server_lists++;
    json items = json::array();
    for (const auto& [name, o] : this->objects_by_kind[kind]) {
      if (!o.deleted) items.push_back(this->object_json(name, o));
    }
    co_return make_response(
        200, json({{"items", items}, {"more", false}, {"at", this->revision}})
                 .dump());
  }
  const absl::Time until =
      absl::Now() + absl::Milliseconds(query_number(query, "wait_ms"));
  json events = json::array();
  // Changes made after the revision was read are left to the next watch: `at`
  // must not be newer than the events returned.
  int64_t at = since;
  while (events.empty() && absl::Now() < until) {
    at = this->revision;
    for (const auto& [name, o] : this->objects_by_kind[kind]) {
      if (o.revision <= since) continue;
      events.push_back(
          {{"object", this->object_json(name, o)}, {"gone", o.deleted}});
    }
    if (events.empty()) co_await sleep_for(poll_interval);
  }
  co_return make_response(200, json({{"events", events}, {"at", at}}).dump());
}

fleet_standin::response fleet_standin::write_object(const request& in,
                                                    const std::string& kind,
                                                    const std::string& name) {
  const json body = json::parse(in.body(), nullptr, false);
  const json meta = body.value("meta", json::object());
  const std::string target = name.empty() ? meta.value("name", "") : name;
  auto& objects = this->objects_by_kind[kind];
  const auto found = objects.find(target);
  const bool create = in.method() == http::verb::post;
  if (!create && found == objects.end()) return make_response(404, "");
  const bool stale =
      found != objects.end() &&
      (create || meta.value("rev", int64_t{0}) != found->second.revision);
  const json spec = body.value("spec", json());
  this->record.writes[kind]++;
  if (!stale) this->put(kind, target, spec);
  const bool released = kind == "lease" && spec.value("holder", "x").empty();
  if (!stale && released) this->record.lease_releases++;
  return make_response(stale ? 409 : 200,
                       this->object_json(target, objects[target]).dump());
}

}  // namespace spokesail::standin
