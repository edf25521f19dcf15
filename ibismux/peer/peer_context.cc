#include "ibismux/peer/peer_context.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace ibismux::peer {

namespace {

/// How many refused peers are remembered, so that strangers can't fill the
/// memory.
constexpr std::size_t kMostRefusals = 1024;

}  // namespace

PeerContext::PeerContext(PeerSettings settings,
                         Incarnation self,
                         const RcuCell<membership::MembershipView>& view,
                         prometheus::Registry& registry)
    : settings(std::move(settings)),
      self(std::move(self)),
      metrics(registry),
      seeds(std::make_shared<const Seeds>()),
      view(view) {}

Introduction PeerContext::introduction() const {
  Introduction introduction;
  introduction.cluster = this->settings.cluster;
  introduction.self = this->self;
  introduction.zone = this->settings.zone;
  return introduction;
}

std::optional<PeerEndpoint> PeerContext::address_of(
    const std::string& member) const {
  const auto members = this->view.read();
  const auto found =
      std::lower_bound(members->members.begin(), members->members.end(), member,
                       [](const membership::Member& row,
                          const std::string& name) { return row.name < name; });
  if (found != members->members.end() && found->name == member &&
      found->port != 0) {
    return PeerEndpoint{found->address, found->port};
  }
  const auto known = this->seeds.read();
  const auto seed = known->find(member);
  if (seed != known->end()) {
    return seed->second;
  }
  return parse_endpoint(member);
}

void PeerContext::note_refusal(const std::string& from,
                               const std::string& reason) {
  this->metrics.handshake_refused();
  std::lock_guard lock(this->refusal_mutex);
  if (this->refusals.size() >= kMostRefusals) {
    this->refusals.clear();
  }
  std::string& last = this->refusals[from];
  if (last != reason) {
    last = reason;
    LOG(WARNING) << "event=peer_refused peer=" << from << " reason=\"" << reason
                 << "\"";
  }
}

void PeerContext::notify_lost(const Incarnation& who) const {
  for (const auto& handler : this->lost_handlers) {
    handler(who);
  }
}

}  // namespace ibismux::peer
