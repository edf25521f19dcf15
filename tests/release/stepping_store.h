#ifndef IBISMUX_TESTS_RELEASE_STEPPING_STORE_H_
#define IBISMUX_TESTS_RELEASE_STEPPING_STORE_H_

#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "ibismux/store/object_store.h"

namespace ibismux::release::testing {

/// Another store whose every call takes two steps of its caller's event loop:
/// one before it takes effect and one before its answer is heard. A test that
/// polls several loops in turn decides how their calls interleave, and one that
/// polls a loop no more has killed its process between two steps.
class SteppingStore : public store::ObjectStore {
 public:
  /// @param store Outlives this.
  explicit SteppingStore(store::ObjectStore& store) : store(store) {}

  Task<Result<store::StoredObject>> get(std::string collection,
                                        std::string name,
                                        TimePoint deadline) override {
    co_await step();
    auto result = co_await this->store.get(std::move(collection),
                                           std::move(name), deadline);
    co_await step();
    co_return result;
  }

  Task<Result<store::Listing>> list(std::string collection,
                                    TimePoint deadline) override {
    co_await step();
    auto result = co_await this->store.list(std::move(collection), deadline);
    co_await step();
    co_return result;
  }

  Task<Result<store::WatchBatch>> watch(
      std::string collection,
      store::Version since,
      std::chrono::milliseconds wait) override {
    co_return co_await this->store.watch(std::move(collection), since, wait);
  }

  Task<Result<std::vector<store::HostEntry>>> hosts(
      TimePoint deadline) override {
    co_return co_await this->store.hosts(deadline);
  }

  Task<Result<store::Version>> put(std::string collection,
                                   std::string name,
                                   std::string value,
                                   store::Version expected,
                                   TimePoint deadline) override {
    co_await step();
    auto result =
        co_await this->store.put(std::move(collection), std::move(name),
                                 std::move(value), expected, deadline);
    co_await step();
    co_return result;
  }

  Task<Result<void>> remove(std::string collection,
                            std::string name,
                            store::Version expected,
                            TimePoint deadline) override {
    co_await step();
    auto result = co_await this->store.remove(
        std::move(collection), std::move(name), expected, deadline);
    co_await step();
    co_return result;
  }

 private:
  static Task<void> step() {
    auto executor = co_await boost::asio::this_coro::executor;
    co_await boost::asio::post(executor, boost::asio::use_awaitable);
  }

  store::ObjectStore& store;
};

}  // namespace ibismux::release::testing

#endif  // IBISMUX_TESTS_RELEASE_STEPPING_STORE_H_
