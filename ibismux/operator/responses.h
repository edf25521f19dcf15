#ifndef IBISMUX_OPERATOR_RESPONSES_H_
#define IBISMUX_OPERATOR_RESPONSES_H_

#include <boost/json/object.hpp>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/http/message.h"
#include "ibismux/operator/object_writer.h"
#include "ibismux/operator/operator_ports.h"
#include "ibismux/release/object_spec.h"
#include "ibismux/release/object_status.h"

namespace ibismux::operators {

/// An answer whose body is `json`. Thread safe, as all functions here.
[[nodiscard]] http::Response json_response(int status,
                                           const boost::json::object& json);

/// A refusal: status and name by the table of error kinds.
[[nodiscard]] http::Response error_response(const Error& error);

/// The refusal of a write; tells the current version where it is known.
[[nodiscard]] http::Response write_failure_response(
    const WriteFailure& failure);

[[nodiscard]] boost::json::object in_force_json(const InForce& in_force);

/// `in_force` is that of the status' generation.
[[nodiscard]] boost::json::object status_json(
    const release::ObjectStatus& status,
    const InForce& in_force);

/// `kind` and `name`, the first fields of whatever speaks of an object.
[[nodiscard]] boost::json::object key_json(const release::ObjectKey& key);

}  // namespace ibismux::operators

#endif  // IBISMUX_OPERATOR_RESPONSES_H_
