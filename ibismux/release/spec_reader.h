#ifndef IBISMUX_RELEASE_SPEC_READER_H_
#define IBISMUX_RELEASE_SPEC_READER_H_

#include "ibismux/release/field_reader.h"
#include "ibismux/release/object_spec.h"

namespace ibismux::release {

/// Reads the fields of a spec from `reader` into a default one of `kind`, with
/// the checks that need no other object. Errors are kept by `reader`.
/// Not thread safe.
[[nodiscard]] ObjectSpec read_spec(const ObjectKey& key, FieldReader& reader);

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_SPEC_READER_H_
