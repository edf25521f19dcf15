#ifndef IBISMUX_BASE_IO_POOL_H_
#define IBISMUX_BASE_IO_POOL_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace ibismux {

/// A fixed set of event loops, one thread each.
///
/// State that belongs to one loop (a connection, a leaf's queue, a query being
/// gathered) is touched by that loop's thread alone and needs no lock; work for
/// another loop is posted to it.
class IoPool {
 public:
  /// @param threads At least 1.
  explicit IoPool(std::size_t threads);
  ~IoPool();
  IoPool(const IoPool&) = delete;
  IoPool& operator=(const IoPool&) = delete;

  [[nodiscard]] std::size_t size() const noexcept {
    return this->contexts.size();
  }

  /// The loop at `index % size()`. Thread safe.
  [[nodiscard]] boost::asio::io_context& at(std::size_t index) noexcept {
    return *this->contexts[index % this->contexts.size()];
  }

  /// The loops in turn. Thread safe.
  [[nodiscard]] boost::asio::io_context& next() noexcept {
    return this->at(this->turn.fetch_add(1, std::memory_order_relaxed));
  }

  /// Starts the threads. Precondition: not started.
  void start();

  /// Stops the loops and joins the threads; safe to call twice. Precondition:
  /// not called from a loop's own thread.
  void stop();

 private:
  using Guard =
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  std::vector<std::unique_ptr<boost::asio::io_context>> contexts;
  std::vector<Guard> guards;
  std::vector<std::thread> threads;
  std::atomic<std::size_t> turn{0};
};

}  // namespace ibismux

#endif  // IBISMUX_BASE_IO_POOL_H_
