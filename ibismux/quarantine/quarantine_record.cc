#include "ibismux/quarantine/quarantine_record.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <stdexcept>

#include "ibismux/store/object_value.h"

namespace ibismux::quarantine {

namespace {

namespace json = boost::json;
using std::chrono::hours;

// After this time a request is tried once more, because the fault in the leafs
// may have been fixed.
constexpr hours kFirstQuarantine{1};
// A request that ends a leaf in that trial as well is practically not retried.
// Operators lift the quarantine by deleting its object.
constexpr hours kRepeatQuarantine{24 * 365};

/// Throws the exceptions of Boost.JSON if a member is absent or has the wrong
/// type, and std::length_error if there are too many leaf runs.
QuarantineRecord parse_record(const json::object& object) {
  QuarantineRecord record;
  record.leaf_runs =
      json::value_to<std::vector<std::string>>(object.at("leaf_runs"));
  if (record.leaf_runs.size() > QuarantineRecord::kLeafsToQuarantine) {
    throw std::length_error("too many leaf runs");
  }
  std::sort(record.leaf_runs.begin(), record.leaf_runs.end());
  record.times_held = json::value_to<std::uint32_t>(object.at("times_held"));
  record.held_until =
      UnixTime(json::value_to<std::int64_t>(object.at("held_until_ms")));
  return record;
}

}  // namespace

QuarantineState QuarantineRecord::state(UnixTime now) const noexcept {
  if (this->times_held > 0 && now < this->held_until) {
    return QuarantineState::kQuarantined;
  }
  return this->leaf_runs.empty() ? QuarantineState::kClear
                                 : QuarantineState::kSuspect;
}

void QuarantineRecord::add(const std::string& leaf_run, UnixTime now) {
  if (this->state(now) == QuarantineState::kQuarantined) {
    return;
  }
  this->insert(leaf_run);
  if (this->leaf_runs.size() >= kLeafsToQuarantine) {
    this->start_quarantine(now);
  }
}

void QuarantineRecord::start_quarantine(UnixTime now) {
  this->held_until =
      now + (this->times_held == 0 ? kFirstQuarantine : kRepeatQuarantine);
  ++this->times_held;
}

void QuarantineRecord::merge(const QuarantineRecord& other, UnixTime now) {
  for (const std::string& leaf_run : other.leaf_runs) {
    this->insert(leaf_run);
  }
  this->times_held = std::max(this->times_held, other.times_held);
  this->held_until = std::max(this->held_until, other.held_until);
  if (this->times_held == 0 && this->leaf_runs.size() >= kLeafsToQuarantine) {
    this->start_quarantine(now);
  }
}

void QuarantineRecord::insert(const std::string& leaf_run) {
  const auto position = std::lower_bound(this->leaf_runs.begin(),
                                         this->leaf_runs.end(), leaf_run);
  if (position != this->leaf_runs.end() && *position == leaf_run) {
    return;
  }
  this->leaf_runs.insert(position, leaf_run);
  if (this->leaf_runs.size() > kLeafsToQuarantine) {
    this->leaf_runs.pop_back();
  }
}

std::string encode(const QuarantineRecord& record) {
  return json::serialize(json::object{
      {"leaf_runs",
       json::array(record.leaf_runs.begin(), record.leaf_runs.end())},
      {"times_held", record.times_held},
      {"held_until_ms", record.held_until.count()}});
}

Result<QuarantineRecord> decode_quarantine_record(std::string_view value) {
  return store::decode_value(value, "quarantine record", &parse_record);
}

}  // namespace ibismux::quarantine
