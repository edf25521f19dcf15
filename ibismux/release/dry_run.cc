#include "ibismux/release/dry_run.h"

#include <algorithm>
#include <utility>

#include "ibismux/release/candidate.h"

namespace ibismux::release {
namespace {

/// What the store would show if it held just what is in force.
ObjectView view_of(const ReleaseContents& base) {
  ObjectView view;
  view.version = base.head.objects_version;
  for (const auto& [key, object] : base.objects) {
    ObjectRecord record{.key = key, .spec = *object.spec};
    view.objects.emplace(key,
                         ObservedObject{object.version, std::move(record)});
    view.version = std::max(view.version, object.version);
  }
  return view;
}

}  // namespace

std::vector<DryRunVerdict> dry_run(const ReleaseContents& base,
                                   const std::vector<ObjectRecord>& records) {
  ObjectView view = view_of(base);
  for (const ObjectRecord& record : records) {
    view.objects.insert_or_assign(record.key,
                                  ObservedObject{++view.version, record});
  }
  const Candidate candidate = decide(base, view, 0);
  std::vector<DryRunVerdict> verdicts;
  for (const ObjectRecord& record : records) {
    const auto rejected = candidate.rejections.find(record.key);
    const bool accepted = rejected == candidate.rejections.end();
    verdicts.push_back(
        {record.key, accepted, accepted ? "" : rejected->second.reason});
  }
  return verdicts;
}

}  // namespace ibismux::release
