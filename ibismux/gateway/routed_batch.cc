#include "ibismux/gateway/routed_batch.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <map>
#include <utility>

#include "ibismux/gateway/call_group.h"
#include "ibismux/gateway/remote_gateway.h"

namespace ibismux::gateway {

namespace {

/// The owner never took the call: another one may.
bool not_taken(const LeafAnswer& answer) {
  return !answer.body && answer.body.error().execution == Execution::kNotRun &&
         answer.body.error().kind == ErrorKind::kPeerUnavailable;
}

}  // namespace

RoutedBatch::RoutedBatch(Routes routes,
                         LeafCallBatch batch,
                         boost::asio::any_io_executor executor,
                         LeafCaller::Sink sink)
    : routes(std::move(routes)),
      batch(std::move(batch)),
      executor(std::move(executor)),
      sink(std::move(sink)) {}

void RoutedBatch::send() {
  this->send_to_rank(this->batch.items, 0);
}

void RoutedBatch::send_to_rank(const Items& items, std::size_t rank) {
  std::map<std::string_view, Items> by_member;
  for (const LeafCallBatch::Item& item : items) {
    const auto owners = this->routes.table->owners_of(item.leaf);
    if (rank >= owners.size()) {
      this->refuse(item);
      continue;
    }
    by_member[this->routes.table->member_of(owners[rank])].push_back(item);
  }
  for (auto& [member, list] : by_member) {
    this->send_to_member(std::string(member), std::move(list), rank);
  }
}

void RoutedBatch::send_to_member(const std::string& member,
                                 Items items,
                                 std::size_t rank) {
  LeafCallBatch part;
  part.origin = this->batch.origin;
  part.kind = this->batch.kind;
  part.service = this->batch.service;
  part.snapshot = this->batch.snapshot;
  part.priority = this->batch.priority;
  part.deadline = this->batch.deadline;
  part.key = this->batch.key;
  part.body = this->batch.body;
  part.items = std::move(items);
  LeafCaller::Sink through = [self = this->shared_from_this(),
                              rank](LeafAnswer answer) {
    self->on_answer(std::move(answer), rank);
  };
  if (member == this->routes.table->self) {
    this->routes.local.call(std::move(part), this->executor,
                            std::move(through));
    return;
  }
  if (this->routes.remote == nullptr ||
      !this->routes.remote->call(member, part, this->executor,
                                 std::move(through))) {
    this->send_to_rank(part.items, rank + 1);
  }
}

void RoutedBatch::on_answer(LeafAnswer answer, std::size_t rank) {
  if (not_taken(answer)) {
    const auto item =
        std::find_if(this->batch.items.begin(), this->batch.items.end(),
                     [&](const LeafCallBatch::Item& candidate) {
                       return candidate.sequence == answer.id.sequence;
                     });
    if (item != this->batch.items.end()) {
      this->send_to_rank({*item}, rank + 1);
      return;
    }
  }
  this->sink(std::move(answer));
}

void RoutedBatch::refuse(const LeafCallBatch::Item& item) const {
  LeafAnswer answer{{this->batch.origin, item.sequence},
                    tl::unexpected(not_run(ErrorKind::kLeafUnavailable,
                                           item.leaf + ": no gateway for it")),
                    {},
                    {}};
  boost::asio::post(this->executor,
                    [sink = this->sink, answer = std::move(answer)]() mutable {
                      sink(std::move(answer));
                    });
}

}  // namespace ibismux::gateway
