// Reads a directory of YAML files as one configuration.
#pragma once

#include <boost/leaf.hpp>
#include <string>
#include <vector>

#include "spokesail/config.h"
#include "spokesail/settings.h"

namespace spokesail {

/// Reads every `*.yaml` file of `directory`, in order of name, as parts of one
/// configuration and checks it as a whole. Fails with a `yaml_error` that has
/// all faults.
boost::leaf::result<configuration> read_config(const std::string& directory);

/// The differences between two configurations, one line each.
std::vector<std::string> config_diff(const configuration& from,
                                     const configuration& to);

}  // namespace spokesail
