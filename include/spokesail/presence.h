// What is known of each backend server, from several probers' reports.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace spokesail {

/// What a host of an engine is doing with the weights of its group.
enum class host_phase { idle, loading, ready };

/// A backend server's own word about itself. A host reports one group at a
/// time, and this is what makes two groups that share a host exclude another.
struct host_report {
  std::string group;
  int64_t incarnation = 0;
  host_phase phase = host_phase::idle;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  /// Highest fencing number the host has accepted.
  int64_t fence = 0;
  /// Changes whenever the server's process starts anew.
  std::string boot;
  bool operator==(const host_report&) const = default;
};

/// Requests at a backend server, as it reported with its own lag.
struct host_load {
  int running = 0;
  int queued = 0;
  bool operator==(const host_load&) const = default;
};

/// One prober's last word on one host.
struct observation {
  bool reachable = false;
  host_report report;
  host_load load;
  /// When the probe that gave it was sent.
  absl::Time at;
  /// Since when the prober has found the host unreachable, if it has.
  absl::Time unreachable_since = absl::InfinitePast();
  bool operator==(const observation&) const = default;
};

/// All probers' observations, and the verdict on each host.
///
/// A host counts as present only on the word of a prober that reached it
/// within the window, and after any other prober began to find it unreachable.
class presence_table {
 public:
  /// Takes an observation; an older one than is known is passed over. Gives
  /// whether anything but time and load changed.
  bool observe(const std::string& prober, const std::string& host,
               const observation& seen);

  /// All that `prober` last found was found anew by probes sent at `at` or
  /// later.
  void refresh(const std::string& prober, absl::Time at);

  /// Sets the loads that `prober` found; hosts not named have none.
  void set_loads(const std::string& prober,
                 const std::map<std::string, host_load>& loads);

  /// `prober`'s own word on `host`.
  std::optional<observation> observation_of(const std::string& prober,
                                            const std::string& host) const;

  /// `prober` no longer probes `host`.
  void remove_observation(const std::string& prober, const std::string& host);

  /// Lets go of all that `prober` said.
  void remove_prober(const std::string& prober);

  /// Notes that this node itself failed to reach the host at `at`.
  void note_failure(const std::string& host, absl::Time at);

  /// The report to rely on at `now`, or nothing if the host is not present.
  std::optional<host_report> present(const std::string& host, absl::Time now,
                                     absl::Duration window) const;

  /// The most recent word of any prober, however old, as of its last refresh.
  std::optional<observation> latest(const std::string& host) const;

  /// Lets go of hosts that are not in `hosts`.
  void retain_hosts(const std::vector<std::string>& hosts);

 private:
  struct host_entry {
    std::map<std::string, observation> by_prober;
    absl::Time failed_at = absl::InfinitePast();
  };
  absl::Time seen_at(const std::string& prober, const observation& o) const;

  std::map<std::string, host_entry> hosts;
  std::map<std::string, absl::Time> refreshed;
};

}  // namespace spokesail
