#include "ibismux/store/settled_writer.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace ibismux::store {

namespace {

namespace asio = boost::asio;
using Step = WriteSettlement::Step;

constexpr std::chrono::milliseconds kFirstPause{10};
constexpr std::chrono::milliseconds kLongestPause{500};

Task<> pause_for(Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

/// The object, or one with version 0 where there is none.
Result<StoredObject> none_as_zero(Result<StoredObject> found) {
  if (!found && found.error().kind == ErrorKind::kNotFound) {
    return StoredObject{};
  }
  return found;
}

}  // namespace

Task<Result<Version>> SettledWriter::put(std::string collection,
                                         std::string name,
                                         std::string value,
                                         Version expected,
                                         FindTrace find_trace,
                                         TimePoint deadline) {
  WriteSettlement settlement(expected);
  auto written =
      co_await this->store.put(collection, name, value, expected, deadline);
  Step step = settlement.after_write(written);
  std::chrono::milliseconds pause = kFirstPause;
  while (step != Step::kDone) {
    if (Clock::now() >= deadline) {
      co_return tl::unexpected(settlement.unsettled());
    }
    if (step == Step::kReadBack) {
      auto answer = co_await this->store.get(collection, name, deadline);
      const auto found = none_as_zero(std::move(answer));
      const auto trace =
          found ? find_trace(*found) : WriteSettlement::Trace::kErased;
      step = settlement.after_read(
          found.map([](const StoredObject& object) { return object.version; }),
          trace);
      continue;
    }
    co_await pause_for(
        std::min<Duration>(pause, remaining(deadline, Clock::now())));
    pause = std::min(pause * 2, kLongestPause);
    auto again =
        co_await this->store.put(collection, name, value, expected, deadline);
    step = settlement.after_write(again);
  }
  co_return settlement.result();
}

}  // namespace ibismux::store
