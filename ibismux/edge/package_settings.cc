#include "ibismux/edge/package_settings.h"

#include <chrono>
#include <random>

#include "ibismux/edge/endpoint.h"

namespace ibismux::edge {

namespace {

using std::chrono::milliseconds;

// A connection to the store is lost if the other side acknowledges nothing for
// this long. The limit is below the three seconds for which a leaving leaf
// still takes requests.
constexpr std::chrono::seconds kStoreSilenceLimit{2};
// Longest pause between probes of a store that is down. A daemon that starts
// during the outage refuses all requests until the store first answers.
constexpr milliseconds kMaxBackoff{250};
// Keeps repeats below the share that services tolerate, because the time
// windows of daemons and services don't begin at the same time.
constexpr double kRepeatSafetyFactor = 0.85;
// How long a daemon waits for the watchers to read the store when the whole
// fleet starts for the first time. Daemons have discovered each other through
// their contacts after five seconds, and callers connect after ten.
constexpr milliseconds kFirstStartReadDelay{6000};
constexpr milliseconds kFirstStartJitter{1500};

}  // namespace

std::uint64_t random_number() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

Duration first_start_read_delay() {
  const auto jitter = static_cast<std::uint64_t>(kFirstStartJitter.count());
  return kFirstStartReadDelay + milliseconds(random_number() % jitter);
}

store::PlatformSettings store_settings(const EdgeSettings& settings) {
  const peer::PeerEndpoint endpoint = endpoint_of(settings.store_endpoint);
  store::PlatformSettings store;
  store.address = endpoint.address;
  store.port = endpoint.port;
  store.silence_limit = kStoreSilenceLimit;
  store.members = settings.hosts;
  store.budget.per_second = {settings.fleet_reads_per_second,
                             settings.fleet_writes_per_second,
                             settings.fleet_reads_per_second};
  store.health.longest_backoff = kMaxBackoff;
  return store;
}

dispatch::DispatchSettings dispatch_settings(const EdgeSettings& settings) {
  dispatch::DispatchSettings dispatch;
  dispatch.member = settings.member;
  dispatch.zone = settings.zone;
  dispatch.zone_regions = settings.zone_regions;
  dispatch.repeat_share = settings.repeat_ratio * kRepeatSafetyFactor;
  dispatch.repeat_slack = settings.repeat_slack;
  dispatch.hosts = settings.hosts;
  dispatch.remote_cost = settings.remote_cost;
  dispatch.policy = settings;
  return dispatch;
}

customers::RateLimiter::Settings rate_settings(const EdgeSettings& settings) {
  return {settings.member,
          settings.zone,
          {settings.rate_window, settings.rate_overage, settings.rate_slack},
          settings.wait_for_token,
          settings.pace_returns};
}

Fleet::Settings fleet_settings(const EdgeSettings& settings) {
  return {settings.member, settings.zone, settings.peer_endpoint,
          settings.link_mbps};
}

eventlog::EventLogSettings log_settings(const EdgeSettings& settings) {
  eventlog::EventLogSettings log;
  log.host = settings.member;
  log.incarnation = random_number() >> 16;
  log.lines_per_second = {static_cast<double>(settings.log_ordinary),
                          static_cast<double>(settings.log_failures),
                          static_cast<double>(settings.log_beliefs)};
  return log;
}

}  // namespace ibismux::edge
