#include "ibismux/feed/source_choice.h"

#include <algorithm>

#include "ibismux/membership/membership_view.h"

namespace ibismux::feed {

SourceChoice::SourceChoice(SourceSettings settings, TimePoint now)
    : settings(settings),
      tree(settings.watchers, settings.fan_out),
      last_contact(now - settings.read_after),
      peers_recent_until(now),
      last_peer_report(now),
      next_question(now),
      pushes_recent_until(now) {}

void SourceChoice::on_view(const membership::MembershipView& view) {
  this->tree.rebuild(view);
  // A daemon that is not part of its own view doesn't know the others yet.
  this->watches = this->tree.watches() || !view.joined;
}

void SourceChoice::on_store_contact(TimePoint now) {
  this->last_contact = std::max(this->last_contact, now);
  this->has_had_source = true;
  this->has_invalid_contacts = false;
  this->probing = false;
}

void SourceChoice::on_peer_contact(Duration age, TimePoint now) {
  this->last_peer_report = now;
  // Peers report ages instead of times, so their clocks don't matter.
  this->last_contact = std::max(this->last_contact, now - age);
  const TimePoint until = now - age + this->settings.max_contact_age;
  if (until < now) {
    return;
  }
  this->has_invalid_contacts = false;
  if (this->peers_recent_until < now) {
    this->peers_recent_since = now;
  }
  this->peers_recent_until = std::max(this->peers_recent_until, until);
}

void SourceChoice::on_push(Duration age, TimePoint now) {
  if (age <= this->settings.expected_contact_age) {
    this->pushes_recent_until = now + this->settings.expected_push_interval;
  }
}

void SourceChoice::on_answer(const std::string& peer, Duration age) {
  if (age <= this->settings.expected_contact_age) {
    this->preferred_peer = peer;
  } else {
    this->on_no_answer(peer);
  }
}

void SourceChoice::on_no_answer(const std::string& peer) {
  if (this->preferred_peer == peer) {
    this->preferred_peer.reset();
  }
}

void SourceChoice::invalidate(TimePoint now) noexcept {
  this->last_contact =
      std::min(this->last_contact, now - this->settings.read_after);
  this->peers_recent_until = std::min(this->peers_recent_until, now);
  this->has_invalid_contacts = true;
}

std::optional<std::string> SourceChoice::tick(TimePoint now) {
  this->choose(now);
  if (!this->should_ask(now) || now < this->next_question) {
    return std::nullopt;
  }
  this->next_question = now + this->settings.ask_interval;
  return this->next_to_ask(now);
}

bool SourceChoice::should_ask(TimePoint now) const noexcept {
  const Duration age = this->age(now);
  // A watcher contacts the store itself every second.
  const bool is_served = this->watches || now <= this->pushes_recent_until;
  return age >= (is_served ? this->settings.max_contact_age
                           : this->settings.ask_after_age);
}

void SourceChoice::choose(TimePoint now) {
  if (this->watches) {
    this->current = Source::kStore;
    return;
  }
  const bool recent = now <= this->peers_recent_until;
  if (this->current == Source::kStore) {
    const bool trusted =
        now - this->peers_recent_since >= this->settings.peer_trust_delay;
    if (recent && (trusted || this->probing || !this->has_had_source)) {
      this->current = Source::kPeers;
      this->has_had_source = true;
      this->probing = false;
    }
  } else if (this->age(now) >= this->own_read_after(now)) {
    this->current = Source::kStore;
    this->peers_recent_since = TimePoint::max();
    // After a suspension the state is as old as the suspension was long, and
    // messages that waited meanwhile seem recent.
    this->probing = this->settings.few_probes && !this->has_invalid_contacts;
  }
}

Duration SourceChoice::own_read_after(TimePoint now) const noexcept {
  const SourceSettings& times = this->settings;
  if (this->is_early_reader()) {
    return times.early_read_after;
  }
  const double place =
      static_cast<double>(this->tree.zone_rank() - this->first_regular_rank()) /
      static_cast<double>(this->tree.zone_size());
  return times.read_after + (this->is_isolated(now)
                                 ? Duration::zero()
                                 : scaled(times.read_spread, place));
}

std::size_t SourceChoice::allowed_readers(TimePoint now) const noexcept {
  const SourceSettings& times = this->settings;
  const Duration elapsed = this->age(now) - times.read_after;
  if (elapsed < Duration::zero()) {
    return this->tree.zones() * times.early_readers;
  }
  const double share =
      std::min(1.0, to_seconds(elapsed) / to_seconds(times.read_spread));
  const auto all = static_cast<double>(this->tree.behind_watchers().size());
  return std::max(this->tree.zones() * times.early_readers,
                  static_cast<std::size_t>(share * all));
}

std::optional<std::string> SourceChoice::next_to_ask(TimePoint now) {
  const auto& watchers = this->tree.entries();
  if (watchers.empty()) {
    return std::nullopt;
  }
  if (this->preferred_peer) {
    return this->preferred_peer;
  }
  // Alternates between watchers and daemons that may have read the store
  // themselves. If the store rejects a part of the hosts, these may include
  // this daemon and all watchers; then only the other readers have newer
  // updates.
  const auto& followers = this->tree.behind_watchers();
  const std::size_t readers =
      std::min(followers.size(), this->allowed_readers(now));
  const std::size_t round_robin_index = this->round_robin_index++;
  if (round_robin_index % 2 == 0 || readers == 0) {
    return watchers[(round_robin_index / 2) % watchers.size()];
  }
  return followers[(round_robin_index / 2) % readers];
}

}  // namespace ibismux::feed
