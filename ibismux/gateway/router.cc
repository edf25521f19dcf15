#include "ibismux/gateway/router.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include "ibismux/gateway/local_gateway.h"
#include "ibismux/gateway/ownership_table.h"
#include "ibismux/gateway/remote_gateway.h"
#include "ibismux/gateway/routed_batch.h"
#include "ibismux/gateway/waiting_batches.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/release/release.h"

namespace ibismux::gateway {

class Router::Impl {
 public:
  Impl(const RcuCell<release::Release>& releases,
       const RcuCell<membership::MembershipView>& members,
       LocalGateway& local,
       RemoteGateway* remote,
       std::unique_ptr<OwnershipStrategy> strategy,
       prometheus::Registry& metrics)
      : releases(releases),
        members(members),
        local(local),
        remote(remote),
        strategy(std::move(strategy)),
        table(std::make_shared<const OwnershipTable>()),
        seconds(prometheus::BuildHistogram()
                    .Name("ibismux_ownership_seconds")
                    .Help("Time to compute the owners of all leafs")
                    .Register(metrics)
                    .Add({},
                         prometheus::Histogram::BucketBoundaries{
                             0.0001, 0.001, 0.01, 0.1, 1.0})) {
    this->worker = std::thread([this] { this->work(); });
  }

  ~Impl() {
    {
      std::lock_guard lock(this->mutex);
      this->stopping = true;
    }
    this->wake.notify_one();
    this->worker.join();
  }

  void refresh() {
    {
      std::lock_guard lock(this->mutex);
      this->dirty = true;
    }
    this->wake.notify_one();
  }

  void call(WaitingBatches::Entry entry) {
    auto table = this->table.read();
    entry.generation = this->releases.read()->generation;
    if (table->generation < entry.generation && lacks_owners(*table, entry)) {
      this->waiting.add(std::move(entry));
      // The table that the entry waits for may have been computed since: with
      // no further one it would wait for ever.
      this->refresh();
      return;
    }
    this->send(std::move(table), std::move(entry));
  }

  const RcuCell<release::Release>& releases;
  const RcuCell<membership::MembershipView>& members;
  LocalGateway& local;
  RemoteGateway* remote;
  std::unique_ptr<OwnershipStrategy> strategy;
  RcuCell<OwnershipTable> table;
  WaitingBatches waiting;

 private:
  static bool lacks_owners(const OwnershipTable& table,
                           const WaitingBatches::Entry& entry) {
    return std::any_of(entry.batch.items.begin(), entry.batch.items.end(),
                       [&](const LeafCallBatch::Item& item) {
                         return table.owners_of(item.leaf).empty();
                       });
  }

  void send(std::shared_ptr<const OwnershipTable> owners,
            WaitingBatches::Entry entry) {
    std::make_shared<RoutedBatch>(
        RoutedBatch::Routes{this->local, this->remote, std::move(owners)},
        std::move(entry.batch), std::move(entry.executor),
        std::move(entry.sink))
        ->send();
  }

  void work() {
    while (this->wait_for_change()) {
      const TimePoint started = Clock::now();
      const auto release = this->releases.read();
      const auto view = this->members.read();
      auto fresh = this->strategy->assign(*release, *view);
      this->seconds.Observe(
          std::chrono::duration<double>(Clock::now() - started).count());
      // First the local gateway: a call that the new table sends there would
      // else find no share and go on to the next owner.
      this->local.apply(*release, *fresh);
      this->table.write(fresh);
      for (WaitingBatches::Entry& entry :
           this->waiting.take(fresh->generation)) {
        this->send(fresh, std::move(entry));
      }
    }
  }

  [[nodiscard]] bool wait_for_change() {
    std::unique_lock lock(this->mutex);
    this->wake.wait(lock, [this] { return this->dirty || this->stopping; });
    this->dirty = false;
    return !this->stopping;
  }

  prometheus::Histogram& seconds;
  std::mutex mutex;
  std::condition_variable wake;
  bool dirty = false;
  bool stopping = false;
  // A thread of its own: with thousands of leafs and daemons the computation
  // takes milliseconds, by which it would delay every call of an event loop.
  std::thread worker;
};

Router::Router(const RcuCell<release::Release>& releases,
               const RcuCell<membership::MembershipView>& members,
               LocalGateway& local,
               RemoteGateway* remote,
               std::unique_ptr<OwnershipStrategy> strategy,
               prometheus::Registry& metrics)
    : impl(std::make_unique<Impl>(releases,
                                  members,
                                  local,
                                  remote,
                                  std::move(strategy),
                                  metrics)) {
  this->refresh();
}

Router::~Router() = default;

void Router::refresh() {
  this->impl->refresh();
}

const RcuCell<OwnershipTable>& Router::ownership() const noexcept {
  return this->impl->table;
}

void Router::call(LeafCallBatch batch,
                  boost::asio::any_io_executor executor,
                  Sink sink) {
  this->impl->call({0, std::move(batch), std::move(executor), std::move(sink)});
}

void Router::cancel(std::vector<CallId> calls) {
  this->impl->waiting.cancel(calls);
  if (this->impl->remote != nullptr) {
    this->impl->remote->cancel(calls);
  }
  this->impl->local.cancel(std::move(calls));
}

}  // namespace ibismux::gateway
