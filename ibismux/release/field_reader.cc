#include "ibismux/release/field_reader.h"

#include <algorithm>
#include <boost/json/value.hpp>
#include <utility>

#include "ibismux/release/object_key.h"

namespace ibismux::release {
namespace {

constexpr std::uint64_t kMostMillis = 3'600'000;
constexpr std::size_t kMostNames = 65536;
constexpr std::string_view kAllowedName = "1 to 128 of A-Z a-z 0-9 . _ -";

std::optional<std::uint64_t> whole_of(const boost::json::value& value) {
  if (value.is_uint64()) {
    return value.get_uint64();
  }
  if (value.is_int64() && value.get_int64() >= 0) {
    return static_cast<std::uint64_t>(value.get_int64());
  }
  return std::nullopt;
}

std::optional<double> number_of(const boost::json::value& value) {
  if (value.is_double()) {
    return value.get_double();
  }
  if (value.is_int64()) {
    return static_cast<double>(value.get_int64());
  }
  if (value.is_uint64()) {
    return static_cast<double>(value.get_uint64());
  }
  return std::nullopt;
}

/// A number without trailing zeros.
std::string plain(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') {
    text.pop_back();
  }
  return text;
}

}  // namespace

FieldReader::FieldReader(const boost::json::object& json, std::string where)
    : json(json), where(std::move(where)) {}

const boost::json::value* FieldReader::take(std::string_view field,
                                            Presence presence) {
  this->known.push_back(field);
  const boost::json::value* value = this->json.if_contains(field);
  if (value == nullptr && presence == kRequired) {
    this->refuse(field, "given; it is required");
  }
  return value;
}

void FieldReader::refuse(std::string_view field, std::string_view allowed) {
  if (!this->error) {
    this->refused_field = field;
    this->error = make_error(ErrorKind::kInvalidRequest,
                             this->where + ": " + std::string(field) +
                                 " must be " + std::string(allowed));
  }
}

void FieldReader::text(std::string_view field,
                       std::string& target,
                       Presence presence) {
  const boost::json::value* value = this->take(field, presence);
  if (value == nullptr) {
    return;
  }
  if (!value->is_string()) {
    this->refuse(field, "a string");
    return;
  }
  target = std::string(value->get_string());
}

void FieldReader::name(std::string_view field,
                       std::string& target,
                       Presence presence) {
  const boost::json::value* value = this->take(field, presence);
  if (value == nullptr) {
    return;
  }
  if (!value->is_string() || !is_object_name(value->get_string())) {
    this->refuse(field, kAllowedName);
    return;
  }
  target = std::string(value->get_string());
}

void FieldReader::names(std::string_view field,
                        std::vector<std::string>& target,
                        Presence presence) {
  const boost::json::value* value = this->take(field, presence);
  if (value == nullptr) {
    return;
  }
  if (!value->is_array() || value->get_array().size() > kMostNames) {
    this->refuse(field, "an array of at most 65536 names");
    return;
  }
  std::vector<std::string> names;
  for (const boost::json::value& item : value->get_array()) {
    if (!item.is_string() || !is_object_name(item.get_string())) {
      this->refuse(field,
                   "an array of names, each " + std::string(kAllowedName));
      return;
    }
    names.emplace_back(item.get_string());
  }
  std::vector<std::string> sorted = names;
  std::sort(sorted.begin(), sorted.end());
  const auto twin = std::adjacent_find(sorted.begin(), sorted.end());
  if (twin != sorted.end()) {
    this->refuse(field, "an array that names each object once; \"" + *twin +
                            "\" stands in it twice");
    return;
  }
  target = std::move(names);
}

void FieldReader::flag(std::string_view field, bool& target) {
  const boost::json::value* value = this->take(field, kOptional);
  if (value == nullptr) {
    return;
  }
  if (!value->is_bool()) {
    this->refuse(field, "true or false");
    return;
  }
  target = value->get_bool();
}

void FieldReader::number(std::string_view field,
                         double& target,
                         double least,
                         double most) {
  const boost::json::value* value = this->take(field, kOptional);
  if (value == nullptr) {
    return;
  }
  const std::optional<double> number = number_of(*value);
  if (!number || !(*number >= least && *number <= most)) {
    this->refuse(field, "a number from " + plain(least) + " to " + plain(most));
    return;
  }
  target = *number;
}

std::optional<std::uint64_t> FieldReader::whole(std::string_view field,
                                                std::uint64_t least,
                                                std::uint64_t most,
                                                Presence presence) {
  const boost::json::value* value = this->take(field, presence);
  if (value == nullptr) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> number = whole_of(*value);
  if (!number || *number < least || *number > most) {
    this->refuse(field, "a whole number from " + std::to_string(least) +
                            " to " + std::to_string(most));
    return std::nullopt;
  }
  return number;
}

void FieldReader::millis(std::string_view field,
                         std::chrono::milliseconds& target) {
  const std::optional<std::uint64_t> value =
      this->whole(field, 1, kMostMillis, kOptional);
  if (value) {
    target = std::chrono::milliseconds(*value);
  }
}

void FieldReader::millis(std::string_view field,
                         std::optional<std::chrono::milliseconds>& target) {
  std::chrono::milliseconds value{0};
  this->millis(field, value);
  if (value.count() > 0) {
    target = value;
  }
}

Result<void> FieldReader::finish() {
  for (const auto& [key, value] : this->json) {
    const std::string_view field = key;
    if (std::find(this->known.begin(), this->known.end(), field) ==
        this->known.end()) {
      std::string allowed;
      for (const std::string_view name : this->known) {
        allowed += (allowed.empty() ? "" : ", ") + std::string(name);
      }
      this->refuse(field, "absent; the fields are " + allowed);
      break;
    }
  }
  if (this->error) {
    return tl::unexpected<Error>(*this->error);
  }
  return {};
}

}  // namespace ibismux::release
