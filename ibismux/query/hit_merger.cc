#include "ibismux/query/hit_merger.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <optional>
#include <utility>

namespace ibismux::query {

namespace {

namespace json = boost::json;

/// Enough for the answer of a usual leaf without touching the heap.
constexpr std::size_t kParseBuffer = 16 * 1024;

/// A hit as it stands in the parsed body, not yet copied.
struct HitRef {
  std::string_view id;
  double score = 0;
  std::string_view text;
};

std::optional<std::string_view> text_at(const json::object& object,
                                        std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_string()) {
    return std::nullopt;
  }
  return std::string_view(value->get_string());
}

std::optional<HitRef> hit_ref(const json::value& value) {
  const json::object* object = value.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const std::optional<std::string_view> id = text_at(*object, "id");
  const std::optional<std::string_view> text = text_at(*object, "text");
  const json::value* score = object->if_contains("score");
  if (!id || !text || score == nullptr || !score->is_number()) {
    return std::nullopt;
  }
  const double number = score->to_number<double>();
  if (!std::isfinite(number)) {
    return std::nullopt;
  }
  return HitRef{*id, number, *text};
}

/// Whether `a` stands before `b` in an answer.
bool before(double score_a,
            std::string_view id_a,
            double score_b,
            std::string_view id_b) noexcept {
  return score_a != score_b ? score_a > score_b : id_a < id_b;
}

bool hit_before(const Hit& a, const Hit& b) noexcept {
  return before(a.score, a.id, b.score, b.id);
}

/// Every hit of `body`, or nothing if it is malformed. The references live as
/// long as `body`.
std::optional<std::vector<HitRef>> hits_of(const json::value& body) {
  const json::object* object = body.if_object();
  const json::value* list =
      object == nullptr ? nullptr : object->if_contains("hits");
  if (list == nullptr || !list->is_array()) {
    return std::nullopt;
  }
  std::vector<HitRef> hits;
  hits.reserve(list->get_array().size());
  for (const json::value& value : list->get_array()) {
    const std::optional<HitRef> hit = hit_ref(value);
    if (!hit) {
      return std::nullopt;
    }
    hits.push_back(*hit);
  }
  return hits;
}

}  // namespace

bool HitMerger::merge(std::string_view body, const std::string& shard) {
  std::array<unsigned char, kParseBuffer> buffer;
  json::monotonic_resource memory(buffer.data(), buffer.size());
  boost::system::error_code error;
  const json::value parsed = json::parse(body, error, &memory);
  if (error) {
    return false;
  }
  const std::optional<std::vector<HitRef>> hits = hits_of(parsed);
  if (!hits) {
    return false;
  }
  for (const HitRef& hit : *hits) {
    if (this->heap.size() == this->most) {
      if (this->most == 0 ||
          !before(hit.score, hit.id, this->heap[0].score, this->heap[0].id)) {
        continue;
      }
      std::pop_heap(this->heap.begin(), this->heap.end(), hit_before);
      this->heap.pop_back();
    }
    this->heap.push_back(
        Hit{std::string(hit.id), hit.score, std::string(hit.text), shard});
    std::push_heap(this->heap.begin(), this->heap.end(), hit_before);
  }
  return true;
}

std::vector<Hit> HitMerger::take() {
  std::sort_heap(this->heap.begin(), this->heap.end(), hit_before);
  return std::exchange(this->heap, {});
}

}  // namespace ibismux::query
