#include <string>
#include <vector>

#include "apps/ibismuxctl/object_files.h"
#include "ibismux/release/dry_run.h"

#include <criterion/criterion.h>

namespace ibismux::ctl {
namespace {

struct Example {
  const char* file;
  std::size_t servers;
  std::size_t services;
};

constexpr Example kExamples[] = {{"bajio.json", 83, 27},
                                 {"valle.json", 115, 27},
                                 {"demo.json", 6, 2}};

std::size_t count(const std::vector<release::ObjectRecord>& records,
                  release::ObjectKind kind) {
  std::size_t found = 0;
  for (const release::ObjectRecord& record : records) {
    found += record.key.kind == kind ? 1 : 0;
  }
  return found;
}

Test(examples, are_accepted_whole) {
  for (const Example& example : kExamples) {
    const auto records = load_objects(
        {std::string(IBISMUX_SOURCE_DIR) + "/examples/" + example.file});
    cr_assert(records, "%s", records.error().message.c_str());
    cr_assert(count(*records, release::ObjectKind::kBackendServer) ==
              example.servers);
    cr_assert(count(*records, release::ObjectKind::kQueryService) ==
              example.services);
    for (const release::DryRunVerdict& verdict :
         release::dry_run(release::ReleaseContents{}, *records)) {
      cr_assert(verdict.accepted, "%s", verdict.reason.c_str());
    }
  }
}

}  // namespace
}  // namespace ibismux::ctl
