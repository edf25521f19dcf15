#include "ibismux/http/message.h"

#include <criterion/criterion.h>

using ibismux::http::Request;
using ibismux::http::split_path;

Test(http_message, field_ignores_case) {
  Request request;
  request.add("X-Caller", "bay-3");
  cr_assert(request.field("x-caller") == "bay-3");
  cr_assert(request.field("X-Call").empty());
}

Test(http_message, parameter_is_unescaped) {
  Request request;
  request.target = "/v1/watch/a?since=7&name=caf%C3%A9+x&flag&bad=%zz%4";
  cr_assert(request.path() == "/v1/watch/a");
  cr_assert(request.parameter("since") == "7");
  cr_assert(request.parameter("name") == "caf\xc3\xa9 x");
  cr_assert(request.parameter("flag").empty());
  cr_assert(request.parameter("bad") == "%zz%4");
  cr_assert(request.parameter("absent").empty());
}

Test(http_message, path_parts_keep_escaped_slashes_whole) {
  cr_assert(split_path("/").empty());
  cr_assert(split_path("").empty());
  const auto parts = split_path("/v1/a%20b/x%2Fy//z+");
  cr_assert(parts.size() == 5);
  cr_assert(parts[1] == "a b");
  cr_assert(parts[2] == "x/y");
  cr_assert(parts[3].empty());
  cr_assert(parts[4] == "z+");
}
