// Sound servers may fall silent for some seconds; their answers must not be
// ended meanwhile.
//
// Guards against attempts that are given up for silence although no other
// server can take the request: callers' connections were reset in the middle of
// answers that would have gone on a second later.
#include <atomic>

#include "node-fixture.h"

namespace spokesail {
namespace {

constexpr int streams = 12;
constexpr int calls = 8;

/// Events come slowly enough for the silence to begin in the middle of streams.
constexpr absl::Duration slow_events = absl::Milliseconds(60);
constexpr absl::Duration before_silence = absl::Milliseconds(250);
constexpr absl::Duration long_silence = absl::Milliseconds(1300);

/// One node in front of three groups of two hosts.
class silent_servers_test : public node_test {
 protected:
  void start_fleet() {
    this->start(1, 3);
    this->on_loop(
        [this] { return this->fleet->faults.event_interval = slow_events; });
  }

  /// Silences the servers of a service; all if `servers` is empty.
  void silence(const std::string& service, const std::set<std::string>& servers,
               absl::Duration length) {
    this->on_loop([=, this] {
      auto& silence = this->fleet->faults.silence;
      silence.service = service;
      silence.servers = servers;
      silence.until = absl::Now() + length;
      return silence.active = true;
    });
  }

  /// Heads of the groups that serve.
  std::vector<std::string> heads() {
    return this->on_loop([this] {
      std::vector<std::string> out;
      for (const auto& group : this->nodes[0]->context().groups("lm")) {
        if (group.serving()) out.push_back(group.head());
      }
      return out;
    });
  }

  /// Sends requests at once and returns how many were answered completely.
  /// `during` runs shortly after they were sent.
  template <typename Request, typename Complete, typename During>
  int count_answered(int count, Request request, Complete complete,
                     During during) {
    std::atomic<int> answered = 0;
    std::vector<std::thread> callers;
    for (int i = 0; i < count; ++i) {
      callers.emplace_back([&, i] {
        const auto answer = this->send_request(request(i));
        answered += answer.result_int() == 200 && complete(answer.body());
      });
    }
    absl::SleepFor(before_silence);
    during();
    for (auto& caller : callers) caller.join();
    return answered;
  }

  template <typename During>
  int count_whole_streams(During during) {
    return this->count_answered(
        streams,
        [](int i) { return stream_request(absl::StrCat("stream-", i)); },
        [](const std::string& body) { return event_ids(body) == all_ids(); },
        during);
  }
};

TEST_F(silent_servers_test, ends_no_stream_while_all_servers_are_silent) {
  this->start_fleet();
  const int whole = this->count_whole_streams(
      [this] { this->silence("lm", {}, long_silence); });
  EXPECT_EQ(whole, streams);
}

TEST_F(silent_servers_test, ends_no_stream_while_one_group_after_another_is) {
  this->start_fleet();
  const auto heads = this->heads();
  const int whole = this->count_whole_streams([&, this] {
    for (int i = 0; i < 4; ++i) {
      this->silence("",
                    {heads[i % heads.size()], heads[(i + 1) % heads.size()]},
                    long_silence);
      absl::SleepFor(long_silence / 4);
    }
  });
  EXPECT_EQ(whole, streams);
}

TEST_F(silent_servers_test, ends_no_stream_that_may_not_be_sent_again) {
  this->retries = {0, absl::Seconds(10), 0};
  this->start_fleet();
  const auto heads = this->heads();
  const int whole = this->count_whole_streams(
      [&, this] { this->silence("", {heads[0]}, long_silence); });
  EXPECT_EQ(whole, streams);
}

TEST_F(silent_servers_test, ends_no_call_that_may_not_be_sent_again) {
  this->retries = {0, absl::Seconds(10), 0};
  this->start_fleet();
  this->silence("status", {}, 2 * long_silence);
  const int answered = this->count_answered(
      calls,
      [](int i) { return request(absl::StrCat("call-", i), "/look/now"); },
      [](const std::string&) { return true; }, [] {});
  EXPECT_EQ(answered, calls);
}

}  // namespace
}  // namespace spokesail
