#include "ibismux/daemon/leaf_status_cache.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>

#include "ibismux/gateway/local_gateway.h"

namespace ibismux::daemon {

namespace {

namespace asio = boost::asio;

boost::json::value row(const gateway::LeafStatus& leaf) {
  return {{"name", leaf.leaf},     {"state", gateway::to_string(leaf.state)},
          {"limit", leaf.limit},   {"in_flight", leaf.in_flight},
          {"queued", leaf.queued}, {"connections", leaf.connections},
          {"share", leaf.share}};
}

}  // namespace

LeafStatusCache::LeafStatusCache(asio::io_context& loop,
                                 gateway::LocalGateway& gateway)
    : loop(loop),
      gateway(gateway),
      cell(std::make_shared<const std::vector<gateway::LeafStatus>>()) {}

void LeafStatusCache::start(Duration interval) {
  asio::co_spawn(this->loop, this->refresh(interval), asio::detached);
}

Task<> LeafStatusCache::refresh(Duration interval) {
  asio::steady_timer timer(this->loop);
  for (;;) {
    std::vector<gateway::LeafStatus> leafs = co_await this->gateway.status();
    this->cell.write(std::make_shared<const std::vector<gateway::LeafStatus>>(
        std::move(leafs)));
    timer.expires_after(interval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

boost::json::value LeafStatusCache::json() const {
  boost::json::array rows;
  for (const gateway::LeafStatus& leaf : *this->cell.read()) {
    rows.push_back(row(leaf));
  }
  return rows;
}

}  // namespace ibismux::daemon
