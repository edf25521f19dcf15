#ifndef IBISMUX_RELEASE_OBJECT_CODEC_H_
#define IBISMUX_RELEASE_OBJECT_CODEC_H_

#include <boost/json/object.hpp>
#include <string>
#include <string_view>

#include "ibismux/base/error.h"
#include "ibismux/base/time.h"
#include "ibismux/release/object_spec.h"

namespace ibismux::release {

/// One operator's write of one object, as it stands in the platform's store:
///
///     {"kind":"shard","name":"s1","spec":{...},
///      "meta":{"change_id":"...","operator":"ana","at_ms":1764700000000}}
///
/// `meta` is absent where someone wrote straight to the platform. A deletion is
/// written as a tombstone, `"deleted":true` in place of `spec`, so that who
/// deleted it is known, and is removed once it is accepted.
struct ObjectRecord {
  ObjectKey key;
  bool deleted = false;
  ObjectSpec spec;  ///< Without meaning where `deleted`.
  std::string change_id;
  std::string who;
  std::int64_t at_ms = 0;  ///< Wall-clock time since 1970; 0 if unknown.
};

/// The object that `json` describes, without regard to other objects.
/// kInvalidRequest names the object, the field and what is allowed.
/// Thread safe.
/// @param refused Where not null, gets the path of the field that an error is
/// about, such as `spec.end`.
[[nodiscard]] Result<ObjectRecord> parse_object(const boost::json::object& json,
                                                std::string* refused = nullptr);

/// The same of a text. Comments and trailing commas are allowed. Thread safe.
[[nodiscard]] Result<ObjectRecord> parse_object(std::string_view text);

/// The spec of an object of `key`. Thread safe.
[[nodiscard]] Result<ObjectSpec> parse_spec(const ObjectKey& key,
                                            const boost::json::object& json);

/// `spec` with every field spelled out, but for its name. Thread safe.
[[nodiscard]] boost::json::object spec_to_json(const ObjectSpec& spec);

/// What `parse_object` reads back. Thread safe.
[[nodiscard]] boost::json::object object_to_json(const ObjectRecord& record);

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_OBJECT_CODEC_H_
