// Platform store over HTTP and JSON, following the conventions of Kubernetes.
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>

#include <nlohmann/json.hpp>

#include "detail/http.h"
#include "detail/json-scan.h"
#include "spokesail/platform.h"

namespace spokesail {
namespace {

using json = nlohmann::json;
namespace leaf = boost::leaf;

constexpr char api_root[] = "/apis/spokesail/v1/";
constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_gone = 410;

/// A watch that receives nothing for this long has ended: the platform sends
/// bookmarks more often.
constexpr absl::Duration watch_idle_timeout = absl::Seconds(3);

/// Largest event of a watch, in bytes.
constexpr size_t max_event_bytes = 4 << 20;

/// Largest list, in bytes. Each thread that calls the store reads one at a
/// time.
constexpr size_t max_list_bytes = 64 << 20;

/// Idle connections that are kept for reuse.
constexpr size_t max_idle_connections = 4;

/// Deepest nesting of a spec. Its readers encode parts of it again, which takes
/// stack space for each level.
constexpr size_t max_spec_depth = 128;

int64_t version_of(std::string_view metadata) {
  int64_t version = 0;
  const std::string text =
      detail::decode_string(detail::find_member(metadata, "resourceVersion"));
  return absl::SimpleAtoi(text, &version) ? version : 0;
}

/// Reads an object from its JSON text; nothing if it cannot be used, so that it
/// costs no other object of the same answer.
std::optional<object> parse_object(std::string_view text,
                                   const std::string& kind) {
  const std::string_view metadata = detail::find_member(text, "metadata");
  const std::string_view spec = detail::find_member(text, "spec");
  object o;
  o.key = {kind, detail::decode_string(detail::find_member(metadata, "name"))};
  o.version = version_of(metadata);
  o.body = spec;
  const bool readable =
      spec.empty() ||
      (detail::nesting_depth(spec) <= max_spec_depth && json::accept(spec));
  if (o.key.name.empty() || !readable) return std::nullopt;
  return o;
}

class http_platform final : public platform_store {
 public:
  http_platform(std::string server, absl::Duration limit, call_counter counter)
      : address(std::move(server)),
        deadline(limit),
        count(std::move(counter)) {}

  platform_answer call(const platform_call& call) override {
    const std::string kind_path = api_root + call.key.kind;
    const std::string path = kind_path + "/" + call.key.name;
    if (call.kind == call_kind::read) {
      return this->answer(call.key.kind, "get",
                          detail::json_request("GET", path));
    }
    json j;
    j["kind"] = call.key.kind;
    j["metadata"]["name"] = call.key.name;
    j["spec"] = json::parse(call.body, nullptr, false);
    if (call.base_version == 0) {
      return this->answer(call.key.kind, "create",
                          detail::json_request("POST", kind_path, j.dump()));
    }
    j["metadata"]["resourceVersion"] = std::to_string(call.base_version);
    return this->answer(call.key.kind, "put",
                        detail::json_request("PUT", path, j.dump()));
  }

  call_status remove(const object_key& key) override {
    const std::string path = api_root + key.kind + "/" + key.name;
    return this
        ->answer(key.kind, "delete", detail::json_request("DELETE", path))
        .status;
  }

  leaf::result<object_list> list(const std::string& kind) override {
    this->count("list");
    auto client = this->acquire();
    const auto result = detail::send_bounded(
        *client, detail::json_request("GET", api_root + kind), max_list_bytes);
    if (!result || result->status != status_ok) {
      return leaf::new_error(platform_error::unavailable);
    }
    this->release(std::move(client));
    object_list found;
    found.version = version_of(detail::find_member(result->body, "metadata"));
    const bool complete = detail::scan_array(
        detail::find_member(result->body, "items"), [&](std::string_view item) {
          if (auto o = parse_object(item, kind)) found.objects.push_back(*o);
        });
    if (!complete) return leaf::new_error(platform_error::unavailable);
    return found;
  }

  leaf::result<void> watch(
      const std::string& kind, int64_t version,
      const std::function<bool(const object*)>& on_change) override {
    this->count("watch");
    auto client =
        detail::make_client(this->address, this->deadline, watch_idle_timeout);
    std::string buffer;
    bool expired = false;
    const auto on_line = [&](const std::string& line) {
      const std::string type =
          detail::decode_string(detail::find_member(line, "type"));
      const std::string_view content = detail::find_member(line, "object");
      if (type.empty()) return false;
      if (type == "BOOKMARK") return on_change(nullptr);
      if (type == "ERROR") {
        expired =
            detail::find_member(content, "code") == std::to_string(status_gone);
        return false;
      }
      auto o = parse_object(content, kind);
      if (!o) return true;
      o->deleted = type == "DELETED";
      return on_change(&*o);
    };
    const auto on_data = [&](const char* data, size_t size) {
      buffer.append(data, size);
      if (buffer.size() > max_event_bytes) return false;
      size_t end = 0;
      while ((end = buffer.find('\n')) != std::string::npos) {
        const std::string line = buffer.substr(0, end);
        buffer.erase(0, end + 1);
        if (!line.empty() && !on_line(line)) return false;
      }
      return true;
    };
    const std::string path =
        absl::StrCat(api_root, kind, "?watch=1&resourceVersion=", version);
    const auto result = client->Get(path, detail::is_response, on_data);
    if (result && result->status == status_gone) expired = true;
    return leaf::new_error(expired ? platform_error::expired
                                   : platform_error::unavailable);
  }

 private:
  platform_answer answer(const std::string& kind, const std::string& verb,
                         httplib::Request request) {
    this->count(verb);
    auto client = this->acquire();
    const auto result =
        detail::send_bounded(*client, std::move(request), max_list_bytes);
    platform_answer out;
    // A connection that failed is not reused.
    if (!result) return out;
    this->release(std::move(client));
    switch (result->status) {
      case status_ok:
      case status_created: {
        const auto o = parse_object(result->body, kind);
        if (!o) return out;
        out.status = call_status::ok;
        out.found = *o;
        return out;
      }
      case status_not_found:
        out.status = call_status::not_found;
        return out;
      case status_conflict:
        out.status = call_status::conflict;
        return out;
      default:
        return out;
    }
  }

  std::unique_ptr<httplib::Client> acquire() {
    {
      absl::MutexLock lock(&this->mutex);
      if (!this->idle.empty()) {
        auto client = std::move(this->idle.back());
        this->idle.pop_back();
        return client;
      }
    }
    return detail::make_client(this->address, this->deadline, this->deadline);
  }

  void release(std::unique_ptr<httplib::Client> client) {
    absl::MutexLock lock(&this->mutex);
    if (this->idle.size() < max_idle_connections) {
      this->idle.push_back(std::move(client));
    }
  }

  std::string address;
  absl::Duration deadline;
  call_counter count;
  absl::Mutex mutex;
  std::vector<std::unique_ptr<httplib::Client>> idle;
};

}  // namespace

std::unique_ptr<platform_store> make_http_platform(const std::string& address,
                                                   absl::Duration deadline,
                                                   call_counter count) {
  return std::make_unique<http_platform>(address, deadline, std::move(count));
}

document_write complete_write(platform_store& store, document_write write,
                              int max_unanswered) {
  int unanswered = 0;
  while (!is_finished(write) && unanswered < max_unanswered) {
    const platform_answer answer = store.call(next_call(write));
    if (answer.status == call_status::unavailable) {
      unanswered++;
      absl::SleepFor(absl::Milliseconds(100) * unanswered);
    }
    write = apply_answer(std::move(write), answer);
  }
  return write;
}

}  // namespace spokesail
