#include "ibismux/dispatch/record_merger.h"

#include <algorithm>
#include <functional>

namespace ibismux::dispatch {

void RecordMerger::add(std::string_view body) {
  while (body.size() >= kRecordBytes) {
    this->records.push_back(body.substr(0, kRecordBytes));
    body.remove_prefix(kRecordBytes);
  }
}

std::string RecordMerger::take() {
  const std::size_t kept = std::min(this->max_records, this->records.size());
  const auto end = this->records.begin() + static_cast<std::ptrdiff_t>(kept);
  // string_view compares bytes as unsigned values.
  std::partial_sort(this->records.begin(), end, this->records.end(),
                    std::greater<>());
  std::string merged;
  merged.reserve(kept * kRecordBytes);
  std::for_each(this->records.begin(), end,
                [&](std::string_view record) { merged += record; });
  this->records.clear();
  return merged;
}

}  // namespace ibismux::dispatch
