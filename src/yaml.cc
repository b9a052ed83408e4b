#include "yaml.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <limits>

namespace spokesail {
namespace {

std::string describe_value(const YAML::Node& node) {
  if (!node.IsDefined() || node.IsNull()) return "nothing";
  if (node.IsScalar()) return node.Scalar();
  return node.IsMap() ? "a map" : "a list";
}

bool valid_address(const std::string& text) {
  const std::vector<std::string> parts = absl::StrSplit(text, ':');
  if (parts.size() != 2) return false;
  const std::vector<std::string> octets = absl::StrSplit(parts[0], '.');
  int port = 0;
  if (octets.size() != 4 || !absl::SimpleAtoi(parts[1], &port)) return false;
  for (const auto& octet : octets) {
    int value = 0;
    if (!absl::SimpleAtoi(octet, &value) || value < 0 || value > 255) {
      return false;
    }
  }
  return port > 0 && port <= std::numeric_limits<uint16_t>::max();
}

}  // namespace

yaml_map::yaml_map(const YAML::Node& map_node, std::string file_name,
                   std::string key_path, std::vector<yaml_fault>& found)
    : node(map_node),
      file(std::move(file_name)),
      path(std::move(key_path)),
      faults(&found) {}

int yaml_map::line() const {
  return this->node.IsDefined() ? this->node.Mark().line + 1 : 0;
}

void yaml_map::add_fault(const std::string& key, const std::string& given,
                         const std::string& allowed) {
  int at = this->line();
  if (this->node.IsMap() && this->node[key].IsDefined()) {
    at = this->node[key].Mark().line + 1;
  }
  const std::string full_path =
      this->path.empty() ? key : this->path + "." + key;
  this->faults->push_back({this->file, at, full_path, given, allowed});
}

bool yaml_map::has(const std::string& key) const {
  return this->node.IsMap() && this->node[key].IsDefined();
}

YAML::Node yaml_map::get(const std::string& key) {
  this->known_keys.insert(key);
  if (!this->has(key)) return YAML::Node(YAML::NodeType::Undefined);
  return this->node[key];
}

std::string yaml_map::text(const std::string& key,
                           const std::string& fallback) {
  const YAML::Node value = this->get(key);
  if (!value.IsDefined()) return fallback;
  if (value.IsScalar()) return value.Scalar();
  this->add_fault(key, describe_value(value), "a string");
  return fallback;
}

std::string yaml_map::name(const std::string& key) {
  std::string value = this->text(key, "");
  const bool valid =
      value.find_first_not_of(
          "abcdefghijklmnopqrstuvwxyz"
          "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == std::string::npos;
  if (value.empty() || !valid) {
    this->add_fault(key, value.empty() ? "nothing" : value,
                    "a name of letters, digits, '-', '_' and '.'");
  }
  return value;
}

std::string yaml_map::address(const std::string& key, bool required) {
  std::string value = this->text(key, "");
  if (value.empty() && !required) return value;
  if (!valid_address(value)) {
    this->add_fault(key, value.empty() ? "nothing" : value,
                    "an IP number and port, such as 127.0.0.1:8080");
  }
  return value;
}

int64_t yaml_map::integer(const std::string& key, int64_t fallback,
                          int64_t min_value, int64_t max_value) {
  const YAML::Node value = this->get(key);
  if (!value.IsDefined()) return fallback;
  int64_t parsed = 0;
  const bool ok = value.IsScalar() && absl::SimpleAtoi(value.Scalar(), &parsed);
  if (ok && parsed >= min_value && parsed <= max_value) return parsed;
  this->add_fault(
      key, describe_value(value),
      absl::StrCat("an integer from ", min_value, " to ", max_value));
  return fallback;
}

double yaml_map::number(const std::string& key, double fallback,
                        double min_value, double max_value) {
  const YAML::Node value = this->get(key);
  if (!value.IsDefined()) return fallback;
  double parsed = 0;
  const bool ok = value.IsScalar() && absl::SimpleAtod(value.Scalar(), &parsed);
  if (ok && parsed >= min_value && parsed <= max_value) return parsed;
  this->add_fault(key, describe_value(value),
                  absl::StrCat("a number from ", min_value, " to ", max_value));
  return fallback;
}

bool yaml_map::boolean(const std::string& key, bool fallback) {
  const YAML::Node value = this->get(key);
  if (!value.IsDefined()) return fallback;
  bool parsed = false;
  if (value.IsScalar() && absl::SimpleAtob(value.Scalar(), &parsed)) {
    return parsed;
  }
  this->add_fault(key, describe_value(value), "true or false");
  return fallback;
}

absl::Duration yaml_map::milliseconds(const std::string& key,
                                      absl::Duration fallback,
                                      int64_t min_value, int64_t max_value) {
  return absl::Milliseconds(this->integer(
      key, absl::ToInt64Milliseconds(fallback), min_value, max_value));
}

std::vector<std::string> yaml_map::string_list(
    const std::string& key, const std::vector<std::string>& fallback) {
  const YAML::Node value = this->get(key);
  if (!value.IsDefined()) return fallback;
  std::vector<std::string> all;
  bool ok = value.IsSequence();
  for (size_t i = 0; ok && i < value.size(); i++) {
    ok = value[i].IsScalar();
    if (ok) all.push_back(value[i].Scalar());
  }
  if (ok) return all;
  this->add_fault(key, describe_value(value), "a list of strings");
  return fallback;
}

std::map<std::string, int> yaml_map::integers(const std::string& key,
                                              int64_t min_value,
                                              int64_t max_value) {
  std::map<std::string, int> all;
  yaml_map inner = this->map(key);
  if (!inner.node.IsMap()) return all;
  for (const auto& pair : inner.node) {
    const std::string name = pair.first.Scalar();
    all[name] = static_cast<int>(inner.integer(name, 0, min_value, max_value));
  }
  return all;
}

std::vector<yaml_map> yaml_map::maps(const std::string& key) {
  const YAML::Node value = this->get(key);
  std::vector<yaml_map> all;
  if (!value.IsDefined()) return all;
  if (!value.IsSequence()) {
    this->add_fault(key, describe_value(value), "a list of maps");
    return all;
  }
  for (size_t i = 0; i < value.size(); i++) {
    std::string at = absl::StrCat(this->path.empty() ? "" : this->path + ".",
                                  key, "[", i, "]");
    if (!value[i].IsMap()) {
      this->add_fault(key, describe_value(value[i]), "a list of maps");
      continue;
    }
    all.emplace_back(value[i], this->file, std::move(at), *this->faults);
  }
  return all;
}

yaml_map yaml_map::map(const std::string& key) {
  const YAML::Node value = this->get(key);
  std::string at = this->path.empty() ? key : this->path + "." + key;
  if (value.IsDefined() && !value.IsMap()) {
    this->add_fault(key, describe_value(value), "a map");
    return {YAML::Node(), this->file, std::move(at), *this->faults};
  }
  return {value, this->file, std::move(at), *this->faults};
}

void yaml_map::check_unknown_keys() {
  if (!this->node.IsMap()) return;
  std::string allowed;
  for (const auto& key : this->known_keys) {
    absl::StrAppend(&allowed, allowed.empty() ? "" : ", ", key);
  }
  for (const auto& pair : this->node) {
    const std::string key = pair.first.IsScalar() ? pair.first.Scalar() : "?";
    if (this->known_keys.count(key) != 0) continue;
    const std::string full_path =
        this->path.empty() ? key : this->path + "." + key;
    this->faults->push_back({this->file, pair.first.Mark().line + 1, full_path,
                             "an unknown key", "one of " + allowed});
  }
}

YAML::Node load_yaml(const std::string& file, std::vector<yaml_fault>& faults) {
  try {
    YAML::Node node = YAML::LoadFile(file);
    if (node.IsMap()) return node;
    faults.push_back({file, 1, "", describe_value(node), "a map"});
  } catch (const YAML::ParserException& e) {
    faults.push_back({file, e.mark.line + 1, "", e.msg, "valid YAML"});
  } catch (const YAML::BadFile&) {
    faults.push_back({file, 0, "", "an unreadable file", "a YAML file"});
  }
  return {};
}

std::string describe(const yaml_fault& error) {
  std::string text = error.file;
  if (error.line > 0) absl::StrAppend(&text, ":", error.line);
  absl::StrAppend(&text, ": ");
  if (!error.key.empty()) absl::StrAppend(&text, error.key, ": ");
  absl::StrAppend(&text, "given ", error.given, ", allowed: ", error.allowed);
  return text;
}

}  // namespace spokesail
