// Writes log lines at a bounded rate per event.
#include "node-log.h"

#include <absl/strings/str_cat.h>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "log.h"

namespace spokesail {
namespace {

/// Maximum lines queued for the writer thread. The oldest are dropped when it
/// falls behind.
constexpr size_t log_queue_size = 4096;

/// Maximum lines per second and event. A node serves tens of requests a second.
constexpr int max_request_lines = 60;
constexpr int max_state_change_lines = 300;

}  // namespace

node_log::node_log(const std::string& node) {
  spdlog::init_thread_pool(log_queue_size, 1);
  auto logger =
      spdlog::create_async_nb<spdlog::sinks::stdout_sink_st>("spokesail-node");
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e%z node=" + quoted(node) +
                      " %v");
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(logger);
}

node_log::~node_log() { spdlog::shutdown(); }

void node_log::reset_quotas(absl::Time now) {
  this->second_start = now;
  for (auto& [event, q] : this->quotas) {
    if (q.omitted > 0) {
      spdlog::info("event=lines_left_out of={} count={}", event, q.omitted);
    }
    q = {};
  }
}

void node_log::write(log_category category, const char* event,
                     const std::vector<log_field>& fields, absl::Time now) {
  if (now - this->second_start >= absl::Seconds(1)) this->reset_quotas(now);
  quota& q = this->quotas[event];
  const int max_lines = category == log_category::request
                            ? max_request_lines
                            : max_state_change_lines;
  if (q.written >= max_lines) {
    q.omitted++;
    this->omitted_total++;
    return;
  }
  q.written++;
  std::string line = absl::StrCat("event=", event);
  for (const auto& field : fields) {
    absl::StrAppend(&line, " ", field.key, "=", quoted(field.value));
  }
  spdlog::info(line);
}

}  // namespace spokesail
