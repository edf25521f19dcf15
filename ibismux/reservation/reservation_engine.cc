#include "ibismux/reservation/reservation_engine.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "ibismux/membership/membership_view.h"
#include "ibismux/peer/peer_network.h"
#include "ibismux/release/release.h"
#include "ibismux/reservation/leaf_runner.h"

namespace ibismux::reservation {

namespace {

/// Call ids of reservations must never meet those of queries, whose prefix is
/// the incarnation's number itself.
std::uint64_t call_origin(std::uint64_t incarnation) {
  constexpr std::uint64_t kSeed = 0x7265736572766174ULL;
  return XXH3_64bits_withSeed(&incarnation, sizeof(incarnation), kSeed);
}

}  // namespace

class ReservationEngine::Impl {
 public:
  Impl(const RcuCell<release::Release>& releases,
       gateway::LeafCaller& leafs,
       peer::PeerNetwork& peers)
      : releases(releases),
        runner(call_origin(peers.self().number), releases, leafs) {}

  Task<Result<ReservationAnswer>> reserve(ReservationRequest request) {
    const auto release = this->releases.read();
    const auto service = release->services.find(request.service);
    if (service == release->services.end()) {
      co_return fail(ErrorKind::kNotFound, "no such service");
    }
    const auto allowed = service->second->spec.deadline;
    const TimePoint deadline =
        request.received +
        std::min(request.deadline.value_or(allowed), allowed);
    if (!request.key.empty()) {
      co_return fail(ErrorKind::kNotReady, "keys are not served yet");
    }
    co_return co_await this->runner.run(std::move(request), deadline);
  }

 private:
  const RcuCell<release::Release>& releases;
  LeafRunner runner;
};

ReservationEngine::ReservationEngine(
    IoPool& /*pool*/,
    const RcuCell<release::Release>& releases,
    const RcuCell<membership::MembershipView>& /*members*/,
    gateway::LeafCaller& leafs,
    peer::PeerNetwork& peers,
    platform::ObjectStore& /*store*/,
    prometheus::Registry& /*metrics*/)
    : impl(std::make_shared<Impl>(releases, leafs, peers)) {}

ReservationEngine::~ReservationEngine() = default;

Task<Result<ReservationAnswer>> ReservationEngine::reserve(
    ReservationRequest request) {
  const auto self = this->impl;
  co_return co_await self->reserve(std::move(request));
}

Task<Result<ReservationAnswer>> ReservationEngine::ask(std::string /*service*/,
                                                       std::string /*key*/,
                                                       TimePoint /*deadline*/) {
  co_return fail(ErrorKind::kNotReady, "keys are not served yet");
}

std::string ReservationEngine::issue_ticket() {
  return {};
}

}  // namespace ibismux::reservation
