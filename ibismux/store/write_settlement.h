#ifndef IBISMUX_STORE_WRITE_SETTLEMENT_H_
#define IBISMUX_STORE_WRITE_SETTLEMENT_H_

#include <optional>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/store/stored_object.h"

namespace ibismux::store {

/// Decides whether a conditional write took effect, from what its attempts and
/// the reads after them say.
///
/// An answer can be lost after the write took effect. Taking that for a failure
/// would make the writer repeat a change that is already there, or refuse one
/// that is in force. Reading back once does not settle it either: a request
/// that is still on its way may take effect after the read. So the same write
/// is sent again under the same condition. At most one of the attempts can take
/// effect, and once the version has moved on none of them can any more.
///
/// Free of I/O and clocks; one object a write. Not thread safe.
class WriteSettlement {
 public:
  enum class Step : unsigned char {
    kDone,       ///< `result()` is set.
    kReadBack,   ///< Read the object and call `after_read()`.
    kWriteAgain  ///< Pause, send the same write and call `after_write()`.
  };

  /// What a read says of the write.
  enum class Trace : unsigned char {
    kPresent,  ///< The object shows that the write took effect.
    kAbsent,   ///< The object shows that it did not, up to its version.
    kErased,   ///< Can't be told: what would show it is gone.
  };

  /// @param expected The version that the write is conditional on.
  explicit WriteSettlement(Version expected) noexcept : expected(expected) {}

  /// The write, or the same one again, ended so.
  [[nodiscard]] Step after_write(const Result<Version>& written);

  /// The read came back. Precondition: the last step was kReadBack.
  /// @param found The version of the object, 0 where there is none; or why it
  /// could not be read.
  /// @param trace Matters only where `found` is a version.
  [[nodiscard]] Step after_read(const Result<Version>& found, Trace trace);

  /// The version under which the write took effect or was seen to; or
  /// kOutcomeUnknown where the object can't tell any more; or the write's own
  /// error with `Execution::kNotRun`. Precondition: the last step was kDone.
  [[nodiscard]] const Result<Version>& result() const { return *this->settled; }

  /// What to answer where time is up before kDone.
  [[nodiscard]] Error unsettled() const;

 private:
  Step finish(Result<Version> result);

  Version expected;
  /// An attempt was sent whose answer never came.
  bool doubtful = false;
  std::optional<Error> last_error;
  std::optional<Result<Version>> settled;
};

}  // namespace ibismux::store

#endif  // IBISMUX_STORE_WRITE_SETTLEMENT_H_
