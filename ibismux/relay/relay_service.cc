#include "ibismux/relay/relay_service.h"

#include "ibismux/relay/relay_service_impl.h"

namespace ibismux::relay {

RelayService::RelayService(RelaySettings settings,
                           IoPool& pool,
                           peer::PeerNetwork& network,
                           store::ObjectStore& platform,
                           release::ReleaseStore& releases,
                           const RcuCell<membership::MembershipView>& view,
                           prometheus::Registry& registry,
                           release::WorkLoop work)
    : impl(std::make_shared<Impl>(settings,
                                  pool,
                                  network,
                                  platform,
                                  releases,
                                  view,
                                  registry,
                                  work)) {
  this->impl->register_handlers();
}

RelayService::~RelayService() {
  this->stop();
}

void RelayService::start() {
  this->impl->start();
}

void RelayService::stop() {
  this->impl->stop();
}

void RelayService::on_applied(Generation generation) {
  this->impl->on_applied(generation);
}

InForceCount RelayService::in_force(Generation generation) const {
  return this->impl->in_force(generation);
}

std::size_t RelayService::rank() const noexcept {
  return this->impl->rank.load();
}

boost::json::value RelayService::status() const {
  return this->impl->status();
}

}  // namespace ibismux::relay
