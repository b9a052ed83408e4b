// HTTP server for callers and operators.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "metrics.h"
#include "spokesail/backend.h"
#include "spokesail/effect.h"
#include "spokesail/event.h"
#include "spokesail/settings.h"

namespace spokesail {

/// Accepts requests, posts them as events, and executes the reducer's
/// decisions: attempts, cancellations and outcomes. The reducer never sees the
/// bytes of responses.
class entry_server {
 public:
  virtual ~entry_server() = default;
  /// Listens until `stop`; false if the address cannot be bound.
  virtual bool listen() = 0;
  virtual void stop() = 0;
  /// Whether the server accepts connections.
  virtual bool running() const = 0;

  virtual void start(const attempt_start& start) = 0;
  virtual void cancel(const std::string& attempt) = 0;
  virtual void finish(uint64_t request, const outcome& result) = 0;
  virtual void answer_status(uint64_t token, const std::string& text) = 0;
  virtual void set_ready(bool ready) = 0;
};

/// Creates the server. `post` passes events to the reducer.
std::unique_ptr<entry_server> make_entry_server(
    const settings& s, backend_client& backend, metrics& m,
    std::function<void(event_body)> post);

}  // namespace spokesail
