// A lease holder that has to probe far more servers than it can read answers
// from at once.
#include "spokesail/congestion-window.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

#include "spokesail/group-controller.h"

namespace spokesail {
namespace {

const absl::Time start = absl::FromUnixSeconds(100);

/// Delays of a node's own event loop.
const absl::Duration no_delay = absl::Milliseconds(5);
const absl::Duration late = absl::Milliseconds(150);

TEST(congestion_window, grows_with_answers_and_shrinks_once_for_a_loss) {
  congestion_window window;
  const double first = window.limit();
  for (int i = 0; i < 4; ++i) {
    const std::string id = absl::StrCat("s", i);
    window.on_sent(id);
    EXPECT_TRUE(window.on_ended(id, true, no_delay, start));
  }
  EXPECT_EQ(window.limit(), first + 4);
  window.on_sent("a");
  window.on_sent("b");
  window.on_ended("a", false, late, start);
  window.on_ended("b", false, late, start);
  EXPECT_EQ(window.limit(), (first + 4) / 2);
}

/// A fabric domain or a data hall whose servers all fail.
TEST(congestion_window, failed_servers_do_not_shrink_it) {
  congestion_window window;
  const double first = window.limit();
  for (int i = 0; i < 37; ++i) {
    window.on_sent("gone");
    window.on_ended("gone", false, no_delay, start + absl::Seconds(i));
  }
  EXPECT_EQ(window.limit(), first);
}

TEST(congestion_window, stays_within_its_bounds) {
  const window_limits limits;
  congestion_window window(limits);
  absl::Time now = start;
  for (int i = 0; i < 100; ++i) {
    window.on_sent("s");
    now += absl::Seconds(1);
    window.on_ended("s", false, late, now);
  }
  EXPECT_EQ(window.limit(), limits.min_size);
  for (int i = 0; i < 100000; ++i) {
    window.on_sent("s");
    window.on_ended("s", true, no_delay, now);
  }
  EXPECT_EQ(window.limit(), limits.max_size);
}

TEST(congestion_window, tracks_outstanding_calls) {
  congestion_window window;
  window.on_sent("s");
  EXPECT_TRUE(window.is_outstanding("s"));
  EXPECT_TRUE(window.on_ended("s", true, no_delay, start));
  EXPECT_FALSE(window.is_outstanding("s"));
  EXPECT_FALSE(window.on_ended("s", true, no_delay, start));
}

/// Five halls of five domains of 37 hosts each.
constexpr int halls = 5;
constexpr int domains = 25;
constexpr int hosts_of_domain = 37;

server_directory large_directory() {
  server_directory out;
  int64_t revision = 0;
  for (int d = 0; d < domains; ++d) {
    for (int h = 0; h < hosts_of_domain; ++h) {
      listed_server server;
      server.entry.id = absl::StrCat("s", d, ".", h);
      server.entry.service = "lm";
      server.entry.hall = absl::StrCat("hall", d % halls);
      server.entry.domain = absl::StrCat("d", d);
      server.revision = ++revision;
      out.update(server);
    }
  }
  out.advance_revision(revision);
  return out;
}

/// A node that reads answers one after the other.
class slow_reader {
 public:
  explicit slow_reader(absl::Duration read_time) : read_time(read_time) {}

  void send_probe(const std::string& id, absl::Time now) {
    this->outstanding.push_back({id, now});
  }

  /// Reads the answers that fit until `now`; those that waited too long count
  /// as unanswered.
  void read(group_controller& controller, absl::Time now) {
    this->free_at = std::max(this->free_at, now - step);
    while (!this->outstanding.empty()) {
      const probe q = this->outstanding.front();
      const absl::Time done = std::max(this->free_at, q.sent) + this->read_time;
      const bool too_late = done - q.sent > timeout;
      if (!too_late && done > now) return;
      if (too_late && q.sent + timeout > now) return;
      this->outstanding.pop_front();
      if (!too_late) this->free_at = done;
      std::optional<server_report> report;
      if (!too_late) report.emplace();
      controller.on_report(q.id, report, now);
    }
  }

  /// How long it takes to read the outstanding answers.
  absl::Duration backlog() const {
    return static_cast<double>(this->outstanding.size()) * this->read_time;
  }

  static constexpr absl::Duration step = absl::Milliseconds(40);

 private:
  static constexpr absl::Duration timeout = absl::Milliseconds(150);
  struct probe {
    std::string id;
    absl::Time sent;
  };
  absl::Duration read_time;
  absl::Time free_at = absl::InfinitePast();
  std::deque<probe> outstanding;
};

/// A takeover: the new holder has to probe 925 servers, on a node that takes
/// 1.5 ms for each answer. It must not take its own slowness for unresponsive
/// servers.
TEST(congestion_window, a_slow_holder_considers_no_server_silent) {
  group_controller controller{group_controller_options{}};
  controller.start_term(2);
  const server_directory directory = large_directory();
  backend_service service;
  service.name = "lm";
  service.engine.emplace();
  routing_config config;
  config.services = {service};
  slow_reader reader(absl::Microseconds(1500));
  absl::Time now = start;
  absl::Time last_probe = start;
  for (int i = 0; i < 100; ++i) {
    now += slow_reader::step;
    controller.set_loop_delay(reader.backlog());
    reader.read(controller, now);
    const auto actions = controller.step(directory, config, true, now);
    EXPECT_FALSE(actions.step_down);
    if (!actions.report_requests.empty()) last_probe = now;
    for (const auto& id : actions.report_requests) reader.send_probe(id, now);
  }
  EXPECT_TRUE(controller.unresponsive_servers().empty());
  // 925 answers of 1.5 ms take 1.4 s; sending probes once a step adds to it.
  EXPECT_LT(last_probe - start, absl::Seconds(2));
}

}  // namespace
}  // namespace spokesail
