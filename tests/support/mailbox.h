#ifndef TESTS_SUPPORT_MAILBOX_H_
#define TESTS_SUPPORT_MAILBOX_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

namespace ibismux::tests {

/// Collects what happens on event loops, so that a test's thread can wait for
/// it. Thread safe.
template <class T>
class Mailbox {
 public:
  /// One limit for all waits: only a broken test meets it.
  static constexpr std::chrono::seconds kLimit{30};

  void put(T item) {
    std::lock_guard lock(this->mutex);
    this->items.push_back(std::move(item));
    this->changed.notify_all();
  }

  /// Waits until `count` items are there. @return All so far.
  std::vector<T> wait(std::size_t count) {
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, kLimit,
                           [&] { return this->items.size() >= count; });
    return this->items;
  }

  [[nodiscard]] std::size_t size() {
    std::lock_guard lock(this->mutex);
    return this->items.size();
  }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<T> items;
};

}  // namespace ibismux::tests

#endif  // TESTS_SUPPORT_MAILBOX_H_
