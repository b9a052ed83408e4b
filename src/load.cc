// spokesail-load: open-loop load generator for entry hosts.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "detail/http.h"
#include "detail/worker-pool.h"
#include "sse.h"

ABSL_FLAG(std::vector<std::string>, entries, {},
          "HTTP addresses of entry hosts; each request picks one at random");
ABSL_FLAG(bool, balance, false,
          "send only to entries whose /readyz reports ready, like a load "
          "balancer");
ABSL_FLAG(double, rate, 20,
          "mean request rate per second, with Poisson arrivals");
ABSL_FLAG(double, seconds, 10, "duration of the load in seconds");
ABSL_FLAG(std::string, model, "review", "model to request");
ABSL_FLAG(std::string, service, "status", "plain service to call");
ABSL_FLAG(double, service_share, 0.3,
          "fraction of requests that go to the plain service");
ABSL_FLAG(double, once_share, 0.3,
          "fraction of requests that must not run more than once");
ABSL_FLAG(std::vector<std::string>, workspaces, {"billing"},
          "workspaces, with equal shares; list one twice to double its share");
ABSL_FLAG(int, tokens, 16, "tokens per answer");
ABSL_FLAG(int, deadline_ms, 20000, "deadline of each request");
ABSL_FLAG(uint64_t, seed, 1, "random seed of arrival times and request mix");
ABSL_FLAG(std::string, id_prefix, "r", "prefix of request ids");
ABSL_FLAG(std::string, history, "",
          "file to append one JSON line per request to");
ABSL_FLAG(
    std::string, direct_group, "",
    "GROUP/INCARNATION, to send requests directly to the head of a group");
ABSL_FLAG(std::string, output, "text", "text or json");

