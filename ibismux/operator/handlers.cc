#include "ibismux/operator/handlers.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdio>
#include <utility>

#include "ibismux/operator/request_fields.h"
#include "ibismux/operator/responses.h"

namespace ibismux::operators {
namespace {

// How soon a waiting request notices a change of the release, which takes no
// call to the platform.
constexpr std::chrono::milliseconds kPollPeriod{20};

}  // namespace

const std::array<Handlers::Method, kOperations> Handlers::kMethods = {
    &Handlers::list_all, &Handlers::list_kind, &Handlers::get,
    &Handlers::put,      &Handlers::remove,    &Handlers::object_status,
    &Handlers::validate, &Handlers::watch,     &Handlers::status,
    &Handlers::audit,    &Handlers::drain,     &Handlers::metrics,
    &Handlers::health,   &Handlers::ready,
};

Handlers::Handlers(OperatorPorts ports)
    : ports(std::move(ports)),
      writer(this->ports.store, this->ports.platform_timeout) {}

Task<http::Response> Handlers::serve(
    std::shared_ptr<Handlers> self,
    std::shared_ptr<const http::Request> request,
    std::shared_ptr<http::CancelToken> client) {
  Result<Route> route = find_route(*request);
  if (!route) {
    co_return error_response(route.error());
  }
  const auto index = static_cast<std::size_t>(route->operation);
  const Method method = kMethods[index];
  Call call{std::move(request), std::move(client), std::move(*route)};
  co_return co_await ((*self).*method)(std::move(call));
}

Task<void> Handlers::poll(std::function<bool()> reached,
                          std::shared_ptr<http::CancelToken> client,
                          std::chrono::milliseconds wait) {
  auto executor = co_await boost::asio::this_coro::executor;
  boost::asio::steady_timer timer(executor);
  const TimePoint end = Clock::now() + wait;
  while (!reached() && !client->cancelled() && Clock::now() < end) {
    timer.expires_after(kPollPeriod);
    co_await timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }
}

Result<void> Handlers::sign(const http::Request& request,
                            release::ObjectRecord& record) {
  char fallback[96];
  std::snprintf(fallback, sizeof(fallback), "%.40s-%016llx-%llu",
                this->ports.self.member.c_str(),
                static_cast<unsigned long long>(this->ports.self.number),
                static_cast<unsigned long long>(++this->changes));
  Result<std::string> id = read_text(request, "X-Change-Id", fallback);
  Result<std::string> who = read_text(request, "X-Operator", "anonymous");
  if (!id || !who) {
    return tl::unexpected<Error>(!id ? id.error() : who.error());
  }
  record.change_id = std::move(*id);
  record.who = std::move(*who);
  record.at_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                     this->ports.wall_clock().time_since_epoch())
                     .count();
  return {};
}

}  // namespace ibismux::operators
