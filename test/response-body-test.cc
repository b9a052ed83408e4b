// When the body of a response counts as whole.
#include "spokesail/response-body.h"

#include <gtest/gtest.h>

namespace spokesail {
namespace {

constexpr body_framing framings[] = {body_framing::none, body_framing::length,
                                     body_framing::chunked,
                                     body_framing::until_close};

body_evidence stream(body_framing framing, body_end end) {
  body_evidence out;
  out.framing = framing;
  out.end = end;
  out.event_stream = true;
  out.events_seen = true;
  return out;
}

// Guards against connections that failed and bodies that go on being taken for
// whole.
TEST(response_body, is_not_whole_before_an_end) {
  for (const body_framing framing : framings) {
    for (const body_end end : {body_end::open, body_end::failed}) {
      body_evidence plain;
      plain.framing = framing;
      plain.end = end;
      EXPECT_NE(reason_incomplete(plain), nullptr);
      EXPECT_NE(reason_incomplete(stream(framing, end)), nullptr);
    }
  }
}

// Guards against a mend that refuses bodies that end with their connection.
TEST(response_body, is_whole_after_an_end_without_more_evidence) {
  for (const body_framing framing : framings) {
    const body_end end = framing == body_framing::until_close
                             ? body_end::closed
                             : body_end::framed;
    body_evidence plain;
    plain.framing = framing;
    plain.end = end;
    EXPECT_EQ(reason_incomplete(plain), nullptr);
    EXPECT_EQ(reason_incomplete(stream(framing, end)), nullptr);
  }
}

// Guards against the end of a proxy being taken for that of a response.
TEST(response_body, is_not_whole_after_a_close_that_is_not_the_servers) {
  body_evidence plain;
  plain.framing = body_framing::until_close;
  plain.end = body_end::closed;
  plain.close_confirmed = false;
  EXPECT_NE(reason_incomplete(plain), nullptr);
  plain.framing = body_framing::length;
  plain.end = body_end::framed;
  EXPECT_EQ(reason_incomplete(plain), nullptr);
}

// Guards against half an event at the end of a stream in any framing.
TEST(response_body, is_not_whole_inside_an_event) {
  for (const body_framing framing : framings) {
    for (const body_end end : {body_end::framed, body_end::closed}) {
      body_evidence cut = stream(framing, end);
      cut.unfinished_bytes = 1;
      EXPECT_NE(reason_incomplete(cut), nullptr);
    }
  }
}

// Guards against a server that ends before its first event and is shown as a
// stream of no events.
TEST(response_body, is_not_whole_without_an_event_or_a_framing) {
  body_evidence empty = stream(body_framing::until_close, body_end::closed);
  empty.events_seen = false;
  EXPECT_NE(reason_incomplete(empty), nullptr);
  empty.resumes = true;
  EXPECT_EQ(reason_incomplete(empty), nullptr);
  empty.resumes = false;
  empty.framing = body_framing::chunked;
  empty.end = body_end::framed;
  EXPECT_EQ(reason_incomplete(empty), nullptr);
}

}  // namespace
}  // namespace spokesail
