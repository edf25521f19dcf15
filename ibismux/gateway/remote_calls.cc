#include "ibismux/gateway/remote_calls.h"

#include <utility>

namespace ibismux::gateway {

RemoteBatch::RemoteBatch(std::string member,
                         LeafCallKind kind,
                         boost::asio::any_io_executor executor,
                         LeafCaller::Sink sink)
    : member(std::move(member)),
      kind(kind),
      executor(std::move(executor)),
      sink(std::move(sink)),
      deadline(this->executor) {}

void RemoteCalls::add(const Batch& batch) {
  for (const CallId& id : batch->ids) {
    Part& part = this->part_of(id);
    std::lock_guard lock(part.mutex);
    part.calls.emplace(id, batch);
  }
}

RemoteCalls::Batch RemoteCalls::take(const CallId& id,
                                     const std::string& member) {
  Part& part = this->part_of(id);
  std::lock_guard lock(part.mutex);
  const auto found = part.calls.find(id);
  if (found == part.calls.end() || found->second->member != member) {
    return nullptr;
  }
  Batch batch = std::move(found->second);
  part.calls.erase(found);
  return batch;
}

RemoteCalls::Batch RemoteCalls::find(const CallId& id) const {
  const Part& part = this->part_of(id);
  std::lock_guard lock(part.mutex);
  const auto found = part.calls.find(id);
  return found == part.calls.end() ? nullptr : found->second;
}

std::vector<std::pair<CallId, RemoteCalls::Batch>> RemoteCalls::take_all(
    const std::string& member) {
  std::vector<std::pair<CallId, Batch>> taken;
  for (Part& part : this->parts) {
    std::lock_guard lock(part.mutex);
    for (auto it = part.calls.begin(); it != part.calls.end();) {
      if (it->second->member != member) {
        ++it;
        continue;
      }
      taken.emplace_back(it->first, std::move(it->second));
      it = part.calls.erase(it);
    }
  }
  return taken;
}

}  // namespace ibismux::gateway
