#include "ibismux/query/hit_reader.h"

#include <boost/json/basic_parser_impl.hpp>
#include <cmath>
#include <cstdint>

namespace ibismux::query {

namespace {

namespace json = boost::json;
using json::error_code;
using json::string_view;

/// A range of the concatenated strings.
struct Span {
  std::size_t begin = 0;
  std::size_t size = 0;
};

struct HitSpans {
  std::optional<Span> id;
  std::optional<double> score;
  std::optional<Span> text;

  [[nodiscard]] bool complete() const noexcept {
    return this->id && this->score && this->text;
  }
};

/// Handles parser events without building a document tree, since parsing is
/// most of the CPU cost of an answer.
class HitHandler {
 public:
  // Names that `json::basic_parser` requires. The size of the body already
  // bounds each of them.
  static constexpr std::size_t max_object_size = SIZE_MAX;  // NOLINT
  static constexpr std::size_t max_array_size = SIZE_MAX;   // NOLINT
  static constexpr std::size_t max_key_size = SIZE_MAX;     // NOLINT
  static constexpr std::size_t max_string_size = SIZE_MAX;  // NOLINT

  /// @name Result
  /// @{
  std::string* texts = nullptr;
  std::vector<HitSpans> hits;
  bool has_hits = false;
  bool malformed = false;
  /// @}

  /// @name Events
  /// @{
  bool on_document_begin(error_code&) { return true; }
  bool on_document_end(error_code&) { return true; }

  bool on_object_begin(error_code&) {
    if (this->depth == kHitDepth - 1 && this->in_hits) {
      this->hits.emplace_back();
    } else {
      this->on_unused_value(Kind::kObject);
    }
    ++this->depth;
    return true;
  }

  bool on_object_end(std::size_t, error_code&) {
    --this->depth;
    if (this->depth == kHitDepth - 1 && this->in_hits) {
      this->malformed |= !this->hits.back().complete();
    }
    return true;
  }

  bool on_array_begin(error_code&) {
    if (this->depth == kRootDepth && this->key == "hits") {
      this->in_hits = true;
      this->has_hits = true;
      this->hits.clear();
    } else {
      this->on_unused_value(Kind::kArray);
    }
    ++this->depth;
    return true;
  }

  bool on_array_end(std::size_t, error_code&) {
    --this->depth;
    this->in_hits = this->in_hits && this->depth != kRootDepth;
    return true;
  }

  bool on_key_part(string_view part, std::size_t, error_code&) {
    this->next_key.append(part.data(), part.size());
    return true;
  }

  bool on_key(string_view part, std::size_t, error_code&) {
    this->next_key.append(part.data(), part.size());
    if (this->depth <= kHitDepth) {
      this->key.swap(this->next_key);
    }
    this->next_key.clear();
    return true;
  }

  bool on_string_part(string_view part, std::size_t, error_code&) {
    this->texts->append(part.data(), part.size());
    this->string_size += part.size();
    return true;
  }

  bool on_string(string_view part, std::size_t, error_code&) {
    this->texts->append(part.data(), part.size());
    const std::size_t size = this->string_size + part.size();
    this->string_size = 0;
    const Span span{this->texts->size() - size, size};
    if (this->in_hit() && this->key == "id") {
      this->hits.back().id = span;
    } else if (this->in_hit() && this->key == "text") {
      this->hits.back().text = span;
    } else {
      this->texts->resize(span.begin);
      this->on_unused_value(Kind::kScalar);
    }
    return true;
  }

  bool on_number_part(string_view, error_code&) { return true; }
  bool on_int64(std::int64_t value, string_view, error_code&) {
    return this->on_number(static_cast<double>(value));
  }
  bool on_uint64(std::uint64_t value, string_view, error_code&) {
    return this->on_number(static_cast<double>(value));
  }
  bool on_double(double value, string_view, error_code&) {
    return this->on_number(value);
  }
  bool on_bool(bool, error_code&) {
    return this->on_unused_value(Kind::kScalar);
  }
  bool on_null(error_code&) { return this->on_unused_value(Kind::kScalar); }
  bool on_comment_part(string_view, error_code&) { return true; }
  bool on_comment(string_view, error_code&) { return true; }
  /// @}

 private:
  enum class Kind : unsigned char { kObject, kArray, kScalar };

  /// Nesting depth of the root object's members.
  static constexpr int kRootDepth = 1;
  /// Nesting depth of a hit's members: inside the root, the list and the hit.
  static constexpr int kHitDepth = 3;

  [[nodiscard]] bool in_hit() const noexcept {
    return this->in_hits && this->depth == kHitDepth;
  }

  bool on_number(double value) {
    if (this->in_hit() && this->key == "score") {
      this->hits.back().score = value;
      this->malformed |= !std::isfinite(value);
      return true;
    }
    return this->on_unused_value(Kind::kScalar);
  }

  /// Handles a value that isn't part of a hit. The answer is malformed if the
  /// format requires a list, a hit or a member of a hit at this place.
  bool on_unused_value(Kind kind) {
    if (this->depth == 0) {
      this->malformed |= kind != Kind::kObject;
    } else if (this->depth == kRootDepth) {
      this->malformed |= this->key == "hits";
    } else if (this->in_hits && this->depth == kHitDepth - 1) {
      this->malformed = true;
    } else if (this->in_hit()) {
      this->malformed |=
          this->key == "id" || this->key == "score" || this->key == "text";
    }
    return true;
  }

  int depth = 0;
  bool in_hits = false;
  std::string key;  ///< Key of the next value, down to a hit's members.
  std::string next_key;
  std::size_t string_size = 0;  ///< Size of the string's parts so far.
};

}  // namespace

std::optional<std::vector<HitRef>> HitReader::read(std::string_view body) {
  this->texts.clear();
  json::basic_parser<HitHandler> parser{json::parse_options{}};
  HitHandler& handler = parser.handler();
  handler.texts = &this->texts;
  error_code error;
  const std::size_t read =
      parser.write_some(false, body.data(), body.size(), error);
  if (error || read != body.size() || !parser.done() || handler.malformed ||
      !handler.has_hits) {
    return std::nullopt;
  }
  const std::string_view all = this->texts;
  std::vector<HitRef> hits;
  hits.reserve(handler.hits.size());
  for (const HitSpans& hit : handler.hits) {
    hits.push_back({all.substr(hit.id->begin, hit.id->size), *hit.score,
                    all.substr(hit.text->begin, hit.text->size)});
  }
  return hits;
}

}  // namespace ibismux::query
