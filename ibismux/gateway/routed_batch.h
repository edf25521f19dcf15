#ifndef IBISMUX_GATEWAY_ROUTED_BATCH_H_
#define IBISMUX_GATEWAY_ROUTED_BATCH_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "ibismux/gateway/leaf_call.h"
#include "ibismux/gateway/leaf_caller.h"
#include "ibismux/gateway/ownership_table.h"

namespace ibismux::gateway {

class RemoteGateway;

/// The calls of one batch on their way to the owners of their leafs.
///
/// A call that an owner certainly did not take goes to the next in rank. Thread
/// safe: it does not change.
class RoutedBatch : public std::enable_shared_from_this<RoutedBatch> {
 public:
  /// Where calls go. All outlive the batch, but for the table.
  struct Routes {
    LeafCaller& local;
    RemoteGateway* remote = nullptr;
    std::shared_ptr<const OwnershipTable> table;
  };

  RoutedBatch(Routes routes,
              LeafCallBatch batch,
              boost::asio::any_io_executor executor,
              LeafCaller::Sink sink);

  /// Sends every call to the first owner of its leaf.
  void send();

 private:
  using Items = std::vector<LeafCallBatch::Item>;

  void send_to_rank(const Items& items, std::size_t rank);
  void send_to_member(const std::string& member, Items items, std::size_t rank);
  void on_answer(LeafAnswer answer, std::size_t rank);
  void refuse(const LeafCallBatch::Item& item) const;

  Routes routes;
  LeafCallBatch batch;
  boost::asio::any_io_executor executor;
  LeafCaller::Sink sink;
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_ROUTED_BATCH_H_
