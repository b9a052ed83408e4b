// What passes from one end of a request to the other in HTTP heads.
#pragma once

#include "spokesail/platform-adapter.h"

namespace spokesail {

/// Copies the headers that are meant for the other end. Those that the
/// `Connection` header names are for this hop only.
void copy_end_to_end(const http_fields& from, http_fields& to);

/// Whether a head announces a stream of server-sent events.
bool is_event_stream(const http_fields& head);

}  // namespace spokesail
