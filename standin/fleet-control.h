// Control calls by which a soak test changes and reads the small fleet.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "fleet-standin.h"

namespace spokesail::standin {

/// Handles control calls. It must be used on the fleet's event loop.
class fleet_control {
 public:
  explicit fleet_control(fleet_standin& fleet) : fleet(fleet) {}

  /// Executes a call and returns its response; null if the call is unknown.
  nlohmann::json handle(const std::string& call, const nlohmann::json& body);

 private:
  /// The runs of requests, breaches of the rules of groups, and the servers
  /// that run.
  nlohmann::json record() const;
  /// Sets the faults given in `body`; others are unchanged.
  nlohmann::json set_faults(const nlohmann::json& body);

  fleet_standin& fleet;
};

}  // namespace spokesail::standin
