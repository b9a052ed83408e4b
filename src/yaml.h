// Validated reading of YAML maps: every key is known, every value in range.
#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "spokesail/settings.h"

namespace spokesail {

/// Reads a YAML map key by key. Faults are collected, not thrown.
class yaml_map {
 public:
  yaml_map(const YAML::Node& node, std::string file, std::string path,
           std::vector<yaml_fault>& faults);

  std::string text(const std::string& key, const std::string& fallback);
  /// A required name of letters, digits, '-', '_' and '.'.
  std::string name(const std::string& key);
  /// An IPv4 address and port, such as 127.0.0.1:8080.
  std::string address(const std::string& key, bool required);
  int64_t integer(const std::string& key, int64_t fallback, int64_t min_value,
                  int64_t max_value);
  double number(const std::string& key, double fallback, double min_value,
                double max_value);
  bool boolean(const std::string& key, bool fallback);
  /// A duration in milliseconds.
  absl::Duration milliseconds(const std::string& key, absl::Duration fallback,
                              int64_t min_value, int64_t max_value);
  std::vector<std::string> string_list(
      const std::string& key, const std::vector<std::string>& fallback);
  /// A map from names to integers.
  std::map<std::string, int> integers(const std::string& key, int64_t min_value,
                                      int64_t max_value);
  /// A list of maps.
  std::vector<yaml_map> maps(const std::string& key);
  /// A nested map; an empty one if the key is missing.
  yaml_map map(const std::string& key);

  bool has(const std::string& key) const;
  /// Adds a fault about `key`.
  void add_fault(const std::string& key, const std::string& given,
                 const std::string& allowed);
  /// Adds a fault for each key of the map that was never read.
  void check_unknown_keys();
  /// Line of the map in the file, counted from 1; 0 if the map is missing.
  int line() const;

 private:
  YAML::Node get(const std::string& key);

  YAML::Node node;
  std::string file;
  std::string path;
  std::vector<yaml_fault>* faults;
  std::set<std::string> known_keys;
};

/// Loads a file that must contain one YAML map. On failure, adds a fault and
/// returns an empty node.
YAML::Node load_yaml(const std::string& file, std::vector<yaml_fault>& faults);

}  // namespace spokesail
