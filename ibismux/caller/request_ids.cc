#include "ibismux/caller/request_ids.h"

#include <pcg_random.hpp>

#include "ibismux/base/ids.h"

namespace ibismux::caller {

RequestIds::RequestIds(std::uint64_t seed) : prefix(pcg64(seed)()) {}

std::string RequestIds::next() {
  return to_string(CallId{
      this->prefix, this->sequence.fetch_add(1, std::memory_order_relaxed)});
}

}  // namespace ibismux::caller
