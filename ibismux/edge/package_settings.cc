#include "ibismux/edge/package_settings.h"

#include <chrono>
#include <random>

#include "ibismux/edge/endpoint.h"

namespace ibismux::edge {

namespace {

using std::chrono::milliseconds;

// A connection to the store whose other side acknowledges nothing for so long
// is lost. Leafs that leave take requests for three seconds more.
constexpr std::chrono::seconds kStoreSilence{2};
// Between probes of a store that is down. Each daemon that starts meanwhile
// refuses everything until its first answer.
constexpr milliseconds kLongestBackoff{250};
// Extra arrivals stay below what services bear, since windows of daemons and
// services don't begin together.
constexpr double kRepeatSafety = 0.85;
// How long a daemon leaves it to the watchers to read the store when the whole
// fleet starts for the first time. Callers come ten seconds later; daemons have
// met by their contacts after five.
constexpr milliseconds kFirstStartPatience{6000};
constexpr milliseconds kFirstStartSpread{1500};

}  // namespace

std::uint64_t draw() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

Duration first_start_patience() {
  const auto spread = static_cast<std::uint64_t>(kFirstStartSpread.count());
  return kFirstStartPatience + milliseconds(draw() % spread);
}

store::PlatformSettings store_settings(const EdgeSettings& settings) {
  const peer::PeerEndpoint endpoint = endpoint_of(settings.store_endpoint);
  store::PlatformSettings store;
  store.address = endpoint.address;
  store.port = endpoint.port;
  store.silence_limit = kStoreSilence;
  store.members = settings.hosts;
  store.budget.per_second = {settings.fleet_reads_per_second,
                             settings.fleet_writes_per_second,
                             settings.fleet_reads_per_second};
  store.health.longest_backoff = kLongestBackoff;
  return store;
}

dispatch::DispatchSettings dispatch_settings(const EdgeSettings& settings) {
  dispatch::DispatchSettings dispatch;
  dispatch.member = settings.member;
  dispatch.zone = settings.zone;
  dispatch.zone_regions = settings.zone_regions;
  dispatch.repeat_share = settings.repeat_ratio * kRepeatSafety;
  dispatch.repeat_slack = settings.repeat_slack;
  dispatch.hosts = settings.hosts;
  dispatch.remote_cost = settings.remote_cost;
  dispatch.policy = settings;
  return dispatch;
}

Fleet::Settings fleet_settings(const EdgeSettings& settings) {
  return {settings.member, settings.zone, settings.peer_endpoint,
          settings.link_mbps};
}

eventlog::EventLogSettings log_settings(const EdgeSettings& settings) {
  eventlog::EventLogSettings log;
  log.host = settings.member;
  log.incarnation = draw() >> 16;
  log.lines_per_second = {static_cast<double>(settings.log_ordinary),
                          static_cast<double>(settings.log_failures),
                          static_cast<double>(settings.log_beliefs)};
  return log;
}

}  // namespace ibismux::edge
