#ifndef TESTS_SUPPORT_TEMPORARY_FILE_H_
#define TESTS_SUPPORT_TEMPORARY_FILE_H_

#include <string>

namespace ibismux::testing {

/// A file that goes with this object.
class TemporaryFile {
 public:
  /// Throws std::runtime_error where it can't be written.
  explicit TemporaryFile(const std::string& text = {});
  ~TemporaryFile();
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  [[nodiscard]] const std::string& name() const { return this->path; }

 private:
  std::string path;
};

}  // namespace ibismux::testing

#endif  // TESTS_SUPPORT_TEMPORARY_FILE_H_
