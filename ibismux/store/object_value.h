#ifndef IBISMUX_STORE_OBJECT_VALUE_H_
#define IBISMUX_STORE_OBJECT_VALUE_H_

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <exception>
#include <string>
#include <string_view>

#include "ibismux/base/error.h"

namespace ibismux::store {

/// Reads a stored object's value, a JSON object, by `read`.
///
///     return decode_value<HostEntry>(value, "host entry", &entry_of);
///
/// @param what Names the value in the error.
/// @param read Throws where a member is absent or of another type.
/// Errors: kProtocolError. Thread safe.
template <class T>
[[nodiscard]] Result<T> decode_value(std::string_view value,
                                     const char* what,
                                     T (*read)(const boost::json::object&)) {
  try {
    return read(boost::json::parse(value).as_object());
  } catch (const std::exception& error) {
    return fail(ErrorKind::kProtocolError,
                std::string("malformed ") + what + ": " + error.what());
  }
}

}  // namespace ibismux::store

#endif  // IBISMUX_STORE_OBJECT_VALUE_H_
