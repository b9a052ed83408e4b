// End-to-end headers of HTTP messages.
#pragma once

#include "spokesail/platform-adapter.h"

namespace spokesail {

/// Copies the end-to-end headers. Hop-by-hop headers are left out, among them
/// those that the `Connection` header lists.
void copy_end_to_end_headers(const http_fields& from, http_fields& to);

/// Whether the content type is that of server-sent events.
bool is_event_stream(const http_fields& head);

}  // namespace spokesail
