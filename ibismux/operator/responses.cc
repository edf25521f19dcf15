#include "ibismux/operator/responses.h"

#include <boost/json/serialize.hpp>

namespace ibismux::operators {
namespace {

namespace json = boost::json;

json::object error_json(const Error& error) {
  return {{"error", error_entry(error.kind).name},
          {"message", error.message},
          {"execution",
           error.execution == Execution::kNotRun ? "not_run" : "unknown"}};
}

}  // namespace

http::Response json_response(int status, const json::object& json) {
  http::Response response;
  response.status = status;
  response.add("Content-Type", "application/json");
  response.body = json::serialize(json) + "\n";
  return response;
}

http::Response error_response(const Error& error) {
  return json_response(error_entry(error.kind).http_status, error_json(error));
}

http::Response write_failure_response(const WriteFailure& failure) {
  json::object body = error_json(failure.error);
  if (failure.current) {
    body["version"] = *failure.current;
  }
  return json_response(error_entry(failure.error.kind).http_status, body);
}

json::object in_force_json(const InForce& in_force) {
  return {{"reached", in_force.reached}, {"members", in_force.members}};
}

json::object status_json(const release::ObjectStatus& status,
                         const InForce& in_force) {
  json::object out{{"state", to_string(status.state)},
                   {"version_in_force", status.version}};
  if (status.state != release::ObjectState::kPending) {
    out["generation"] = status.generation;
    out["in_force"] = in_force_json(in_force);
  }
  if (!status.change_id.empty()) {
    out["change_id"] = status.change_id;
  }
  if (!status.reason.empty()) {
    out["reason"] = status.reason;
  }
  return out;
}

json::object key_json(const release::ObjectKey& key) {
  return {{"kind", to_string(key.kind)}, {"name", key.name}};
}

}  // namespace ibismux::operators
