// Checks the records of a run and prints each breach; exit code 1 if there is
// any.
#include <cstring>
#include <iostream>

#include "history.h"

int main(int argc, char** argv) {
  namespace st = spokesail::test;
  st::history all;
  st::history_options options;
  for (int i = 1; i < argc; i++) {
    if (std::strcmp(argv[i], "--planned_only") == 0) {
      options.planned_only = true;
      continue;
    }
    const auto lines = st::read_history(argv[i]);
    all.insert(all.end(), lines.begin(), lines.end());
  }
  size_t requests = 0;
  for (const auto& line : all) requests += line.value("e", "") == "request";
  const auto breaches = st::check_history(std::move(all), options);
  for (const auto& breach : breaches) std::cout << "breach " << breach << "\n";
  std::cout << "requests " << requests << " breaches " << breaches.size()
            << "\n";
  return breaches.empty() ? 0 : 1;
}
