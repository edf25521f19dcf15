#ifndef IBISMUX_GATEWAY_WAITING_BATCHES_H_
#define IBISMUX_GATEWAY_WAITING_BATCHES_H_

#include <boost/asio/any_io_executor.hpp>
#include <mutex>
#include <vector>

#include "ibismux/base/ids.h"
#include "ibismux/gateway/leaf_call.h"
#include "ibismux/gateway/leaf_caller.h"

namespace ibismux::gateway {

/// Batches whose leafs are of a newer release than the owners known so far.
///
/// All methods are thread safe.
class WaitingBatches {
 public:
  struct Entry {
    Generation generation = 0;  ///< Of the release that is waited for.
    LeafCallBatch batch;
    boost::asio::any_io_executor executor;
    LeafCaller::Sink sink;
  };

  void add(Entry entry);

  /// Removes those that a table of release `generation` or a newer one serves.
  [[nodiscard]] std::vector<Entry> take(Generation generation);

  /// Answers the calls of `ids` that wait here as cancelled and not run.
  void cancel(const std::vector<CallId>& ids);

 private:
  std::mutex mutex;
  std::vector<Entry> entries;
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_WAITING_BATCHES_H_
