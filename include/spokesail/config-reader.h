// Reads a directory of YAML files as one configuration.
#pragma once

#include <boost/leaf.hpp>
#include <string>
#include <vector>

#include "spokesail/config.h"
#include "spokesail/settings.h"

namespace spokesail {

/// Reads every `*.yaml` file of `directory`, sorted by name, as parts of one
/// configuration and validates the whole. Fails with a `yaml_error` that holds
/// all faults.
boost::leaf::result<configuration> read_config(const std::string& directory);

/// Lists the differences between two configurations, one line each.
std::vector<std::string> config_diff(const configuration& from,
                                     const configuration& to);

}  // namespace spokesail
