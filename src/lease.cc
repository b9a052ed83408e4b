#include "spokesail/lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace spokesail {

using json = nlohmann::json;

void to_json(json& j, const lease_record& r) {
  j = {{"holder", r.holder}, {"fence", r.fence}, {"renewals", r.renewals}};
}

void from_json(const json& j, lease_record& r) {
  r.holder = j.value("holder", "");
  r.fence = j.value("fence", int64_t{0});
  r.renewals = j.value("renewals", int64_t{0});
}

namespace {

/// Holder of a lease whose entry cannot be parsed. Somebody may hold it, so it
/// has to expire like any other before it is taken over.
constexpr char unknown_holder[] = "?";

/// Whether a value names a holder; an empty name is a released lease.
bool is_holder(const json& value) {
  if (!value.is_string()) return false;
  const auto& name = value.get_ref<const std::string&>();
  return name.empty() || is_plain_name(name);
}

/// Whether a value is a number that can be counted on from.
bool is_count(const json& value) {
  constexpr int64_t max_count = int64_t{1} << 53;
  return value.is_number_integer() && value >= 0 && value <= max_count;
}

/// Nothing if the text is not a lease record.
std::optional<lease_record> read_record(const std::string& body) {
  const json spec = json::parse(body, nullptr, false);
  if (!spec.is_object()) return std::nullopt;
  const auto holder = spec.find("holder");
  if (holder != spec.end() && !is_holder(*holder)) return std::nullopt;
  for (const char* name : {"fence", "renewals"}) {
    const auto number = spec.find(name);
    if (number != spec.end() && !is_count(*number)) return std::nullopt;
  }
  return spec.get<lease_record>();
}

}  // namespace

void lease::observe(const object& seen, absl::Time now, double random_unit) {
  if (this->known && seen.version <= this->base.version) return;
  this->adopt_version(seen, now, random_unit);
}

void lease::adopt_version(const object& seen, absl::Time now,
                          double random_unit) {
  const auto parsed = read_record(seen.body);
  // Fencing numbers never go back, whatever another writer has left.
  const int64_t fence = this->record.fence;
  this->known = true;
  this->base = seen;
  if (parsed) {
    this->record = *parsed;
    this->record.fence = std::max(fence, parsed->fence);
  } else {
    this->record.holder = unknown_holder;
  }
  this->takeover_at = now + random_unit * this->timing.takeover_jitter;
  // A released lease need not expire first.
  if (!this->record.holder.empty()) this->takeover_at += this->timing.duration;
  if (this->record.holder != this->self) {
    this->valid_until = absl::InfinitePast();
    this->releasing = false;
  }
}

void lease::observe_absent(absl::Time now, double random_unit) {
  if (this->known) return;
  this->known = true;
  this->base = object{{kinds::lease, this->key_name}, 0, {}, false};
  this->takeover_at = now + random_unit * this->timing.takeover_jitter;
}

bool lease::unreadable() const { return this->record.holder == unknown_holder; }

void lease::release() {
  if (this->record.holder == this->self) this->releasing = true;
  this->valid_until = absl::InfinitePast();
}

std::optional<platform_call> lease::due(absl::Time now,
                                        const std::string& write_id) {
  if (this->call_pending || !this->known) return std::nullopt;
  if (!this->write) {
    const bool is_holder = this->record.holder == this->self && this->held(now);
    const bool too_early =
        is_holder ? now < this->renew_at : now < this->takeover_at;
    if (too_early && !this->releasing) return std::nullopt;
    lease_record next = this->record;
    next.holder = this->releasing ? "" : this->self;
    next.renewals++;
    if (!is_holder && !this->releasing) next.fence++;
    this->write = make_write(this->base, json(next).dump(), write_id);
    this->write_sent = now;
  }
  this->call_pending = true;
  return next_call(*this->write);
}

void lease::on_answer(const platform_answer& answer, absl::Time now,
                      double random_unit) {
  this->call_pending = false;
  if (!this->write) return;
  this->write = apply_answer(*this->write, answer);
  if (!is_finished(*this->write)) return;
  const bool applied = this->write->state == write_state::applied;
  const object found = this->write->found;
  this->write.reset();
  if (!applied) {
    this->valid_until = absl::InfinitePast();
    if (found.version > this->base.version) {
      this->adopt_version(found, now, random_unit);
    }
    return;
  }
  if (found.version > this->base.version) {
    this->adopt_version(found, now, random_unit);
  }
  if (this->releasing) {
    // If the applied write was a renewal sent before, the release follows.
    this->releasing = this->record.holder == this->self;
    return;
  }
  // Another candidate may have taken over between our write and this answer.
  if (this->record.holder != this->self) return;
  this->valid_until =
      this->write_sent + this->timing.duration - this->timing.margin;
  this->renew_at = this->write_sent + this->timing.renew_period;
}

}  // namespace spokesail
