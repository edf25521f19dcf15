#include "ibismux/gateway/waiting_batches.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <iterator>
#include <utility>

#include "ibismux/gateway/call_group.h"

namespace ibismux::gateway {

namespace {

/// Hands the entry's sink, on its executor, the end of one of its calls.
void answer_cancelled(const WaitingBatches::Entry& entry, const CallId& id) {
  LeafAnswer answer{
      id,
      tl::unexpected(not_run(ErrorKind::kCancelled,
                             "cancelled before its gateway was known")),
      {},
      {}};
  boost::asio::post(entry.executor,
                    [sink = entry.sink, answer = std::move(answer)]() mutable {
                      sink(std::move(answer));
                    });
}

}  // namespace

void WaitingBatches::add(Entry entry) {
  const std::lock_guard lock(this->mutex);
  this->entries.push_back(std::move(entry));
}

std::vector<WaitingBatches::Entry> WaitingBatches::take(Generation generation) {
  const std::lock_guard lock(this->mutex);
  const auto served = std::partition(
      this->entries.begin(), this->entries.end(),
      [&](const Entry& entry) { return entry.generation > generation; });
  std::vector<Entry> taken(std::make_move_iterator(served),
                           std::make_move_iterator(this->entries.end()));
  this->entries.erase(served, this->entries.end());
  return taken;
}

void WaitingBatches::cancel(const std::vector<CallId>& ids) {
  const std::lock_guard lock(this->mutex);
  for (Entry& entry : this->entries) {
    std::erase_if(entry.batch.items, [&](const LeafCallBatch::Item& item) {
      const CallId id{entry.batch.origin, item.sequence};
      const bool unwanted = std::find(ids.begin(), ids.end(), id) != ids.end();
      if (unwanted) {
        answer_cancelled(entry, id);
      }
      return unwanted;
    });
  }
}

}  // namespace ibismux::gateway
