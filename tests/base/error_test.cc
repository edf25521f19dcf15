#include "ibismux/base/error.h"

#include <criterion/criterion.h>

namespace ibismux {
namespace {

Test(error, every_kind_is_found_by_its_name) {
  for (std::size_t i = 0; i < kErrorKinds; ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    cr_assert(error_kind_of(error_entry(kind).name) == kind);
  }
}

Test(error, an_unknown_name_has_no_kind) {
  cr_assert(!error_kind_of("no_such_kind").has_value());
}

Test(error, a_made_error_takes_the_execution_of_its_row) {
  cr_assert(make_error(ErrorKind::kOverloaded, "x").execution ==
            Execution::kNotRun);
  cr_assert(make_error(ErrorKind::kOutcomeUnknown, "x").execution ==
            Execution::kUnknown);
}

}  // namespace
}  // namespace ibismux
