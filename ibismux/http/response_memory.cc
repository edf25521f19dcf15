#include "ibismux/http/response_memory.h"

#include <algorithm>

namespace ibismux::http {

bool ResponseMemory::update(Reader& reader, std::size_t bytes) {
  std::size_t& held = this->readers[&reader];
  this->total += bytes - held;
  held = bytes;
  while (this->held() > this->limit) {
    const auto most = std::max_element(
        this->readers.begin(), this->readers.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    Reader& largest = *most->first;
    ++this->responses_given_up;
    this->release(largest);
    largest.give_up_response();
    if (&largest == &reader) {
      return false;
    }
  }
  return true;
}

void ResponseMemory::release(Reader& reader) {
  const auto found = this->readers.find(&reader);
  if (found != this->readers.end()) {
    this->total -= found->second;
    this->readers.erase(found);
  }
}

}  // namespace ibismux::http
