#include <boost/json/parse.hpp>
#include <fstream>
#include <iterator>
#include <set>
#include <string>

#include "ibismux/base/error.h"

#include <criterion/criterion.h>

using namespace ibismux;

namespace {

boost::json::value document() {
  std::ifstream file(IBISMUX_DOCS "/callers.openapi.json");
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  return boost::json::parse(text);
}

std::set<std::string> documented_kinds() {
  const auto kinds =
      document().at_pointer("/components/schemas/ErrorKind/enum").as_array();
  std::set<std::string> names;
  for (const auto& kind : kinds) {
    names.emplace(kind.as_string());
  }
  return names;
}

std::set<std::string> table_kinds() {
  std::set<std::string> names;
  for (std::size_t i = 0; i < kErrorKinds; ++i) {
    names.emplace(error_entry(static_cast<ErrorKind>(i)).name);
  }
  return names;
}

}  // namespace

Test(caller_openapi, lists_every_error_kind) {
  cr_assert(documented_kinds() == table_kinds());
}

Test(caller_openapi, documents_every_status_of_the_table) {
  const auto responses =
      document()
          .at_pointer("/paths/~1v1~1services~1{service}~1query/post/responses")
          .as_object();
  for (std::size_t i = 0; i < kErrorKinds; ++i) {
    const ErrorEntry& entry = error_entry(static_cast<ErrorKind>(i));
    // No answer to a caller: a conflict is an operator's.
    if (entry.kind != ErrorKind::kConflict) {
      cr_assert(responses.contains(std::to_string(entry.http_status)), "%d",
                entry.http_status);
    }
  }
}
