// HTTP client for model engines and plain services.
#include "spokesail/backend.h"

#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "detail/http.h"

namespace spokesail {
namespace {

using json = nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr absl::Duration connect_timeout = absl::Milliseconds(500);
constexpr size_t max_idle_per_address = 8;

/// Largest report, and largest response to an order, in bytes.
constexpr size_t max_report_bytes = 64 << 10;

host_phase parse_phase(const std::string& name) {
  if (name == "ready") return host_phase::ready;
  return name == "loading" ? host_phase::loading : host_phase::idle;
}

/// Whether all of some members that are there have a type.
bool have_type(const json& j, std::initializer_list<const char*> names,
               bool (*has_type)(const json&)) {
  return std::all_of(names.begin(), names.end(), [&](const char* name) {
    const auto found = j.find(name);
    return found == j.end() || has_type(*found);
  });
}

bool is_text(const json& value) { return value.is_string(); }

bool is_texts(const json& value) {
  return value.is_array() && std::all_of(value.begin(), value.end(), is_text);
}

/// Whether a value is a number up to `limit` that can be counted on from.
template <int64_t limit>
bool is_count(const json& value) {
  return value.is_number_integer() && value >= 0 && value <= limit;
}

/// Whether the members of a report have their types. Those that are missing
/// have defaults.
bool is_report(const json& j) {
  constexpr int64_t max_number = int64_t{1} << 53;
  constexpr int64_t max_load = std::numeric_limits<int>::max();
  return j.is_object() &&
         have_type(j, {"group", "phase", "model", "version", "boot"},
                   is_text) &&
         have_type(j, {"adapters"}, is_texts) &&
         have_type(j, {"incarnation", "fence"}, is_count<max_number>) &&
         have_type(j, {"running", "queued"}, is_count<max_load>);
}

probe_result parse_report(const std::string& body) {
  probe_result out;
  const json j = json::parse(body, nullptr, false);
  if (!is_report(j)) return out;
  out.reachable = true;
  out.report.group = j.value("group", "");
  out.report.incarnation = j.value("incarnation", int64_t{0});
  out.report.phase = parse_phase(j.value("phase", "idle"));
  out.report.model = j.value("model", "");
  out.report.version = j.value("version", "");
  out.report.adapters = j.value("adapters", std::vector<std::string>{});
  out.report.fence = j.value("fence", int64_t{0});
  out.report.boot = j.value("boot", "");
  out.load.running = j.value("running", 0);
  out.load.queued = j.value("queued", 0);
  return out;
}

/// Cancels an exchange by closing its connection.
class client_handle final : public exchange_handle {
 public:
  explicit client_handle(std::shared_ptr<httplib::Client> http_client)
      : client(std::move(http_client)) {}
  void cancel() override {
    this->cancelled = true;
    this->client->stop();
  }
  std::atomic<bool> cancelled = false;

 private:
  std::shared_ptr<httplib::Client> client;
};

/// Idle connections by address.
class connection_cache {
 public:
  std::shared_ptr<httplib::Client> acquire(const std::string& address) {
    absl::MutexLock lock(&this->mutex);
    auto& idle = this->by_address[address];
    if (idle.empty()) return nullptr;
    auto client = std::move(idle.back());
    idle.pop_back();
    return client;
  }

  void release(const std::string& address,
               std::shared_ptr<httplib::Client> client) {
    absl::MutexLock lock(&this->mutex);
    auto& idle = this->by_address[address];
    if (idle.size() < max_idle_per_address) idle.push_back(std::move(client));
  }

 private:
  absl::Mutex mutex;
  std::map<std::string, std::vector<std::shared_ptr<httplib::Client>>>
      by_address;
};

class http_backend final : public backend_client {
 public:
  probe_result probe(const std::string& address, bool service,
                     absl::Duration deadline) override {
    auto client = this->probe_client(address, deadline);
    const char* path = service ? "/healthz" : "/engine/report";
    const auto result = detail::send_bounded(
        *client, detail::json_request("GET", path), max_report_bytes);
    if (!result || result->status != status_ok) return {};
    this->probe_connections.release(address, std::move(client));
    if (!service) return parse_report(result->body);
    probe_result out;
    out.reachable = true;
    return out;
  }

  order_status send_order(const order& o, absl::Duration deadline) override {
    json j = {{"kind", order_name(o.kind)},
              {"fence", o.fence},
              {"group", o.group},
              {"incarnation", o.incarnation},
              {"model", o.model},
              {"version", o.version},
              {"adapters", o.adapters},
              {"members", o.members},
              {"rank", o.rank}};
    auto client = detail::make_client(o.address, deadline, deadline);
    const auto result = detail::send_bounded(
        *client, detail::json_request("POST", "/engine/orders", j.dump()),
        max_report_bytes);
    if (!result) return order_status::unreachable;
    return result->status == status_accepted ? order_status::accepted
                                             : order_status::refused;
  }

  exchange_result exchange(
      const exchange_request& request, exchange_sink& sink,
      const std::function<void(std::shared_ptr<exchange_handle>)>& started)
      override {
    std::shared_ptr<httplib::Client> client;
    if (request.reuse_connection)
      client = this->exchange_connections.acquire(request.address);
    if (!client) {
      client = detail::make_client(request.address, connect_timeout,
                                   request.idle_timeout);
    }
    auto handle = std::make_shared<client_handle>(client);
    started(handle);
    httplib::Request out;
    out.method = request.method;
    out.path = request.path;
    out.body = request.body;
    for (const auto& [name, value] : request.headers) {
      out.headers.emplace(name, value);
    }
    out.headers.emplace(detail::attempt_header, request.attempt);
    bool refused = false;
    bool mismatched = false;
    bool delimited = false;
    out.response_handler = [&](const httplib::Response& head) {
      if (!detail::is_response(head)) return false;
      refused = head.has_header(detail::not_started_header) ||
                head.get_header_value(detail::outcome_header) == "refused";
      mismatched = !refused && head.get_header_value(detail::attempt_header) !=
                                   request.attempt;
      delimited = head.has_header("Content-Length") ||
                  head.get_header_value("Transfer-Encoding") == "chunked";
      const bool failed =
          head.get_header_value(detail::outcome_header) == "failed";
      if (refused || mismatched || !delimited || failed) return false;
      return sink.on_head({head.status, head.get_header_value("Content-Type")});
    };
    out.content_receiver = [&](const char* data, size_t size, uint64_t,
                               uint64_t) { return sink.on_data(data, size); };
    const httplib::Result result = client->send(out);
    if (refused) return {attempt_end::not_started, false};
    if (!result) {
      const bool unsent =
          detail::never_sent(result.error()) && !handle->cancelled;
      return {unsent ? attempt_end::not_started : attempt_end::broken, unsent};
    }
    if (handle->cancelled || mismatched) return {attempt_end::broken, false};
    this->exchange_connections.release(request.address, std::move(client));
    return {attempt_end::whole, false};
  }

 private:
  std::shared_ptr<httplib::Client> probe_client(const std::string& address,
                                                absl::Duration deadline) {
    if (auto client = this->probe_connections.acquire(address)) return client;
    return detail::make_client(address, deadline, deadline);
  }

  connection_cache probe_connections;
  connection_cache exchange_connections;
};

}  // namespace

std::unique_ptr<backend_client> make_http_backend() {
  return std::make_unique<http_backend>();
}

}  // namespace spokesail
