#include "ibismux/edge/edge_settings.h"

#include <criterion/criterion.h>

#include "ibismux/settings/field_reader.h"

namespace ibismux::edge {
namespace {

using Outcome = tl::expected<EdgeSettings, std::vector<std::string>>;

Outcome read_text(const std::string& text) {
  const auto document = jsonc::parse("s.json", text).value();
  return settings::FieldReader<EdgeSettings>(document, edge_fields()).read();
}

std::string settings_with(const std::string& more) {
  return "{\"member\":\"a\",\"zone\":\"z\","
         "\"caller\":{\"endpoint\":\"10.0.0.1:80\"},"
         "\"ready\":{\"endpoint\":\"10.0.0.1:81\"},"
         "\"store\":{\"endpoint\":\"10.0.0.9:82\"}" +
         more + "}";
}

Test(edge_settings, required_keys_are_sufficient) {
  const Outcome outcome = read_text(settings_with(""));
  cr_assert(outcome.has_value());
  cr_assert(outcome->store_endpoint == "10.0.0.9:82");
  cr_assert(outcome->peer_endpoint.empty());
}

Test(edge_settings, values_of_every_kind_are_read) {
  const Outcome outcome = read_text(settings_with(
      ",\"repeats\":{\"ratio\":0.25,\"slack\":54},"
      "\"fleet\":{\"endpoint\":\"10.0.0.1:7000\",\"first_start\":true},"
      "\"stop\":{\"limit_s\":7}"));
  cr_assert(outcome.has_value());
  cr_assert(outcome->repeat_ratio == 0.25);
  cr_assert(outcome->repeat_slack == 54);
  cr_assert(outcome->first_start);
  cr_assert(outcome->stop_limit == std::chrono::milliseconds(7000));
}

Test(edge_settings, invalid_value_is_reported_with_its_position) {
  for (const char* invalid : {"\"10.0.0.1\"", "\"10.0.0.1:x\"", "\":80\"", "80",
                              "\"host:80\"", "\"10.0.0.1:70000\"", "null"}) {
    const Outcome outcome = read_text(settings_with(
        std::string(",\n\"metrics\":{\"endpoint\":") + invalid + "}"));
    cr_assert(!outcome.has_value());
    cr_assert(
        outcome.error().front().starts_with("s.json:2:12: metrics.endpoint: "));
  }
}

Test(edge_settings, numbers_out_of_bounds_are_rejected) {
  for (const char* invalid :
       {"{\"ratio\":-0.1}", "{\"ratio\":\"x\"}", "{\"ratio\":1e3}",
        "{\"slack\":-1}", "{\"slack\":1e300}", "{\"slack\":true}",
        "{\"slack\":null}"}) {
    cr_assert(!read_text(settings_with(std::string(",\"repeats\":") + invalid))
                   .has_value());
  }
}

// Guards against a daemon that refuses to start because the platform computed a
// value with a fraction or an exponent.
Test(edge_settings, computed_values_may_have_a_fraction_or_exponent) {
  const Outcome outcome = read_text(
      settings_with(",\"repeats\":{\"ratio\":2E-1,\"slack\":3.31578947368421E1}"
                    ",\"stop\":{\"limit_s\":6.5}"));
  cr_assert(outcome.has_value());
  cr_assert(outcome->repeat_ratio == 0.2);
  cr_assert(outcome->repeat_slack == 33.1578947368421);
  cr_assert(outcome->stop_limit == std::chrono::milliseconds(6500));
}

Test(edge_settings, rates_may_have_a_fraction_be_zero_or_be_large) {
  for (const char* rate :
       {"0", "0.5", "168.421052631579", "1.6E4", "2000000"}) {
    const Outcome outcome = read_text(
        "{\"member\":\"a\",\"zone\":\"z\","
        "\"caller\":{\"endpoint\":\"10.0.0.1:80\"},"
        "\"ready\":{\"endpoint\":\"10.0.0.1:81\"},"
        "\"store\":{\"endpoint\":\"10.0.0.9:82\","
        "\"fleet_reads_per_second\":" +
        std::string(rate) + ",\"fleet_writes_per_second\":" + rate + "}}");
    cr_assert(outcome.has_value(), "%s", rate);
    cr_assert(outcome->fleet_reads_per_second == std::stod(rate));
    cr_assert(outcome->fleet_writes_per_second == std::stod(rate));
  }
}

Test(edge_settings, whole_numbers_are_accepted_in_any_notation) {
  for (const char* wait : {"3000", "3e3", "3000.0", "0.3E4"}) {
    const Outcome outcome = read_text(settings_with(
        std::string(",\"stop\":{\"leave_notice_ms\":") + wait + "}"));
    cr_assert(outcome.has_value(), "%s", wait);
    cr_assert(outcome->leave_notice == std::chrono::milliseconds(3000));
  }
  for (const char* wait : {"3000.5", "1e300", "-1", "\"3000\""}) {
    cr_assert(!read_text(settings_with(
                             std::string(",\"stop\":{\"leave_notice_ms\":") +
                             wait + "}"))
                   .has_value(),
              "%s", wait);
  }
}

Test(edge_settings, regions_of_zones) {
  const Outcome outcome = read_text(
      settings_with(",\"zone_regions\":{\"z\":\"north\",\"hall 2\":\"\",}"));
  cr_assert(outcome.has_value());
  cr_assert(outcome->zone_regions ==
            ZoneRegions({{"z", "north"}, {"hall 2", ""}}));
  cr_assert(
      read_text(settings_with(",\"zone_regions\":{ }"))->zone_regions.empty());
  for (const char* invalid : {"[]", "\"north\"", "{\"z\":1}", "{\"z\":null}"}) {
    const Outcome refused =
        read_text(settings_with(std::string(",\"zone_regions\":") + invalid));
    cr_assert(!refused.has_value());
    cr_assert(refused.error().front().find("zone_regions: ") !=
              std::string::npos);
  }
}

Test(edge_settings, empty_groups_keep_the_defaults) {
  const Outcome outcome =
      read_text(settings_with(",\"fleet\":{},\"repeats\":{},\"stop\":{},"));
  cr_assert(outcome.has_value());
  cr_assert(outcome->repeat_ratio == EdgeSettings().repeat_ratio);
  cr_assert(outcome->repeat_slack == EdgeSettings().repeat_slack);
  cr_assert(outcome->stop_limit == EdgeSettings().stop_limit);
  cr_assert(!outcome->first_start);
}

Test(edge_settings, printed_defaults_mark_required_keys) {
  const std::string text =
      settings::print_defaults_of<EdgeSettings>(edge_fields());
  cr_assert(text.find("Required") != std::string::npos);
  cr_assert(!read_text(text).has_value());
}

}  // namespace
}  // namespace ibismux::edge
