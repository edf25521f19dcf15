#ifndef IBISMUX_GATEWAY_REMOTE_CALLS_H_
#define IBISMUX_GATEWAY_REMOTE_CALLS_H_

#include <array>
#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "ibismux/gateway/leaf_call.h"
#include "ibismux/gateway/leaf_caller.h"

namespace ibismux::gateway {

/// Calls that went to one member in one frame.
struct RemoteBatch {
  RemoteBatch(std::string member,
              LeafCallKind kind,
              boost::asio::any_io_executor executor,
              LeafCaller::Sink sink);

  const std::string member;
  const LeafCallKind kind;
  const boost::asio::any_io_executor executor;
  const LeafCaller::Sink sink;
  std::vector<CallId> ids;             ///< Set before the batch is shared.
  std::atomic<std::size_t> left{0};    ///< Calls without an answer.
  boost::asio::steady_timer deadline;  ///< Touched on the executor only.
};

/// The calls that other daemons have not answered yet. Whoever removes a call
/// answers it, so each is answered once.
///
/// Thread safe.
class RemoteCalls {
 public:
  using Batch = std::shared_ptr<RemoteBatch>;

  /// Adds every call of `batch`.
  void add(const Batch& batch);

  /// Removes the call `id` of `member`; null where there is none.
  [[nodiscard]] Batch take(const CallId& id, const std::string& member);

  /// The batch of the call `id`, which stays; null where there is none.
  [[nodiscard]] Batch find(const CallId& id) const;

  /// Removes every call of `member`, and says which.
  [[nodiscard]] std::vector<std::pair<CallId, Batch>> take_all(
      const std::string& member);

 private:
  /// Enough that threads seldom meet at one lock.
  static constexpr std::size_t kParts = 32;

  struct Part {
    mutable std::mutex mutex;
    std::unordered_map<CallId, Batch> calls;
  };

  [[nodiscard]] Part& part_of(const CallId& id) noexcept {
    return this->parts[id.sequence % kParts];
  }
  [[nodiscard]] const Part& part_of(const CallId& id) const noexcept {
    return this->parts[id.sequence % kParts];
  }

  std::array<Part, kParts> parts;
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_REMOTE_CALLS_H_
