#include "stall-watch.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <vector>

#include "exchange.h"

namespace spokesail {
namespace {

/// A group with streams sends an event every 20 to 60 ms, and reads prompts
/// of several thousand tokens, at some 45 ms each, between them. Silence
/// beyond this is taken for a member that is lost.
constexpr absl::Duration stall_silence = absl::Milliseconds(260);

/// A loop that was itself held up for this long cannot tell.
constexpr absl::Duration own_pause = absl::Milliseconds(150);

}  // namespace

void stall_watch::check(absl::Time now) {
  const bool held_up = now - this->last_check > own_pause;
  this->last_check = now;
  std::map<std::string, absl::Time> heard;
  for (const exchange* ex : this->node.exchanges) {
    if (ex->place.group.empty()) continue;
    absl::Time& at =
        heard.try_emplace(ex->place.group, absl::InfinitePast()).first->second;
    at = std::max(at, ex->last_event);
  }
  const std::vector<exchange*> all(this->node.exchanges.begin(),
                                   this->node.exchanges.end());
  for (exchange* ex : all) {
    if (ex->aborted != abort_cause::none) continue;
    if (now >= ex->limit) {
      ex->abort(abort_cause::time_up);
      continue;
    }
    if (held_up || ex->blocked || ex->place.group.empty()) continue;
    const absl::Duration silence = now - heard[ex->place.group];
    const bool stalled =
        ex->writing ? silence > stall_silence
                    : now > ex->first_event_by && silence > stall_silence;
    if (!stalled) continue;
    this->give_up(*ex, now);
    ex->abort(abort_cause::stalled);
  }
}

void stall_watch::give_up(const exchange& seen, absl::Time now) {
  if (this->node.avoided(seen.place.group)) return;
  this->node.avoid_place(seen.place.group);
  this->node.metrics.count_stall();
  this->node.log.belief(
      "group_silent",
      {{"group", seen.place.group},
       {"head", seen.place.server},
       {"writing", seen.writing ? "1" : "0"},
       {"silent_ms", absl::StrCat(absl::ToInt64Milliseconds(
                         now - std::max(seen.last_event, seen.sent_at)))}},
      now);
  for (const auto& id : seen.place.members) {
    this->node.suspect_server(id);
    if (this->on_suspect) this->on_suspect(id);
  }
}

}  // namespace spokesail