namespace spokesail {
namespace {

using json = nlohmann::json;

constexpr size_t max_concurrent_requests = 2000;
constexpr absl::Duration response_grace = absl::Seconds(10);

/// A request before it is sent.
struct planned_request {
  std::string id;
  std::string entry;
  std::string workspace;
  bool service = false;
  bool run_once = false;
  absl::Time scheduled_at;
};

/// A request after its end.
struct request_record {
  planned_request plan;
  absl::Time sent;
  absl::Time ended;
  absl::Time first_token = absl::InfiniteFuture();
  absl::Time last_token;
  absl::Duration longest_gap = absl::ZeroDuration();
  int status = 0;
  int tokens = 0;
  /// "answered", "refused" or "failed" as the response states; "lost" if no
  /// outcome was received.
  std::string outcome = "lost";
  std::string code;
  /// Whether the answer belongs to this request and is complete.
  bool correct = false;
};

/// The answer that an engine stand-in generates for a prompt.
std::string expected_answer(const std::string& prompt, int tokens) {
  std::string text = "re:" + prompt.substr(0, 24);
  for (int i = 1; i < tokens; i++) absl::StrAppend(&text, " t", i);
  return text;
}

void read_error(const std::string& body, request_record& out) {
  const json j = json::parse(body, nullptr, false);
  if (!j.is_object() || !j.contains("error")) return;
  out.outcome = j["error"].value("outcome", "lost");
  out.code = j["error"].value("code", "");
}

void call_model(httplib::Client& client, httplib::Headers headers,
                request_record& out) {
  const std::string prompt = "prompt " + out.plan.id;
  const int tokens = absl::GetFlag(FLAGS_tokens);
  const json body = {{"model", absl::GetFlag(FLAGS_model)},
                     {"stream", true},
                     {"max_tokens", tokens},
                     {"messages", {{{"role", "user"}, {"content", prompt}}}}};
  std::string text;
  std::string raw;
  bool end_mark = false;
  sse_parser parser;
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.headers = std::move(headers);
  request.body = body.dump();
  request.content_receiver = [&](const char* data, size_t size, uint64_t,
                                 uint64_t) {
    raw.append(data, size);
    return parser.feed(data, size, [&](const std::string& event) {
      if (event == "[DONE]") {
        end_mark = true;
        return true;
      }
      const json j = json::parse(event, nullptr, false);
      if (!j.is_object() || !j.contains("choices")) {
        read_error(event, out);
        return true;
      }
      const json delta = j["choices"][0].value("delta", json::object());
      if (!delta.contains("content")) return true;
      const absl::Time now = absl::Now();
      if (out.tokens == 0) {
        out.first_token = now;
      } else {
        out.longest_gap = std::max(out.longest_gap, now - out.last_token);
      }
      out.last_token = now;
      out.tokens++;
      text += delta["content"].get<std::string>();
      return true;
    });
  };
  const auto result = client.send(request);
  if (!result) return;
  out.status = result->status;
  if (end_mark) {
    out.outcome = "answered";
    out.correct = text == expected_answer(prompt, tokens);
  } else if (out.code.empty()) {
    read_error(raw, out);
  }
}

void call_service(httplib::Client& client, const httplib::Headers& headers,
                  request_record& out) {
  const std::string path =
      absl::StrCat("/services/", absl::GetFlag(FLAGS_service), "/");
  const auto result =
      out.plan.run_once
          ? client.Post(path + out.plan.id, headers, out.plan.id, "text/plain")
          : client.Get(path + out.plan.id, headers);
  if (!result) return;
  out.status = result->status;
  if (result->status != 200) {
    read_error(result->body, out);
    return;
  }
  out.outcome = "answered";
  const json j = json::parse(result->body, nullptr, false);
  out.correct = j.is_object() && j.value("path", "") == "/" + out.plan.id &&
                j.value("echo", "") == (out.plan.run_once ? out.plan.id : "");
}

request_record run(const planned_request& plan) {
  request_record out;
  out.plan = plan;
  const absl::Duration limit =
      absl::Milliseconds(absl::GetFlag(FLAGS_deadline_ms)) + response_grace;
  auto client = detail::make_client(plan.entry, response_grace, limit);
  httplib::Headers headers = {
      {detail::workspace_header, plan.workspace},
      {"X-Test-Id", plan.id},
      {detail::deadline_header,
       std::to_string(absl::GetFlag(FLAGS_deadline_ms))}};
  if (plan.run_once) headers.emplace(detail::repeatable_header, "no");
  const std::string direct = absl::GetFlag(FLAGS_direct_group);
  if (!direct.empty()) {
    const std::vector<std::string> parts = absl::StrSplit(direct, '/');
    headers.emplace(detail::group_header, parts[0]);
    headers.emplace(detail::incarnation_header, parts.back());
  }
  out.sent = absl::Now();
  if (plan.service) {
    call_service(*client, headers, out);
  } else {
    call_model(*client, std::move(headers), out);
  }
  out.ended = absl::Now();
  return out;
}

/// Draws all requests before the first is sent, so that the load does not
/// depend on how the system responds.
std::vector<planned_request> plan_requests() {
  std::mt19937_64 random(absl::GetFlag(FLAGS_seed));
  std::exponential_distribution<double> gap(absl::GetFlag(FLAGS_rate));
  std::uniform_real_distribution<double> unit(0, 1);
  const auto entries = absl::GetFlag(FLAGS_entries);
  const auto workspaces = absl::GetFlag(FLAGS_workspaces);
  const absl::Time start = absl::Now();
  std::vector<planned_request> all;
  double at = gap(random);
  while (at < absl::GetFlag(FLAGS_seconds)) {
    planned_request next;
    next.id = absl::StrCat(absl::GetFlag(FLAGS_id_prefix), all.size());
    next.entry = entries[random() % entries.size()];
    next.workspace = workspaces[random() % workspaces.size()];
    next.service = unit(random) < absl::GetFlag(FLAGS_service_share);
    next.run_once = unit(random) < absl::GetFlag(FLAGS_once_share);
    next.scheduled_at = start + absl::Seconds(at);
    all.push_back(next);
    at += gap(random);
  }
  return all;
}

/// A load balancer in front of the entry hosts: probes their readiness
/// periodically and sends only to those that are ready.
class load_balancer {
 public:
  explicit load_balancer(std::vector<std::string> addresses)
      : entries(std::move(addresses)), ready(entries) {
    if (!absl::GetFlag(FLAGS_balance)) return;
    this->prober = std::thread([this] { this->probe(); });
  }
  ~load_balancer() {
    this->done = true;
    if (this->prober.joinable()) this->prober.join();
  }

  /// The entry for a request: `wanted` if it is ready or none is, otherwise the
  /// ready ones in turn.
  std::string pick(const std::string& wanted) {
    absl::MutexLock lock(&this->mutex);
    const auto& all = this->ready;
    if (all.empty()) return wanted;
    if (std::find(all.begin(), all.end(), wanted) != all.end()) return wanted;
    return all[this->next_index++ % all.size()];
  }

