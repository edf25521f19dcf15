#include "standins/leaf/leaf_config.h"

#include <boost/json/array.hpp>
#include <utility>

namespace fake_leaf {

namespace {

struct NumberKey {
  std::string_view name;
  double LeafConfig::*member;
};
struct TextKey {
  std::string_view name;
  std::string LeafConfig::*member;
};
struct FlagKey {
  std::string_view name;
  bool LeafConfig::*member;
};

constexpr NumberKey kNumbers[] = {
    {"slots", &LeafConfig::slots},
    {"queue", &LeafConfig::queue},
    {"connections", &LeafConfig::connections},
    {"connect_ms", &LeafConfig::connect_ms},
    {"delay_ms", &LeafConfig::delay_ms},
    {"service_ms", &LeafConfig::service_ms},
    {"sigma", &LeafConfig::sigma},
    {"straggle_share", &LeafConfig::straggle_share},
    {"straggle_factor", &LeafConfig::straggle_factor},
    {"cold_ms", &LeafConfig::cold_ms},
    {"cold_factor", &LeafConfig::cold_factor},
    {"shed_share", &LeafConfig::shed_share},
    {"late_share", &LeafConfig::late_share},
    {"late_ms", &LeafConfig::late_ms},
    {"duplicate_share", &LeafConfig::duplicate_share},
    {"wrong_echo_share", &LeafConfig::wrong_echo_share},
    {"truncate_share", &LeafConfig::truncate_share},
    {"die_share", &LeafConfig::die_share},
    {"health_lag_ms", &LeafConfig::health_lag_ms},
    {"health_load", &LeafConfig::health_load},
    {"hits", &LeafConfig::hits},
};
constexpr TextKey kTexts[] = {
    {"distribution", &LeafConfig::distribution},
    {"state", &LeafConfig::state},
    {"health_state", &LeafConfig::health_state},
};
constexpr FlagKey kFlags[] = {
    {"ignore_cancel", &LeafConfig::ignore_cancel},
    {"ignore_deadline", &LeafConfig::ignore_deadline},
};

template <class Table>
const auto* find(const Table& table, std::string_view name) {
  for (const auto& row : table) {
    if (row.name == name) {
      return &row;
    }
  }
  return static_cast<decltype(&table[0])>(nullptr);
}

std::string wrong(std::string_view key, std::string_view expected) {
  return std::string(key) + ": expected " + std::string(expected);
}

}  // namespace

std::optional<std::string> LeafConfig::set(std::string_view key,
                                           const boost::json::value& value) {
  if (const NumberKey* row = find(kNumbers, key)) {
    if (!value.is_number()) {
      return wrong(key, "a number");
    }
    this->*row->member = value.to_number<double>();
  } else if (const TextKey* row = find(kTexts, key)) {
    if (!value.is_string()) {
      return wrong(key, "a string");
    }
    this->*row->member = std::string(value.as_string());
  } else if (const FlagKey* row = find(kFlags, key)) {
    if (!value.is_bool()) {
      return wrong(key, "true or false");
    }
    this->*row->member = value.as_bool();
  } else if (key == "snapshots" && value.is_array()) {
    this->snapshots.clear();
    for (const boost::json::value& name : value.as_array()) {
      if (!name.is_string()) {
        return wrong(key, "names");
      }
      this->snapshots.emplace_back(name.as_string());
    }
  } else {
    return wrong(key, "a key and value of a leaf");
  }
  return std::nullopt;
}

std::optional<std::string> LeafConfig::merge(
    const boost::json::object& change) {
  LeafConfig next = *this;
  for (const auto& member : change) {
    if (auto problem = next.set(member.key(), member.value())) {
      return problem;
    }
  }
  *this = std::move(next);
  return std::nullopt;
}

}  // namespace fake_leaf
