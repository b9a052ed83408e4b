// The command line: `spokesail COMMAND [flags]`.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

#include "apply.h"
#include "detail/http.h"
#include "explain.h"
#include "fleet-adapter.h"
#include "losses.h"
#include "node.h"
#include "spokesail/config-reader.h"
#include "spokesail/daemon.h"

ABSL_FLAG(std::string, settings, "", "settings file of the node");
ABSL_FLAG(std::string, f, "", "directory of the configuration");
ABSL_FLAG(std::string, platform, "", "HTTP address of the platform");
ABSL_FLAG(std::string, node, "", "HTTP address of any entry host");
ABSL_FLAG(std::string, base, "", "revision that the change is based on");
ABSL_FLAG(std::string, operator_name, "",
          "name of the operator who makes the change");
ABSL_FLAG(std::string, output, "text", "text or json");
ABSL_FLAG(std::string, wait, "20",
          "seconds to wait until the change is in force on all nodes");
ABSL_FLAG(bool, dry_run, false, "show the difference, change nothing");
ABSL_FLAG(bool, undo, false, "undo the drain");

namespace spokesail {
namespace {

using json = nlohmann::json;
namespace leaf = boost::leaf;

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr char version_text[] = "spokesail 0.1.0";
constexpr absl::Duration call_deadline = absl::Seconds(2);
constexpr absl::Duration progress_period = absl::Milliseconds(250);

/// A command of the program.
struct command {
  const char* name;
  const char* usage;
  const char* help;
  std::vector<std::string> flags;
  int (*run)(const std::vector<std::string>& args);
};

int usage_error(const std::string& text) {
  std::cerr << "spokesail: " << text << "\n";
  return exit_usage;
}

int print_faults(const yaml_error& error) {
  for (const auto& fault : error.faults) {
    std::cerr << describe(fault) << "\n";
  }
  return exit_failed;
}

int report_platform_unavailable() {
  std::cerr << "spokesail: the platform does not respond; the change may or "
               "may not have taken effect, check with `spokesail get`\n";
  return exit_failed;
}

std::string operator_name() {
  std::string given = absl::GetFlag(FLAGS_operator_name);
  if (!given.empty()) return given;
  const char* user = std::getenv("USER");
  return user ? user : "unknown";
}

std::unique_ptr<platform_store> open_platform() {
  return make_http_platform(absl::GetFlag(FLAGS_platform), call_deadline,
                            [](const std::string&) {});
}

int run_serve(const std::vector<std::string>&) {
  return leaf::try_handle_all(
      []() -> leaf::result<int> {
        BOOST_LEAF_AUTO(s, read_settings(absl::GetFlag(FLAGS_settings)));
        return serve(s);
      },
      [](const yaml_error& error) { return print_faults(error); },
      [] { return exit_failed; });
}

/// Reads the log files that are named by the arguments from `first` on. If one
/// cannot be read, prints an error and returns nothing.
std::optional<std::vector<log_record>> read_logs(
    const std::vector<std::string>& args, size_t first) {
  std::vector<log_record> records;
  for (size_t i = first; i < args.size(); ++i) {
    std::ifstream file(args[i]);
    if (!file) {
      usage_error("cannot read " + args[i]);
      return std::nullopt;
    }
    std::string line;
    while (std::getline(file, line)) records.push_back(parse_log_line(line));
  }
  return records;
}

int run_losses(const std::vector<std::string>& args) {
  if (args.empty()) return usage_error("losses needs log files");
  const auto records = read_logs(args, 0);
  if (!records) return exit_usage;
  std::cout << loss_text(count_losses(*records));
  return exit_ok;
}

int run_explain(const std::vector<std::string>& args) {
  if (args.size() < 2)
    return usage_error("explain needs a request id and log files");
  auto records = read_logs(args, 1);
  if (!records) return exit_usage;
  const explanation summary = explain_request(args[0], std::move(*records));
  if (summary.cause.empty()) {
    std::cerr << "spokesail: the logs do not contain the end of request "
              << args[0] << "\n";
    return exit_failed;
  }
  for (const auto& line : summary.lines) std::cout << line << "\n";
  std::cout << "\n" << summary.cause << "\n";
  return exit_ok;
}

/// The settings file, from the flag or else from the platform's environment
/// variable; empty if neither is set.
std::string node_settings_file() {
  std::string given = absl::GetFlag(FLAGS_settings);
  if (!given.empty()) return given;
  const char* named = std::getenv(fleet_settings_variable);
  return named ? named : "";
}

int run_node_command(const std::vector<std::string>&) {
  const std::string file = node_settings_file();
  if (file.empty()) {
    return usage_error(absl::StrCat("node needs --settings or the variable ",
                                    fleet_settings_variable));
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(s, read_node_settings(file));
        return run_node(s);
      },
      [](const yaml_error& error) {
        print_faults(error);
        return exit_usage;
      },
      [] { return exit_failed; });
}

int run_check(const std::vector<std::string>&) {
  const std::string directory = absl::GetFlag(FLAGS_f);
  const std::string file = absl::GetFlag(FLAGS_settings);
  if (directory.empty() && file.empty()) {
    return usage_error("check needs --f or --settings");
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        if (!directory.empty()) BOOST_LEAF_CHECK(read_config(directory));
        if (!file.empty()) BOOST_LEAF_CHECK(read_settings(file));
        std::cout << "check: ok\n";
        return exit_ok;
      },
      [](const yaml_error& error) { return print_faults(error); },
      [] { return exit_failed; });
}

