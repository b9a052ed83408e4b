// The bookkeeping of a relay.
#include "spokesail/change-relay.h"

#include <algorithm>

namespace spokesail {
namespace {

/// Who asked this long ago is not told any more.
constexpr absl::Duration follower_time = absl::Seconds(2);

/// A message that its follower does not know after this long is lost: 0.1 MB
/// takes a link of 20 Mbit/s 40 ms, and there are several peers.
constexpr absl::Duration resend_time = absl::Milliseconds(500);

}  // namespace

int64_t change_sender::on_question(const std::string& follower, int64_t known,
                                   absl::Time now) {
  follower_state& f = this->followers[follower];
  f.asked = now;
  auto& waiting = f.unconfirmed;
  while (!waiting.empty() && waiting.front().to <= known) waiting.pop_front();
  // The time of each message counts by itself. Counted from the last one, it
  // never ran out while changes went on, and whoever had lost one message
  // learned of nothing more: after 9 s in the test that changes go on for.
  const bool on_its_way = !waiting.empty() && waiting.front().from <= known &&
                          now - waiting.front().at < resend_time;
  if (on_its_way) return f.told.servers;
  waiting.clear();
  return known;
}

void change_sender::on_told(const std::string& follower, int64_t from,
                            int64_t to, int64_t config, absl::Time now) {
  follower_state& f = this->followers[follower];
  // Who knows more than this relay stays ahead of it.
  f.told = {std::max(from, to), config};
  if (to > from) f.unconfirmed.push_back({from, to, now});
}

std::vector<change_sender::telling> change_sender::due(const state& now_known,
                                                       absl::Time now) {
  std::erase_if(this->followers, [&](const auto& item) {
    return now - item.second.asked > follower_time;
  });
  std::vector<telling> out;
  for (const auto& [name, f] : this->followers) {
    const bool behind =
        f.told.servers < now_known.servers || f.told.config < now_known.config;
    if (behind) out.push_back({name, f.told.servers});
  }
  return out;
}

}  // namespace spokesail
