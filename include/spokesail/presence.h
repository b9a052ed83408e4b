// The known state of each backend server, from the observations of several
// probers.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace spokesail {

/// What an engine's host is doing with the weights of its group.
enum class host_phase { idle, loading, ready };

/// A backend server's report about itself. A host reports one group at a time,
/// which keeps two groups from using one host at once.
struct host_report {
  std::string group;
  int64_t incarnation = 0;
  host_phase phase = host_phase::idle;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  /// Highest fencing number that the host has accepted.
  int64_t fence = 0;
  /// Changes with each start of the server's process.
  std::string boot;
  bool operator==(const host_report&) const = default;
};

/// Requests at a backend server, as it reported them, which may lag.
struct host_load {
  int running = 0;
  int queued = 0;
  bool operator==(const host_load&) const = default;
};

/// One prober's latest observation of one host.
struct observation {
  bool reachable = false;
  host_report report;
  host_load load;
  /// When the probe that gave it was sent.
  absl::Time at;
  /// Since when the prober has found the host unreachable; infinite past if it
  /// is reachable.
  absl::Time unreachable_since = absl::InfinitePast();
  bool operator==(const observation&) const = default;
};

/// All probers' observations, and the resulting presence of each host.
///
/// A host counts as present only if a prober reached it within the window, and
/// did so after any other prober began to find it unreachable.
class presence_table {
 public:
  /// Records an observation unless a later one is known. Returns whether
  /// anything but time and load has changed.
  bool observe(const std::string& prober, const std::string& host,
               const observation& seen);

  /// Records that probes sent at `at` or later confirmed all observations of
  /// `prober`.
  void refresh(const std::string& prober, absl::Time at);

  /// Sets the loads that `prober` found; hosts that are not named have none.
  void set_loads(const std::string& prober,
                 const std::map<std::string, host_load>& loads);

  /// The observation of `host` by `prober`.
  std::optional<observation> observation_of(const std::string& prober,
                                            const std::string& host) const;

  /// Removes an observation: `prober` no longer probes `host`.
  void remove_observation(const std::string& prober, const std::string& host);

  /// Removes all observations of `prober`.
  void remove_prober(const std::string& prober);

  /// Records that this node itself failed to reach the host at `at`.
  void note_failure(const std::string& host, absl::Time at);

  /// The report that is valid at `now`, or nothing if the host is not present.
  std::optional<host_report> present(const std::string& host, absl::Time now,
                                     absl::Duration window) const;

  /// The latest observation by any prober, however old, with the time of its
  /// last confirmation.
  std::optional<observation> latest(const std::string& host) const;

  /// Removes all hosts that are not in `hosts`.
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