/// The status of a node; null if it does not respond.
json fetch_status(const std::string& address) {
  auto client = detail::make_client(address, call_deadline, call_deadline);
  const auto result = client->Get("/admin/status");
  if (!result || result->status != 200) return nullptr;
  return json::parse(result->body, nullptr, false);
}

/// How far a revision has spread: the number of known nodes, and those that do
/// not have it in force yet.
struct rollout {
  size_t nodes = 0;
  std::vector<std::string> behind;
};

/// Queries the revision in force of a node and, transitively, of all members
/// that the queried nodes know.
rollout query_members(const std::string& first, int64_t revision) {
  rollout out;
  std::map<std::string, std::string> names = {{first, first}};
  std::set<std::string> queried;
  for (;;) {
    const auto next = std::find_if(
        names.begin(), names.end(),
        [&](const auto& entry) { return queried.count(entry.first) == 0; });
    if (next == names.end()) return out;
    const auto [address, name] = *next;
    queried.insert(address);
    const json status = fetch_status(address);
    out.nodes++;
    if (!status.is_object()) {
      out.behind.push_back(name + " (does not respond)");
      continue;
    }
    if (status["revision"] < revision) out.behind.push_back(name);
    for (const auto& member : status["members"]) {
      names.emplace(member["http_address"], member["name"]);
    }
  }
}

/// Waits until every known node has the revision in force.
int wait_in_force(int64_t revision) {
  const std::string node = absl::GetFlag(FLAGS_node);
  double seconds = 0;
  if (!absl::SimpleAtod(absl::GetFlag(FLAGS_wait), &seconds)) {
    return usage_error("--wait must be a number of seconds");
  }
  if (node.empty()) return exit_ok;
  const absl::Time started = absl::Now();
  rollout progress;
  do {
    progress = query_members(node, revision);
    if (progress.behind.empty()) {
      std::cout << "in force on " << progress.nodes << " nodes after "
                << absl::ToInt64Milliseconds(absl::Now() - started) << " ms\n";
      return exit_ok;
    }
    absl::SleepFor(progress_period);
  } while (absl::Now() - started < absl::Seconds(seconds));
  std::cout << "accepted, but not yet in force on: "
            << absl::StrJoin(progress.behind, ", ") << "\n";
  return exit_failed;
}

void print_current_head(const config_head& current_head) {
  std::cerr << "the newest revision is " << current_head.revision << " by "
            << current_head.operator_name << " at " << current_head.accepted_at
            << "\n";
}

/// Prints why a change was rejected and how the accepted configuration differs
/// from it.
int report_rejection(platform_store& store, const configuration& rejected,
                     const apply_error& error) {
  if (error.why == apply_error::reason::platform_unavailable)
    return report_platform_unavailable();
  std::cerr << (error.why == apply_error::reason::conflict
                    ? "spokesail: not accepted: another change came first\n"
                    : "spokesail: not accepted: the base is not the newest "
                      "revision\n");
  print_current_head(error.current_head);
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(accepted, read_accepted(store));
        for (const auto& line : config_diff(accepted.content, rejected)) {
          std::cerr << "  " << line << "\n";
        }
        return exit_failed;
      },
      [] { return exit_failed; });
}

