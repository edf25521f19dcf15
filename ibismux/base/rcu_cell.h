#ifndef IBISMUX_BASE_RCU_CELL_H_
#define IBISMUX_BASE_RCU_CELL_H_

#include <urcu/urcu-bp.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace ibismux {

/// A value that many threads read on the path of a request and few replace.
///
/// A reader takes a counted reference inside a read-side section that holds no
/// lock and never waits. The section ends before `read()` returns, so a
/// coroutine may suspend while it keeps the reference.
///
///     RcuCell<Release> cell(std::make_shared<const Release>());
///     std::shared_ptr<const Release> release = cell.read();
template <class T>
class RcuCell {
 public:
  using Pointer = std::shared_ptr<const T>;

  explicit RcuCell(Pointer initial) : slot(new Pointer(std::move(initial))) {}
  ~RcuCell() { delete this->slot.load(); }
  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  /// The newest value. Thread safe, wait-free but for the reference count.
  [[nodiscard]] Pointer read() const {
    urcu_bp_read_lock();
    Pointer value = *this->slot.load(std::memory_order_acquire);
    urcu_bp_read_unlock();
    return value;
  }

  /// Replaces the value. Thread safe; waits for readers that are in `read()`.
  void write(Pointer value) {
    auto* fresh = new Pointer(std::move(value));
    Pointer* old = nullptr;
    {
      std::lock_guard lock(this->writers);
      old = this->slot.exchange(fresh, std::memory_order_acq_rel);
    }
    urcu_bp_synchronize_rcu();
    delete old;
  }

  /// Replaces the value only if `newer(old, fresh)`. Thread safe.
  /// @return Whether the value was replaced.
  template <class Newer>
  bool write_if(Pointer value, Newer newer) {
    auto* fresh = new Pointer(std::move(value));
    Pointer* old = nullptr;
    {
      std::lock_guard lock(this->writers);
      if (!newer(**this->slot.load(), **fresh)) {
        delete fresh;
        return false;
      }
      old = this->slot.exchange(fresh, std::memory_order_acq_rel);
    }
    urcu_bp_synchronize_rcu();
    delete old;
    return true;
  }

 private:
  std::atomic<Pointer*> slot;
  std::mutex writers;
};

}  // namespace ibismux

#endif  // IBISMUX_BASE_RCU_CELL_H_
