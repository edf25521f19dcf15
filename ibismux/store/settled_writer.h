#ifndef IBISMUX_STORE_SETTLED_WRITER_H_
#define IBISMUX_STORE_SETTLED_WRITER_H_

#include <functional>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/store/object_store.h"
#include "ibismux/store/write_settlement.h"

namespace ibismux::store {

/// Writes on a condition, and finds out what became of a write whose answer was
/// lost.
///
///     SettledWriter writer(store);
///     auto version = co_await writer.put("releases", "head", value, 7,
///                                        has_change_id, deadline);
///
/// Thread safe.
class SettledWriter {
 public:
  /// Looks for this write in the object as it is now; the version is 0 where
  /// there is no object. Tells kAbsent only where the object would still show
  /// the write, also after later ones; kErased where it might not.
  using FindTrace =
      std::function<WriteSettlement::Trace(const StoredObject& object)>;

  /// @param store Outlives every call.
  explicit SettledWriter(ObjectStore& store) noexcept : store(store) {}

  /// Writes only if the object's version is `expected` (0: does not exist).
  ///
  /// @return The version under which the write took effect, or a later one that
  /// still shows it. An error with `Execution::kNotRun` is a promise that it
  /// did not and will not take effect; the first refusal of that kind is not
  /// tried again. kOutcomeUnknown: `deadline` passed, or the object can't tell.
  [[nodiscard]] Task<Result<Version>> put(std::string collection,
                                          std::string name,
                                          std::string value,
                                          Version expected,
                                          FindTrace find_trace,
                                          TimePoint deadline);

 private:
  ObjectStore& store;
};

}  // namespace ibismux::store

#endif  // IBISMUX_STORE_SETTLED_WRITER_H_
