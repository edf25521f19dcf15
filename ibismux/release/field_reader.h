#ifndef IBISMUX_RELEASE_FIELD_READER_H_
#define IBISMUX_RELEASE_FIELD_READER_H_

#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ibismux/base/error.h"

namespace ibismux::release {

/// Reads the fields of one JSON object with checks, and keeps the first error.
///
/// Each method leaves its target as it is where the field is absent. An error
/// names where the object stands, the field, and what is allowed.
///
///     FieldReader reader(json, "shard/s1: spec");
///     reader.text("service", shard.service, FieldReader::kRequired);
///     return reader.finish();
///
/// Not thread safe.
class FieldReader {
 public:
  enum Presence : bool { kOptional, kRequired };

  /// @param json Outlives the reader.
  FieldReader(const boost::json::object& json, std::string where);

  /// @name Fields
  /// @{
  void text(std::string_view field, std::string& target, Presence presence);
  /// The name of another object.
  void name(std::string_view field, std::string& target, Presence presence);
  void names(std::string_view field,
             std::vector<std::string>& target,
             Presence presence);
  void flag(std::string_view field, bool& target);
  void number(std::string_view field,
              double& target,
              double least,
              double most);
  /// A whole number in [least, most].
  template <class T>
  void integer(std::string_view field,
               T& target,
               T least,
               T most,
               Presence presence = kOptional) {
    const std::optional<std::uint64_t> value =
        this->whole(field, least, most, presence);
    if (value) {
      target = static_cast<T>(*value);
    }
  }
  void millis(std::string_view field, std::chrono::milliseconds& target);
  void millis(std::string_view field,
              std::optional<std::chrono::milliseconds>& target);
  /// The field's value for a check of the caller's own; null where absent.
  [[nodiscard]] const boost::json::value* take(std::string_view field,
                                               Presence presence);
  /// @}

  /// Records that `field` is not what is `allowed`.
  void refuse(std::string_view field, std::string_view allowed);

  /// The first error; a field that was never asked for is one.
  [[nodiscard]] Result<void> finish();

  /// The field of the first error; empty before there is one.
  [[nodiscard]] const std::string& refused() const noexcept {
    return this->refused_field;
  }

 private:
  [[nodiscard]] std::optional<std::uint64_t> whole(std::string_view field,
                                                   std::uint64_t least,
                                                   std::uint64_t most,
                                                   Presence presence);

  const boost::json::object& json;
  std::string where;
  std::vector<std::string_view> known;
  std::optional<Error> error;
  std::string refused_field;
};

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_FIELD_READER_H_
