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
  /// Silences servers, or makes them slow, as `body` says; see soak/README.md.
  void set_silence(const nlohmann::json& body);
  void set_slowness(const nlohmann::json& body);
  /// Writes a new version of the configuration, with the changes of all calls.
  void configure();

  fleet_standin& fleet;
  nlohmann::json keys = {"key-1", "key-2"};
  /// Settings that differ from the sample configuration.
  nlohmann::json changes = nlohmann::json::object();
};

}  // namespace spokesail::standin
