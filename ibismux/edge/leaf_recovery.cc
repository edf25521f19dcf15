#include "ibismux/edge/leaf_recovery.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>
#include <vector>

#include "ibismux/checkpoint/checkpoint_writer.h"
#include "ibismux/checkpoint/lost_leafs.h"
#include "ibismux/eventlog/event_log.h"
#include "ibismux/http/socket.h"
#include "ibismux/startup/start_gate.h"

namespace ibismux::edge {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr milliseconds kReadTimeout{1500};
constexpr milliseconds kRetryPause{200};

std::set<std::string> services_of(
    const std::vector<directory::LeafEntry>& leafs) {
  std::set<std::string> services;
  for (const directory::LeafEntry& leaf : leafs) {
    services.insert(leaf.service);
  }
  return services;
}

}  // namespace

checkpoint::LeafCheckpoint running_leafs(
    const directory::LeafDirectory& directory) {
  checkpoint::LeafCheckpoint checkpoint{directory.all()};
  std::erase_if(checkpoint.leafs,
                [](const auto& leaf) { return leaf.draining; });
  return checkpoint;
}

std::set<std::string> services_without_leafs(
    const routing::RouteTable& table,
    const directory::LeafDirectory& directory) {
  const std::set<std::string> known = services_of(directory.all());
  std::set<std::string> without;
  for (const routing::Route& route : table.routes()) {
    for (std::string& service : route.services()) {
      if (!known.contains(service)) {
        without.insert(std::move(service));
      }
    }
  }
  return without;
}

LeafRecovery::LeafRecovery(asio::io_context& loop,
                           store::ObjectStore& store,
                           std::string collection,
                           const directory::LeafDirectory& directory,
                           LeafFeed& leafs,
                           std::function<void(bool)> on_expected,
                           eventlog::EventLog& log,
                           TimePoint started)
    : loop(loop),
      store(store),
      collection(std::move(collection)),
      directory(directory),
      leafs(leafs),
      on_expected(std::move(on_expected)),
      log(log),
      end(started + startup::StartGate::kStartPeriod) {}

void LeafRecovery::start(const routing::RouteTable& table) {
  if (std::exchange(this->is_started, true) || Clock::now() >= this->end ||
      services_without_leafs(table, this->directory).empty()) {
    return;
  }
  this->on_expected(true);
  asio::co_spawn(this->loop, run(this->shared_from_this()), asio::detached);
}

Task<void> LeafRecovery::run(std::shared_ptr<LeafRecovery> self) {
  const auto object = co_await read(self);
  Result<checkpoint::LeafCheckpoint> checkpoint =
      object ? checkpoint::decode_leaf_checkpoint(object->value)
             : tl::unexpected(object.error());
  self->log.event(eventlog::Weight::kBelief, "checkpoint_read")
      .with("leafs", checkpoint ? checkpoint->leafs.size() : 0)
      .with("listed", self->directory.size())
      .with("done", checkpoint.has_value())
      .with("reason", checkpoint ? "" : checkpoint.error().message);
  if (checkpoint) {
    self->adopt(*checkpoint);
  }
  self->on_expected(false);
}

Task<Result<store::StoredObject>> LeafRecovery::read(
    std::shared_ptr<LeafRecovery> self) {
  http::Timer timer(self->loop.get_executor());
  for (;;) {
    const TimePoint deadline =
        std::min<TimePoint>(self->end, Clock::now() + kReadTimeout);
    auto object = co_await self->store.stale_get(
        self->collection, checkpoint::kCheckpointName, deadline);
    const bool may_retry =
        !object && object.error().kind == ErrorKind::kPlatformUnavailable;
    if (!may_retry || Clock::now() + kRetryPause >= self->end) {
      co_return object;
    }
    timer.expires_after(kRetryPause);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void LeafRecovery::adopt(const checkpoint::LeafCheckpoint& checkpoint) {
  const std::vector<directory::LeafEntry> lost =
      checkpoint::lost_leafs(checkpoint, this->directory.all());
  if (lost.empty()) {
    return;
  }
  const std::size_t before = this->directory.size();
  this->leafs.adopt(lost);
  std::string services;
  for (const std::string& service : services_of(lost)) {
    services += (services.empty() ? "" : ",") + service;
  }
  this->log.event(eventlog::Weight::kBelief, "leafs_adopted")
      .with("services", services)
      .with("leafs", this->directory.size() - before);
}

}  // namespace ibismux::edge
