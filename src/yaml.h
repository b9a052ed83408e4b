// Checked reading of YAML maps: every key known, every value in its range.
#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "spokesail/settings.h"

namespace spokesail {

/// Reads one YAML map key by key. Faults are collected, not thrown; `finish`
/// adds one for each key that nobody asked for.
class yaml_map {
 public:
  yaml_map(const YAML::Node& node, std::string file, std::string path,
           std::vector<yaml_fault>& faults);

  std::string text(const std::string& key, const std::string& fallback);
  /// A text that must be there and not be empty.
  std::string name(const std::string& key);
  /// An IP number and port, such as 127.0.0.1:8080.
  std::string address(const std::string& key, bool required);
  int64_t integer(const std::string& key, int64_t fallback, int64_t least,
                  int64_t most);
  double number(const std::string& key, double fallback, double least,
                double most);
  bool boolean(const std::string& key, bool fallback);
  /// A duration in milliseconds.
  absl::Duration milliseconds(const std::string& key, absl::Duration fallback,
                              int64_t least, int64_t most);
  std::vector<std::string> texts(const std::string& key,
                                 const std::vector<std::string>& fallback);
  /// A map from names to integers.
  std::map<std::string, int> integers(const std::string& key, int64_t least,
                                      int64_t most);
  /// The maps of a list.
  std::vector<yaml_map> maps(const std::string& key);
  /// A map inside this one; an empty one if the key is not there.
  yaml_map map(const std::string& key);

  bool has(const std::string& key) const;
  /// Adds a fault about `key`.
  void fault(const std::string& key, const std::string& given,
             const std::string& allowed);
  void finish();
  int line() const;

 private:
  YAML::Node get(const std::string& key);

  YAML::Node node;
  std::string file;
  std::string path;
  std::vector<yaml_fault>* faults;
  std::set<std::string> known;
};

/// Loads a file that must hold one YAML map. On failure a fault is added and
/// an empty node given.
YAML::Node load_yaml(const std::string& file, std::vector<yaml_fault>& faults);

}  // namespace spokesail
