#include "tests/support/temporary_file.h"

#include <stdlib.h>
#include <unistd.h>

#include <stdexcept>

namespace ibismux::testing {

TemporaryFile::TemporaryFile(const std::string& text)
    : path("/tmp/ibismux-XXXXXX") {
  const int file = ::mkstemp(this->path.data());
  const bool written = file >= 0 && ::write(file, text.data(), text.size()) ==
                                        static_cast<ssize_t>(text.size());
  if (file >= 0) {
    ::close(file);
  }
  if (!written) {
    throw std::runtime_error("no temporary file");
  }
}

TemporaryFile::~TemporaryFile() {
  ::unlink(this->path.c_str());
}

}  // namespace ibismux::testing
