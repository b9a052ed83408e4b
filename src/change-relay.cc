// The bookkeeping of a relay.
#include "spokesail/change-relay.h"

namespace spokesail {
namespace {

/// Who asked this long ago is not told any more.
constexpr absl::Duration follower_time = absl::Seconds(2);

/// A peer that asks for changes which it was told of is told again after this
/// long: 0.1 MB takes a link of 20 Mbit/s 40 ms, and there are several peers.
constexpr absl::Duration resend_time = absl::Milliseconds(500);

}  // namespace

int64_t change_sender::on_question(const std::string& follower, int64_t known,
                                   absl::Time now) {
  follower_state& f = this->followers[follower];
  f.asked = now;
  // What it was told a moment ago is still on its way.
  const bool on_its_way =
      f.told.servers > known && now - f.told_at < resend_time;
  return on_its_way ? f.told.servers : known;
}

void change_sender::on_told(const std::string& follower, int64_t from,
                            const state& now_known, absl::Time now) {
  follower_state& f = this->followers[follower];
  f.told = now_known;
  if (now_known.servers > from) f.told_at = now;
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
