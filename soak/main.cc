// Runs soak tests for a range of seeds, one after the other.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_cat.h>

#include <boost/asio/co_spawn.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>

#include "soak.h"

ABSL_FLAG(uint64_t, seed, 1, "first seed");
ABSL_FLAG(int, seeds, 1, "number of seeds to run");
ABSL_FLAG(int, nodes, 3, "number of entry hosts");
ABSL_FLAG(int, callers, 8, "number of callers");
ABSL_FLAG(absl::Duration, time, absl::Seconds(12),
          "how long faults are injected in each run");
ABSL_FLAG(std::string, bin, "build/release",
          "folder that contains the programs");
ABSL_FLAG(std::string, logs, "build/soak",
          "folder for settings and logs, with a subfolder per seed");

namespace {

using namespace spokesail::soak;

soak_result run_soak(uint64_t seed) {
  soak_options options;
  options.seed = seed;
  options.nodes = absl::GetFlag(FLAGS_nodes);
  options.callers = absl::GetFlag(FLAGS_callers);
  options.time = absl::GetFlag(FLAGS_time);
  options.node_program = absl::GetFlag(FLAGS_bin) + "/spokesail";
  options.fleet_program = absl::GetFlag(FLAGS_bin) + "/standin-fleet";
  options.folder = absl::StrCat(absl::GetFlag(FLAGS_logs), "/", seed);
  std::filesystem::remove_all(options.folder);
  std::filesystem::create_directories(options.folder);
  boost::asio::io_context loop;
  soak_run run(loop, options);
  soak_result result;
  boost::asio::co_spawn(
      loop, run.run(), [&](std::exception_ptr failed, soak_result got) {
        if (failed) {
          got.breaches.push_back("the soak test ended with an exception");
        }
        result = std::move(got);
        loop.stop();
      });
  loop.run();
  return result;
}

void print(uint64_t seed, const soak_result& result) {
  std::cout << "event=soak seed=" << seed << " faults=" << result.faults;
  for (const auto& [outcome_name, count] : result.outcomes) {
    std::cout << " " << outcome_name << "=" << count;
  }
  std::cout << " breaches=" << result.breaches.size() << std::endl;
  for (const auto& breach : result.breaches) {
    std::cout << "event=breach seed=" << seed << " what=\"" << breach << "\""
              << std::endl;
  }
}

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  int failed = 0;
  const uint64_t first = absl::GetFlag(FLAGS_seed);
  const uint64_t end =
      first + static_cast<uint64_t>(absl::GetFlag(FLAGS_seeds));
  for (uint64_t seed = first; seed < end; ++seed) {
    const soak_result result = run_soak(seed);
    print(seed, result);
    failed += result.breaches.empty() ? 0 : 1;
  }
  std::cout << (end - first - static_cast<uint64_t>(failed)) << " passed, "
            << failed << " failed" << std::endl;
  return failed == 0 ? 0 : 1;
}
