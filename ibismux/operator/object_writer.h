#ifndef IBISMUX_OPERATOR_OBJECT_WRITER_H_
#define IBISMUX_OPERATOR_OBJECT_WRITER_H_

#include <optional>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/release/object_codec.h"
#include "ibismux/store/object_store.h"

namespace ibismux::operators {

/// What an operator's write must find in place of the object.
struct WriteCondition {
  enum class Kind : unsigned char {
    kNone,     ///< Anything.
    kVersion,  ///< This version; If-Match.
    kAbsent,   ///< No object; If-None-Match: *.
  };

  Kind kind = Kind::kNone;
  store::Version version = 0;
};

/// How a write ended.
struct WriteOutcome {
  store::Version version = 0;  ///< Now; the current one on a conflict.
  std::string change_id;
  bool created = false;
  bool unchanged = false;  ///< The object was so already; nothing was written.
};

/// A write that did not take place, with the version that stands instead.
struct WriteFailure {
  Error error;
  std::optional<store::Version> current;
};

/// Writes operators' objects to the platform's store. Thread safe.
class ObjectWriter {
 public:
  using Outcome = tl::expected<WriteOutcome, WriteFailure>;

  /// @param store Outlives this.
  ObjectWriter(store::ObjectStore& store, std::chrono::milliseconds timeout)
      : store(store), timeout(timeout) {}

  /// Writes `record`, a spec or a tombstone, with its change id.
  ///
  /// A lost answer is settled by reading the object back and looking for the
  /// change id in it; the same change id sent again is thus written once.
  /// Errors: kConflict, with the current version; kNotFound for the deletion of
  /// what isn't there; kOutcomeUnknown where someone wrote again before the
  /// answer could be settled; else as of `ObjectStore`.
  [[nodiscard]] Task<Outcome> write(release::ObjectRecord record,
                                    WriteCondition condition);

 private:
  struct Current {
    store::Version version = 0;
    std::optional<release::ObjectRecord> record;  ///< None: absent or broken.

    /// A tombstone counts as no object.
    [[nodiscard]] bool exists() const noexcept {
      return this->version != 0 && !(this->record && this->record->deleted);
    }
  };

  [[nodiscard]] Task<Result<Current>> read(release::ObjectKey key);
  [[nodiscard]] Task<Outcome> write_over(release::ObjectRecord record,
                                         Current current);
  [[nodiscard]] Task<Outcome> settle(release::ObjectRecord record,
                                     store::Version expected,
                                     Error error);

  store::ObjectStore& store;
  std::chrono::milliseconds timeout;
};

}  // namespace ibismux::operators

#endif  // IBISMUX_OPERATOR_OBJECT_WRITER_H_
