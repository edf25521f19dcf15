#ifndef TESTS_SUPPORT_WAITING_WATCHES_H_
#define TESTS_SUPPORT_WAITING_WATCHES_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace ibismux::testing {

/// The watches of a `MemoryObjectStore` that wait, each on its own executor.
///
/// Not thread safe; the store's lock is held around each call.
class WaitingWatches {
 public:
  /// One waiting watch; its timer is touched on its own executor alone.
  struct Waiter {
    explicit Waiter(boost::asio::any_io_executor executor)
        : executor(executor), timer(executor) {}
    boost::asio::any_io_executor executor;
    boost::asio::steady_timer timer;
  };

  void add(const std::shared_ptr<Waiter>& waiter, std::string collection) {
    this->watches[waiter.get()] = {std::move(collection), waiter};
  }
  void remove(const Waiter& waiter) { this->watches.erase(&waiter); }

  /// Ends the watches of `collection`.
  void wake(const std::string& collection) {
    for (const auto& [key, watch] : this->watches) {
      if (watch.collection == collection) {
        end(watch);
      }
    }
  }

  void wake_all() {
    for (const auto& [key, watch] : this->watches) {
      end(watch);
    }
  }

  [[nodiscard]] std::size_t size() const { return this->watches.size(); }

 private:
  struct Watch {
    std::string collection;
    std::weak_ptr<Waiter> waiter;
  };

  static void end(const Watch& watch) {
    if (auto waiter = watch.waiter.lock()) {
      boost::asio::post(waiter->executor, [waiter] { waiter->timer.cancel(); });
    }
  }

  std::map<const Waiter*, Watch> watches;
};

}  // namespace ibismux::testing

#endif  // TESTS_SUPPORT_WAITING_WATCHES_H_