 private:
  void probe() {
    while (!this->done) {
      std::vector<std::string> found;
      for (const auto& entry : this->entries) {
        auto client = detail::make_client(entry, probe_timeout, probe_timeout);
        const auto result = client->Get("/readyz");
        if (result && result->status == 200) found.push_back(entry);
      }
      {
        absl::MutexLock lock(&this->mutex);
        this->ready = found;
      }
      absl::SleepFor(probe_period);
    }
  }

  static constexpr absl::Duration probe_timeout = absl::Milliseconds(200);
  static constexpr absl::Duration probe_period = absl::Milliseconds(100);

  const std::vector<std::string> entries;
  absl::Mutex mutex;
  std::vector<std::string> ready;
  size_t next_index = 0;
  std::atomic<bool> done = false;
  std::thread prober;
};

double quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(std::lround(q * last))];
}

json report(const std::vector<request_record>& all) {
  std::map<std::string, int> outcomes;
  std::map<std::string, int> goodput;
  std::vector<double> first;
  std::vector<double> gaps;
  std::vector<double> calls;
  std::vector<double> refusals;
  int wrong = 0;
  int tokens = 0;
  for (const auto& r : all) {
    outcomes[r.outcome + (r.code.empty() ? "" : ":" + r.code)]++;
    tokens += r.tokens;
    const double ms = absl::ToDoubleMilliseconds(r.ended - r.plan.scheduled_at);
    if (r.outcome == "refused") refusals.push_back(ms);
    if (r.outcome != "answered") continue;
    goodput[r.plan.workspace]++;
    wrong += r.correct ? 0 : 1;
    if (r.plan.service) {
      calls.push_back(ms);
    } else {
      first.push_back(
          absl::ToDoubleMilliseconds(r.first_token - r.plan.scheduled_at));
      gaps.push_back(absl::ToDoubleMilliseconds(r.longest_gap));
    }
  }
  return {{"requests", all.size()},
          {"outcomes", outcomes},
          {"goodput_by_workspace", goodput},
          {"wrong_answers", wrong},
          {"tokens", tokens},
          {"first_token_ms_p50", quantile(first, 0.5)},
          {"first_token_ms_p95", quantile(first, 0.95)},
          {"worst_gap_ms_p95", quantile(gaps, 0.95)},
          {"call_ms_p50", quantile(calls, 0.5)},
          {"call_ms_p99", quantile(calls, 0.99)},
          {"refusal_ms_p95", quantile(refusals, 0.95)}};
}

void write_history(const std::vector<request_record>& all) {
  const std::string file = absl::GetFlag(FLAGS_history);
  if (file.empty()) return;
  std::ofstream out(file, std::ios::app);
  for (const auto& r : all) {
    const json line = {{"t", absl::ToUnixMicros(r.ended)},
                       {"e", "request"},
                       {"sent", absl::ToUnixMicros(r.sent)},
                       {"request", r.plan.id},
                       {"once", r.plan.run_once},
                       {"outcome", r.outcome},
                       {"code", r.code},
                       {"right", r.correct}};
    out << line.dump() << "\n";
  }
}

int load_main() {
  if (absl::GetFlag(FLAGS_entries).empty()) {
    std::cerr << "spokesail-load: --entries is needed\n";
    return 2;
  }
  const auto plans = plan_requests();
  absl::Mutex mutex;
  std::vector<request_record> all;
  detail::worker_pool pool(max_concurrent_requests);
  load_balancer balance(absl::GetFlag(FLAGS_entries));
  for (auto plan : plans) {
    absl::SleepFor(plan.scheduled_at - absl::Now());
    plan.entry = balance.pick(plan.entry);
    pool.add([&all, &mutex, plan] {
      auto done = run(plan);
      absl::MutexLock lock(&mutex);
      all.push_back(std::move(done));
    });
  }
  pool.stop();
  write_history(all);
  const json result = report(all);
  if (absl::GetFlag(FLAGS_output) == "json") {
    std::cout << result.dump() << "\n";
  } else {
    for (const auto& [key, value] : result.items()) {
      std::cout << key << " " << value.dump() << "\n";
    }
  }
  return 0;
}

}  // namespace
}  // namespace spokesail

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return spokesail::load_main();
}