int run_apply(const std::vector<std::string>&) {
  int64_t base = -1;
  const std::string base_text = absl::GetFlag(FLAGS_base);
  if (!base_text.empty() && !absl::SimpleAtoi(base_text, &base)) {
    return usage_error("--base must be a revision number");
  }
  const auto store = open_platform();
  configuration next;
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_ASSIGN(next, read_config(absl::GetFlag(FLAGS_f)));
        BOOST_LEAF_AUTO(before, read_accepted(*store));
        const auto lines = config_diff(before.content, next);
        for (const auto& line : lines) std::cout << line << "\n";
        if (absl::GetFlag(FLAGS_dry_run)) {
          std::cout << "dry run: " << lines.size()
                    << " differences to revision " << before.head.revision
                    << "\n";
          return exit_ok;
        }
        // By default the change is based on the revision just read and shown.
        const int64_t based_on = base >= 0 ? base : before.head.revision;
        BOOST_LEAF_AUTO(head,
                        accept_config(*store, next, based_on, operator_name()));
        std::cout << "accepted revision " << head.revision << " digest "
                  << head.digest << "\n";
        write_audit(
            *store, "config_accepted", operator_name(),
            absl::StrCat("revision ", head.revision, " from ", based_on));
        return wait_in_force(head.revision);
      },
      [](const yaml_error& error) { return print_faults(error); },
      [&](const apply_error& error) {
        return report_rejection(*store, next, error);
      },
      [] { return exit_failed; });
}

int run_get(const std::vector<std::string>&) {
  const auto store = open_platform();
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(accepted, read_accepted(*store));
        json out;
        out["head"] = accepted.head;
        out["configuration"] = accepted.content;
        std::cout << out.dump(2) << "\n";
        return exit_ok;
      },
      [](const apply_error&) {
        std::cerr << "spokesail: the platform does not respond\n";
        return exit_failed;
      },
      [] { return exit_failed; });
}

void print_status(const json& status) {
  std::cout << "node " << status["node"].get<std::string>() << " hall "
            << status["hall"].get<std::string>() << " revision "
            << status["revision"] << (status["ready"] ? " ready" : " not ready")
            << (status["leads"] ? " leads" : "") << "\n";
  std::cout << "lease " << status["lease"]["holder"].get<std::string>()
            << " fence " << status["lease"]["fence"] << "\n";
  for (const auto& m : status["members"]) {
    std::cout << "member " << m["name"].get<std::string>() << " hall "
              << m["hall"].get<std::string>() << " revision " << m["revision"]
              << (m["alive"] ? " alive" : " not alive")
              << (m["stopping"] ? " stopping" : "") << "\n";
  }
  for (const auto& g : status["groups"]) {
    std::cout << "group " << g["name"].get<std::string>() << " "
              << g["phase"].get<std::string>()
              << (g["open"] ? " open" : " closed") << " incarnation "
              << g["incarnation"];
    for (const auto& host : g["hosts"]) {
      std::cout << " " << host["name"].get<std::string>() << "="
                << host["state"].get<std::string>();
    }
    std::cout << "\n";
  }
  std::cout << "stranded accelerators " << status["stranded_accelerators"]
            << "\n";
}

int run_status(const std::vector<std::string>&) {
  const json status = fetch_status(absl::GetFlag(FLAGS_node));
  if (!status.is_object()) {
    std::cerr << "spokesail: the node does not respond\n";
    return exit_failed;
  }
  if (absl::GetFlag(FLAGS_output) == "json") {
    std::cout << status.dump(2) << "\n";
  } else {
    print_status(status);
  }
  return exit_ok;
}

int run_drain(const std::vector<std::string>& args) {
  if (args.size() != 1) return usage_error("drain needs the name of one host");
  const auto store = open_platform();
  const object_key key{kinds::drain, args[0]};
  const bool undo = absl::GetFlag(FLAGS_undo);
  call_status status = call_status::unavailable;
  if (undo) {
    status = store->remove(key);
  } else {
    object base;
    base.key = key;
    const json spec = {{"operator", operator_name()}};
    const auto write = complete_write(
        *store, make_write(base, spec.dump(), "drain-" + operator_name()), 8);
    // A write that lost to an earlier drain of the same host has the same
    // effect.
    if (is_finished(write)) status = call_status::ok;
  }
  if (status == call_status::unavailable) return report_platform_unavailable();
  write_audit(*store, undo ? "drain_undone" : "drain", operator_name(),
              args[0]);
  std::cout << (undo ? "no longer drained: " : "draining: ") << args[0] << "\n";
  return exit_ok;
}

int run_audit(const std::vector<std::string>&) {
  const auto store = open_platform();
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(found, store->list(kinds::audit));
        for (const auto& entry : found.objects) {
          json spec = json::parse(entry.body, nullptr, false);
          spec.erase("writes");
          std::cout << spec.dump() << "\n";
        }
        return exit_ok;
      },
      [] {
        std::cerr << "spokesail: the platform does not respond\n";
        return exit_failed;
      });
}

