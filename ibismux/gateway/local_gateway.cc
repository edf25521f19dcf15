#include "ibismux/gateway/local_gateway.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "ibismux/base/io_pool.h"
#include "ibismux/base/text_hash.h"
#include "ibismux/gateway/call_group.h"
#include "ibismux/gateway/gateway_context.h"
#include "ibismux/gateway/gateway_loop.h"
#include "ibismux/gateway/ownership_table.h"
#include "ibismux/release/release.h"

namespace ibismux::gateway {

class LocalGateway::Impl {
 public:
  Impl(IoPool& pool, prometheus::Registry& metrics, GatewaySettings settings)
      : pool(pool),
        context(std::make_shared<GatewayContext>(metrics, settings)) {
    for (std::size_t i = 0; i < pool.size(); ++i) {
      this->loops.push_back(
          std::make_shared<GatewayLoop>(pool.at(i), this->context));
    }
  }

  /// The loop that `leaf` lives on.
  [[nodiscard]] std::size_t loop_of(const std::string& leaf) const noexcept {
    return text_hash(leaf) % this->loops.size();
  }

  /// Runs `work(loop)` on the loop at `index`.
  template <class Work>
  void post(std::size_t index, Work work) {
    boost::asio::post(this->pool.at(index),
                      [loop = this->loops[index],
                       work = std::move(work)]() mutable { work(*loop); });
  }

  IoPool& pool;
  std::shared_ptr<GatewayContext> context;
  std::vector<std::shared_ptr<GatewayLoop>> loops;
};

LocalGateway::LocalGateway(IoPool& pool,
                           prometheus::Registry& metrics,
                           GatewaySettings settings)
    : impl(std::make_shared<Impl>(pool, metrics, settings)) {}

LocalGateway::~LocalGateway() = default;

void LocalGateway::apply(const release::Release& release,
                         const OwnershipTable& table) {
  std::vector<std::vector<LeafShare>> shares(this->impl->loops.size());
  std::size_t count = 0;
  for (const release::BackendServer& leaf : release.leafs) {
    const auto owners = table.owners_of(leaf.name);
    for (std::size_t rank = 0; rank < owners.size(); ++rank) {
      if (table.member_of(owners[rank]) == table.self) {
        shares[this->impl->loop_of(leaf.name)].push_back(
            {leaf, owners[rank].connections, rank == 0});
        ++count;
        break;
      }
    }
  }
  this->impl->context->ejections.set_leafs(count);
  for (std::size_t i = 0; i < shares.size(); ++i) {
    this->impl->post(i, [list = std::move(shares[i])](GatewayLoop& loop) {
      loop.apply(list);
    });
  }
}

void LocalGateway::call(LeafCallBatch batch,
                        boost::asio::any_io_executor executor,
                        Sink sink) {
  std::vector<std::vector<LeafCallBatch::Item>> items(this->impl->loops.size());
  for (LeafCallBatch::Item& item : batch.items) {
    items[this->impl->loop_of(item.leaf)].push_back(std::move(item));
  }
  this->impl->context->outstanding += batch.items.size();
  batch.items.clear();
  const auto group =
      std::make_shared<CallGroup>(std::move(batch), std::move(executor),
                                  std::move(sink), this->impl->context);
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (!items[i].empty()) {
      this->impl->post(
          i, [list = std::move(items[i]), group](GatewayLoop& loop) mutable {
            loop.call(std::move(list), group);
          });
    }
  }
}

void LocalGateway::cancel(std::vector<CallId> calls) {
  const auto shared =
      std::make_shared<const std::vector<CallId>>(std::move(calls));
  for (std::size_t i = 0; i < this->impl->loops.size(); ++i) {
    this->impl->post(i, [shared](GatewayLoop& loop) { loop.cancel(*shared); });
  }
}

std::size_t LocalGateway::in_flight() const noexcept {
  return this->impl->context->outstanding;
}

namespace {

Task<std::vector<LeafStatus>> status_of(std::shared_ptr<GatewayLoop> loop) {
  co_return loop->status();
}

}  // namespace

Task<std::vector<LeafStatus>> LocalGateway::status() {
  const std::shared_ptr<Impl> keep = this->impl;
  std::vector<LeafStatus> all;
  for (std::size_t i = 0; i < keep->loops.size(); ++i) {
    std::vector<LeafStatus> part = co_await boost::asio::co_spawn(
        keep->pool.at(i), status_of(keep->loops[i]),
        boost::asio::use_awaitable);
    std::move(part.begin(), part.end(), std::back_inserter(all));
  }
  std::sort(
      all.begin(), all.end(),
      [](const LeafStatus& a, const LeafStatus& b) { return a.leaf < b.leaf; });
  co_return all;
}

}  // namespace ibismux::gateway
