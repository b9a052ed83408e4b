// What a soak asks of the small fleet, by name.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "fleet-standin.h"

namespace spokesail::standin {

/// Carries calls out on the fleet's loop.
class fleet_steering {
 public:
  explicit fleet_steering(fleet_standin& fleet) : fleet(fleet) {}

  /// The answer to one call; null if there is no such call.
  nlohmann::json carry_out(const std::string& call, const nlohmann::json& body);

 private:
  /// What has run, what broke the rules of groups, and who lives.
  nlohmann::json record() const;
  /// Sets the faults that `body` names; the others stay.
  nlohmann::json set_faults(const nlohmann::json& body);

  fleet_standin& fleet;
};

}  // namespace spokesail::standin