int run_version(const std::vector<std::string>&) {
  std::cout << version_text << "\n";
  return exit_ok;
}

const std::vector<command>& commands() {
  static const std::vector<command> all = {
      {"serve",
       "serve --settings FILE",
       "run an entry host",
       {"settings"},
       run_serve},
      {"explain",
       "explain ID FILE...",
       "explain from nodes' log files why a request ended as it did",
       {},
       run_explain},
      {"losses",
       "losses FILE...",
       "count requests that were not served in time in log files, by cause",
       {},
       run_losses},
      {"node",
       "node [--settings FILE]",
       "run a node on the fleet's platform",
       {"settings"},
       run_node_command},
      {"apply",
       "apply --f DIR --platform ADDR [--node ADDR] [--base N] [--dry_run]",
       "replace the whole configuration by a directory of YAML files",
       {"f", "platform", "node", "base", "dry_run", "operator_name", "wait"},
       run_apply},
      {"get",
       "get --platform ADDR",
       "print the accepted configuration",
       {"platform"},
       run_get},
      {"status",
       "status --node ADDR [--output json]",
       "show groups, members and leases as a node sees them",
       {"node", "output"},
       run_status},
      {"drain",
       "drain HOST --platform ADDR [--undo]",
       "take a host out of use once its requests have ended",
       {"platform", "undo", "operator_name"},
       run_drain},
      {"audit",
       "audit --platform ADDR",
       "print the audit trail: who changed what, and when",
       {"platform"},
       run_audit},
      {"check",
       "check [--f DIR] [--settings FILE]",
       "check files without a platform",
       {"f", "settings"},
       run_check},
      {"version", "version", "print the version", {}, run_version}};
  return all;
}

void print_help(std::ostream& out) {
  out << "usage: spokesail COMMAND [flags]\n\n";
  for (const auto& c : commands()) {
    out << "  " << c.usage << "\n      " << c.help << "\n";
  }
}

/// The name in a flag such as --name or --name=value; empty if `arg` is not a
/// flag.
std::string flag_name(const std::string& arg) {
  if (!absl::StartsWith(arg, "-")) return "";
  const std::string text = arg.substr(absl::StartsWith(arg, "--") ? 2 : 1);
  return text.substr(0, text.find('='));
}

/// Checks the flags given to a command. Prints an error and returns false if
/// one is unknown or a required one is missing.
bool check_flags(const command& c, const std::vector<std::string>& args) {
  for (const auto& arg : args) {
    const std::string name = flag_name(arg);
    if (name.empty()) continue;
    if (std::find(c.flags.begin(), c.flags.end(), name) == c.flags.end()) {
      usage_error(absl::StrCat("unknown flag --", name, " of ", c.name));
      return false;
    }
  }
  const std::string usage = c.usage;
  const std::string needed = usage.substr(0, usage.find('['));
  for (const auto& word : absl::StrSplit(needed, ' ')) {
    const std::string name = flag_name(std::string(word));
    if (name.empty()) continue;
    const bool given =
        std::any_of(args.begin(), args.end(),
                    [&](const auto& arg) { return flag_name(arg) == name; });
    if (given) continue;
    usage_error(absl::StrCat(c.name, " needs --", name));
    return false;
  }
  return true;
}

int run(int argc, char** argv) {
  std::vector<std::string> args(argv + 1, argv + argc);
  if (args.empty()) {
    print_help(std::cerr);
    return exit_usage;
  }
  if (args[0] == "--help" || args[0] == "help") {
    print_help(std::cout);
    return exit_ok;
  }
  const auto& all = commands();
  const auto found = std::find_if(
      all.begin(), all.end(), [&](const auto& c) { return args[0] == c.name; });
  if (found == all.end()) return usage_error("unknown command " + args[0]);
  args.erase(args.begin());
  if (std::find(args.begin(), args.end(), "--help") != args.end()) {
    std::cout << "usage: spokesail " << found->usage << "\n  " << found->help
              << "\n";
    return exit_ok;
  }
  if (!check_flags(*found, args)) return exit_usage;
  std::vector<char*> raw = {argv[0]};
  for (auto& arg : args) raw.push_back(arg.data());
  const auto left =
      absl::ParseCommandLine(static_cast<int>(raw.size()), raw.data());
  return found->run({left.begin() + 1, left.end()});
}

}  // namespace
}  // namespace spokesail

int main(int argc, char** argv) {
  const bool runs_node = argc > 1 && std::string_view(argv[1]) == "node";
  if (runs_node) spokesail::block_node_signals();
  return spokesail::run(argc, argv);
}
