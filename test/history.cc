#include "history.h"

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <set>

namespace spokesail::test {
namespace {

using json = nlohmann::json;

constexpr double micros_per_second = 1e6;

/// The group that a host belongs to from a point in time on.
struct assignment {
  int64_t from = 0;
  std::string group;
  int64_t incarnation = 0;
};

/// Replays the lines in order of time and records each breach.
class checker {
 public:
  checker(history all, const history_options& o)
      : lines(std::move(all)), options(o) {
    std::stable_sort(
        this->lines.begin(), this->lines.end(),
        [](const json& a, const json& b) { return a.at("t") < b.at("t"); });
  }

  std::vector<std::string> run() {
    for (const auto& line : this->lines) this->handle(line);
    this->check_requests();
    return {this->breaches.begin(), this->breaches.end()};
  }

 private:
  void breach(const std::string& rule, const std::string& what) {
    this->breaches.insert(rule + ": " + what);
  }

  void handle(const json& line) {
    const std::string e = line.value("e", "");
    if (e == "boot")
      this->assignments[line["host"]].push_back({line["t"], "", 0});
    if (e == "assign") {
      // The host becomes a member of the group once the weights are loaded.
      const int64_t from = std::max(line["t"].get<int64_t>(),
                                    line.value("ready_at", int64_t{0}));
      this->assignments[line["host"]].push_back(
          {from, line["group"], line["incarnation"]});
    }
    if (e == "change") this->handle_change(line);
    if (e == "run") this->handle_run(line);
    if (e == "in_force") this->handle_in_force(line);
    if (e == "request") this->requests.push_back(line);
  }

  void handle_change(const json& line) {
    const json& spec = line["spec"];
    if (line["kind"] == "host") {
      const bool leaving = spec.value("state", "live") == "leaving";
      if (leaving) this->leaving.try_emplace(line["name"], line["t"]);
      if (!leaving) this->leaving.erase(line["name"]);
    }
    if (line["kind"] != "placement" || !spec.contains("groups")) return;
    std::set<std::string> used;
    for (const auto& g : spec["groups"]) {
      const std::vector<std::string> hosts = g["hosts"];
      for (const auto& host : hosts) {
        if (!used.insert(host).second) {
          this->breach("host in two groups", host);
        }
      }
      this->members[{g["name"], g["incarnation"]}] = hosts;
    }
  }

  /// Whether a host was a member of a group at any time from `since` to
  /// `until`.
  bool was_member(const std::string& host, const std::string& group,
                  int64_t incarnation, int64_t since, int64_t until) const {
    const auto it = this->assignments.find(host);
    if (it == this->assignments.end()) return false;
    const auto& all = it->second;
    for (size_t i = 0; i < all.size(); i++) {
      const int64_t end = i + 1 < all.size() ? all[i + 1].from : until;
      const bool same =
          all[i].group == group && all[i].incarnation == incarnation;
      if (same && end >= since && all[i].from <= until) return true;
    }
    return false;
  }

  void handle_run(const json& line) {
    const std::string group = line.value("group", "");
    const int64_t at = line["t"];
    this->runs[line["request"]]++;
    std::vector<std::string> hosts = {line["host"]};
    if (!group.empty()) {
      const int64_t incarnation = line["incarnation"];
      const auto it = this->members.find({group, incarnation});
      if (it == this->members.end()) {
        this->breach("group without all members", group + " is not placed");
        return;
      }
      hosts = it->second;
      const auto window = static_cast<int64_t>(this->options.presence_window *
                                               micros_per_second);
      for (const auto& host : hosts) {
        if (!this->was_member(host, group, incarnation, at - window, at)) {
          this->breach("group without all members", group + " lacks " + host);
        }
      }
    }
    const auto window =
        static_cast<int64_t>(this->options.leaving_window * micros_per_second);
    for (const auto& host : hosts) {
      const auto it = this->leaving.find(host);
      if (it != this->leaving.end() && at > it->second + window) {
        this->breach("work for a leaving server", host);
      }
    }
  }

  void handle_in_force(const json& line) {
    // Each start of a node counts as its own process. Within one, the revision
    // must not decrease.
    int64_t& last = this->in_force[line["node"]];
    const int64_t revision = line["revision"];
    if (revision < last) {
      this->breach("configuration went back",
                   absl::StrCat(line["node"].get<std::string>(), " from ", last,
                                " to ", revision));
    }
    last = std::max(last, revision);
  }

  void check_requests() {
    std::set<std::string> seen;
    for (const auto& r : this->requests) {
      const std::string id = r["request"];
      const std::string outcome = r["outcome"];
      if (!seen.insert(id).second) this->breach("two ends", id);
      const int ran = this->runs.count(id) != 0 ? this->runs.at(id) : 0;
      if (outcome == "answered" && !r["right"].get<bool>()) {
        this->breach("wrong or partial answer", id);
      }
      if (outcome == "answered" && ran == 0) {
        this->breach("answer without a run", id);
      }
      if (outcome == "refused" && ran > 0) {
        this->breach("refused but run", id);
      }
      if (r["once"].get<bool>() && ran > 1) {
        this->breach("run more than once", id);
      }
      const bool cut = outcome == "failed" || outcome == "lost";
      if (this->options.planned_only && cut) {
        this->breach("cut off by a planned stop", id);
      }
    }
  }

  history lines;
  history_options options;
  std::set<std::string> breaches;
  std::map<std::string, std::vector<assignment>> assignments;
  std::map<std::pair<std::string, int64_t>, std::vector<std::string>> members;
  std::map<std::string, int64_t> leaving;
  std::map<std::string, int> runs;
  std::map<std::string, int64_t> in_force;
  std::vector<json> requests;
};

std::string field(const std::string& line, const std::string& key) {
  const size_t at = line.find(key + "=");
  if (at == std::string::npos) return "";
  const size_t begin = at + key.size() + 1;
  return line.substr(begin, line.find(' ', begin) - begin);
}

}  // namespace

std::vector<std::string> check_history(history lines,
                                       const history_options& options) {
  return checker(std::move(lines), options).run();
}

history read_history(const std::string& file) {
  history out;
  std::ifstream in(file);
  std::string line;
  int starts = 0;
  while (std::getline(in, line)) {
    if (line.empty()) continue;
    if (line[0] == '{') {
      // A killed process may leave an incomplete last line.
      json j = json::parse(line, nullptr, false);
      if (j.is_object()) out.push_back(std::move(j));
      continue;
    }
    if (field(line, "event") == "started") starts++;
    if (field(line, "event") != "config_in_force") continue;
    absl::Time at;
    std::string error;
    if (!absl::ParseTime(absl::RFC3339_full, field(line, "time"), &at,
                         &error)) {
      continue;
    }
    out.push_back({{"t", absl::ToUnixMicros(at)},
                   {"e", "in_force"},
                   {"node", absl::StrCat(field(line, "node"), "#", starts)},
                   {"revision", std::stoll(field(line, "revision"))}});
  }
  return out;
}

}  // namespace spokesail::test
