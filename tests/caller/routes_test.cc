#include "ibismux/caller/routes.h"

#include <string>

#include "ibismux/http/message.h"

#include <criterion/criterion.h>

using namespace ibismux;
using namespace ibismux::caller;

namespace {

Result<Route> route(std::string method, std::string target) {
  http::Request request;
  request.method = std::move(method);
  request.target = std::move(target);
  return find_route(request);
}

}  // namespace

Test(caller_routes, finds_operations_and_names) {
  cr_assert(route("POST", "/v1/services/bays/query?x=1")->operation ==
            Operation::kQuery);
  cr_assert(route("POST", "/v1/services/spares/reservations")->operation ==
            Operation::kReserve);
  const auto ask = route("GET", "/v1/services/spares/reservations/a%2Fb");
  cr_assert(ask->operation == Operation::kAskKey);
  cr_assert(ask->service == "spares");
  cr_assert(ask->key == "a/b");
  cr_assert(route("POST", "/v1/tickets")->operation == Operation::kIssueTicket);
}

Test(caller_routes, refuses_other_paths_methods_and_names) {
  for (const char* target : {"/", "/v1", "/v1/services/bays", "/v2/tickets",
                             "/v1/services/bays/query/x", "/v1/tickets/"}) {
    cr_assert(route("POST", target).error().kind == ErrorKind::kNotFound, "%s",
              target);
  }
  const auto method = route("GET", "/v1/services/bays/query");
  cr_assert(method.error().kind == ErrorKind::kInvalidRequest);
  cr_assert(method.error().message == "method: allowed is POST");
  for (const char* target : {"/v1/services//query", "/v1/services/a%0Ab/query",
                             "/v1/services/caf%C3%A9/query"}) {
    const auto named = route("POST", target);
    cr_assert(named.error().kind == ErrorKind::kInvalidRequest, "%s", target);
    cr_assert(named.error().message.starts_with("service: "), "%s", target);
  }
}
