#ifndef IBISMUX_GATEWAY_LEAF_QUEUE_H_
#define IBISMUX_GATEWAY_LEAF_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "ibismux/base/priority.h"
#include "ibismux/base/time.h"
#include "ibismux/gateway/arrival_rate.h"
#include "ibismux/gateway/queued_call.h"

namespace ibismux::gateway {

/// Calls that wait for one leaf: by priority, then by deadline.
///
/// Holds no clock. Not thread safe.
class LeafQueue {
 public:
  /// What became of a call that was offered.
  enum class Verdict : unsigned char {
    kQueued,
    kFull,      ///< No room, and nothing of lower priority to give way.
    kHopeless,  ///< Those ahead of it need longer than it can wait.
  };

  struct Offer {
    Verdict verdict = Verdict::kQueued;
    /// How long those ahead are expected to take, and those of higher
    /// priority that come meanwhile.
    Duration wait{};
    /// A call of lower priority that gave way.
    std::optional<QueuedCall> evicted = std::nullopt;
  };

  /// @param capacity Most calls that wait at once; at least 1.
  explicit LeafQueue(std::size_t capacity) : capacity(capacity) {}

  /// Changes the capacity; calls beyond a smaller one stay.
  void resize(std::size_t capacity) noexcept { this->capacity = capacity; }

  /// Takes `call` in unless it is hopeless or there is no room.
  /// @param call Moved from only where it is queued.
  /// @param pace Expected time from one start to the next.
  /// @param service Expected time of one call.
  [[nodiscard]] Offer offer(QueuedCall& call,
                            TimePoint now,
                            Duration pace,
                            Duration service);

  /// The call to start next; nothing where the queue is empty.
  [[nodiscard]] std::optional<QueuedCall> pop();

  /// Removes the calls whose deadline is at or before `now`.
  [[nodiscard]] std::vector<QueuedCall> take_expired(TimePoint now);

  /// Removes everything.
  [[nodiscard]] std::vector<QueuedCall> take_all();

  /// Removes the call `id`; nothing where it doesn't wait.
  [[nodiscard]] std::optional<QueuedCall> remove(const CallId& id);

  /// The earliest deadline of all; nothing where the queue is empty.
  [[nodiscard]] std::optional<TimePoint> next_deadline() const;

  [[nodiscard]] std::size_t size() const noexcept { return this->index.size(); }
  [[nodiscard]] bool empty() const noexcept { return this->index.empty(); }

 private:
  using Key = std::pair<TimePoint, std::uint64_t>;
  using Line = std::map<Key, QueuedCall>;
  using Place = std::pair<Priority, Key>;

  [[nodiscard]] Line& line(Priority priority) noexcept {
    return this->lines[static_cast<std::size_t>(priority)];
  }
  [[nodiscard]] Duration wait_of(const QueuedCall& call,
                                 TimePoint now,
                                 Duration pace) const noexcept;
  [[nodiscard]] std::optional<QueuedCall> evict_below(Priority priority);
  QueuedCall take(Line& line, Line::iterator position);

  std::size_t capacity;
  std::uint64_t arrivals = 0;
  std::array<Line, kPriorities> lines;
  std::array<ArrivalRate, kPriorities> rates;  ///< Of calls taken in.
  std::unordered_map<CallId, Place> index;
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_LEAF_QUEUE_H_
