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

// A request that a fixed leaf would run is tried once more after this time.
constexpr hours kFirstHold{1};
// One that ended a leaf at that trial, too, is not tried any more; operators
// lift it by deleting its object.
constexpr hours kLastingHold{24 * 365};

/// Throws what Boost.JSON throws where a member is absent or of another type.
QuarantineRecord record_of(const json::object& object) {
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

Standing QuarantineRecord::standing(UnixTime now) const noexcept {
  if (this->times_held > 0 && now < this->held_until) {
    return Standing::kQuarantined;
  }
  return this->leaf_runs.empty() ? Standing::kClear : Standing::kSuspect;
}

void QuarantineRecord::add(const std::string& leaf_run, UnixTime now) {
  if (this->standing(now) == Standing::kQuarantined) {
    return;
  }
  this->insert(leaf_run);
  if (this->leaf_runs.size() >= kLeafsToQuarantine) {
    this->hold(now);
  }
}

void QuarantineRecord::hold(UnixTime now) {
  this->held_until = now + (this->times_held == 0 ? kFirstHold : kLastingHold);
  ++this->times_held;
}

void QuarantineRecord::merge(const QuarantineRecord& other, UnixTime now) {
  for (const std::string& leaf_run : other.leaf_runs) {
    this->insert(leaf_run);
  }
  this->times_held = std::max(this->times_held, other.times_held);
  this->held_until = std::max(this->held_until, other.held_until);
  if (this->times_held == 0 && this->leaf_runs.size() >= kLeafsToQuarantine) {
    this->hold(now);
  }
}

void QuarantineRecord::insert(const std::string& leaf_run) {
  const auto place = std::lower_bound(this->leaf_runs.begin(),
                                      this->leaf_runs.end(), leaf_run);
  if (place != this->leaf_runs.end() && *place == leaf_run) {
    return;
  }
  this->leaf_runs.insert(place, leaf_run);
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
  return store::decode_value(value, "quarantine record", &record_of);
}

}  // namespace ibismux::quarantine
