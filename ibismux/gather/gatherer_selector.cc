#include "ibismux/gather/gatherer_selector.h"

#include <algorithm>
#include <tuple>

namespace ibismux::gather {

namespace {

// A peer without an offer for this time, and without queries in flight, is
// removed.
constexpr std::chrono::seconds kStaleAfter{60};

}  // namespace

void GathererSelector::on_offer(const std::string& member,
                                std::uint64_t sequence,
                                std::size_t room,
                                bool reads_customer,
                                TimePoint now) {
  Gatherer& gatherer = this->gatherers[member];
  gatherer.offer = sequence;
  gatherer.room = room;
  gatherer.reads_customer = reads_customer;
  gatherer.is_distant = false;
  gatherer.offered_at = now;
  this->remove_stale(now);
}

void GathererSelector::on_distant_offer(const std::string& member,
                                        std::uint64_t sequence,
                                        std::size_t room,
                                        Duration round_trip,
                                        TimePoint now) {
  this->on_offer(member, sequence, room, true, now);
  Gatherer& gatherer = this->gatherers[member];
  gatherer.is_distant = true;
  gatherer.round_trip.add(round_trip);
}

bool GathererSelector::is_eligible(const Gatherer& gatherer,
                                   const Needs& needs,
                                   TimePoint now) {
  return gatherer.room > 0 &&
         (gatherer.reads_customer || !needs.has_customer) &&
         !(gatherer.is_distant && needs.stays_in_zone) &&
         now - gatherer.offered_at <= kOfferLifetime &&
         now >= gatherer.backoff_until;
}

bool GathererSelector::has_candidate(const Needs& needs, TimePoint now) const {
  return std::any_of(this->gatherers.begin(), this->gatherers.end(),
                     [&needs, now](const Entry& entry) {
                       return is_eligible(entry.second, needs, now);
                     });
}

std::optional<GathererSelector::Selection> GathererSelector::select(
    const Needs& needs,
    TimePoint now) {
  Entry* best = nullptr;
  const auto rank = [this](const Entry& entry) {
    return std::tuple(entry.second.is_distant, entry.second.in_flight,
                      entry.first == this->last_selected);
  };
  for (Entry& entry : this->gatherers) {
    if (is_eligible(entry.second, needs, now) &&
        (!best || rank(entry) < rank(*best))) {
      best = &entry;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  --best->second.room;
  ++best->second.in_flight;
  this->last_selected = best->first;
  const Gatherer& gatherer = best->second;
  return Selection{
      best->first, gatherer.offer,
      gatherer.is_distant ? gatherer.round_trip.value() : Duration::zero()};
}

void GathererSelector::on_taken(const std::string& member) {
  this->gatherers[member].backoff = Duration::zero();
}

void GathererSelector::on_refused(const std::string& member) {
  this->gatherers[member].room = 0;
}

void GathererSelector::on_unresponsive(const std::string& member,
                                       TimePoint now) {
  Gatherer& gatherer = this->gatherers[member];
  gatherer.backoff =
      std::clamp<Duration>(gatherer.backoff * 2, kInitialBackoff, kMaxBackoff);
  gatherer.backoff_until = now + gatherer.backoff;
}

void GathererSelector::on_end(const std::string& member) {
  const auto gatherer = this->gatherers.find(member);
  if (gatherer != this->gatherers.end() && gatherer->second.in_flight > 0) {
    --gatherer->second.in_flight;
  }
}

void GathererSelector::remove_stale(TimePoint now) {
  std::erase_if(this->gatherers, [now](const Entry& entry) {
    return entry.second.in_flight == 0 &&
           now - entry.second.offered_at > kStaleAfter;
  });
}

}  // namespace ibismux::gather
