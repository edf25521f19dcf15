#include "ibismux/query/hit_merger.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace ibismux::query {

namespace {

/// Whether hit `a` ranks before hit `b` in an answer.
bool ranks_before(double score_a,
                  std::string_view id_a,
                  double score_b,
                  std::string_view id_b) noexcept {
  return score_a != score_b ? score_a > score_b : id_a < id_b;
}

bool hit_ranks_before(const Hit& a, const Hit& b) noexcept {
  return ranks_before(a.score, a.id, b.score, b.id);
}

}  // namespace

bool HitMerger::merge(std::string_view body, const std::string& shard) {
  const std::optional<std::vector<HitRef>> hits = this->reader.read(body);
  if (!hits.has_value()) {
    return false;
  }
  for (const HitRef& hit : *hits) {
    if (this->heap.size() == this->most_hits) {
      if (this->most_hits == 0 ||
          !ranks_before(hit.score, hit.id, this->heap[0].score,
                        this->heap[0].id)) {
        continue;
      }
      std::pop_heap(this->heap.begin(), this->heap.end(), hit_ranks_before);
      this->heap.pop_back();
    }
    this->heap.push_back(
        Hit{std::string(hit.id), hit.score, std::string(hit.text), shard});
    std::push_heap(this->heap.begin(), this->heap.end(), hit_ranks_before);
  }
  return true;
}

std::vector<Hit> HitMerger::take() {
  std::sort_heap(this->heap.begin(), this->heap.end(), hit_ranks_before);
  return std::exchange(this->heap, {});
}

}  // namespace ibismux::query
