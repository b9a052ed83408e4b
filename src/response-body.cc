#include "spokesail/response-body.h"

namespace spokesail {

const char* body_framing_name(body_framing framing) {
  switch (framing) {
    case body_framing::none:
      return "none";
    case body_framing::length:
      return "length";
    case body_framing::chunked:
      return "chunked";
    case body_framing::until_close:
      return "until_close";
  }
  return "none";
}

const char* body_end_name(body_end end) {
  switch (end) {
    case body_end::open:
      return "open";
    case body_end::framed:
      return "framed";
    case body_end::closed:
      return "closed";
    case body_end::failed:
      return "failed";
  }
  return "open";
}

const char* reason_incomplete(const body_evidence& body) {
  switch (body.end) {
    case body_end::open:
      return "response has not ended";
    case body_end::failed:
      return "connection failed";
    case body_end::framed:
    case body_end::closed:
      break;
  }
  if (body.end == body_end::closed && !body.close_confirmed) {
    return "connection through a proxy ended";
  }
  if (!body.event_stream) return nullptr;
  if (body.unfinished_bytes > 0) return "stream ended inside an event";
  const bool empty = !body.events_seen && !body.resumes;
  if (body.end == body_end::closed && empty) {
    return "stream ended before its first event";
  }
  return nullptr;
}

}  // namespace spokesail
