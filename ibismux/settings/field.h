#ifndef IBISMUX_SETTINGS_FIELD_H_
#define IBISMUX_SETTINGS_FIELD_H_

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace ibismux::settings {

/// What a text value must look like.
enum class TextForm : unsigned char {
  kName,
  kAddress,
  kHostAddress,
  kOwnership,
  kEndpoint,
  kEndpointOrNone,
};

/// What `form` takes, in words. Thread safe.
[[nodiscard]] std::string_view words_of(TextForm form) noexcept;

/// Whether `text` has `form`. Thread safe.
[[nodiscard]] bool has_form(TextForm form, std::string_view text);

/// `value` as a whole number, or nothing where it isn't one. However it is
/// written: 30, 30.0 and 3E1 are the same number. Thread safe.
[[nodiscard]] std::optional<std::int64_t> whole_number(
    const boost::json::value& value);

/// A text member of the settings struct `S`.
template <class S>
struct TextField {
  std::string S::*member;
  TextForm form;
};

/// A whole number within bounds, both included.
template <class S>
struct NumberField {
  std::uint32_t S::*member;
  std::uint32_t least;
  std::uint32_t most;
};

/// A number with a fraction within bounds, both included.
template <class S>
struct RealField {
  double S::*member;
  double least;
  double most;
};

/// A time in whole milliseconds within bounds, both included.
template <class S>
struct MillisField {
  std::chrono::milliseconds S::*member;
  std::chrono::milliseconds least;
  std::chrono::milliseconds most;
};

/// A time in seconds, with a fraction where there is one, within bounds, both
/// included. Rounded to whole milliseconds.
template <class S>
struct SecondsField {
  std::chrono::milliseconds S::*member;
  std::chrono::milliseconds least;
  std::chrono::milliseconds most;
};

/// true or false.
template <class S>
struct FlagField {
  bool S::*member;
};

/// Texts by names that the settings file chooses.
template <class S>
struct TextMapField {
  std::map<std::string, std::string, std::less<>> S::*member;
};

/// One key of a settings file that is read into the struct `S`.
template <class S>
struct Field {
  std::string_view key;  ///< "group.name", or "name" at the top.
  std::string_view comment;
  std::variant<TextField<S>,
               NumberField<S>,
               RealField<S>,
               MillisField<S>,
               SecondsField<S>,
               FlagField<S>,
               TextMapField<S>>
      binding;
  bool required = false;

  /// What the key takes, in words: "a whole number from 1 to 64".
  [[nodiscard]] std::string allowed() const {
    return std::visit([](const auto& field) { return describe(field); },
                      this->binding);
  }

  /// Puts `value` into `settings`. @return Whether it is allowed.
  [[nodiscard]] bool set(S& settings, const boost::json::value& value) const {
    return std::visit(
        [&](const auto& field) { return assign(field, settings, value); },
        this->binding);
  }

  /// The value that `settings` holds.
  [[nodiscard]] boost::json::value get(const S& settings) const {
    return std::visit([&](const auto& field) { return read(field, settings); },
                      this->binding);
  }

 private:
  [[nodiscard]] static std::string describe(const TextField<S>& field) {
    return std::string(words_of(field.form));
  }
  [[nodiscard]] static std::string describe(const NumberField<S>& field) {
    return "a whole number from " + std::to_string(field.least) + " to " +
           std::to_string(field.most);
  }
  [[nodiscard]] static std::string describe(const RealField<S>& field) {
    return "a number from " +
           boost::json::serialize(boost::json::value(field.least)) + " to " +
           boost::json::serialize(boost::json::value(field.most));
  }
  [[nodiscard]] static std::string describe(const FlagField<S>&) {
    return "true or false";
  }
  [[nodiscard]] static std::string describe(const TextMapField<S>&) {
    return "an object whose values are texts";
  }
  [[nodiscard]] static std::string describe(const MillisField<S>& field) {
    return "whole milliseconds from " + std::to_string(field.least.count()) +
           " to " + std::to_string(field.most.count());
  }
  [[nodiscard]] static std::string describe(const SecondsField<S>& field) {
    return "seconds from " + in_seconds_text(field.least) + " to " +
           in_seconds_text(field.most) + ", fractions allowed";
  }

  /// `time` in seconds, as JSON writes it.
  [[nodiscard]] static boost::json::value in_seconds(
      std::chrono::milliseconds time) {
    return boost::json::value(std::chrono::duration<double>(time).count());
  }
  [[nodiscard]] static std::string in_seconds_text(
      std::chrono::milliseconds time) {
    return boost::json::serialize(in_seconds(time));
  }

  [[nodiscard]] static bool assign(const TextField<S>& field,
                                   S& settings,
                                   const boost::json::value& value) {
    if (!value.is_string()) {
      return false;
    }
    std::string text(value.as_string());
    if (!has_form(field.form, text)) {
      return false;
    }
    settings.*field.member = std::move(text);
    return true;
  }
  [[nodiscard]] static bool assign(const NumberField<S>& field,
                                   S& settings,
                                   const boost::json::value& value) {
    const std::optional<std::int64_t> number = whole_number(value);
    if (!number || *number < field.least || *number > field.most) {
      return false;
    }
    settings.*field.member = static_cast<std::uint32_t>(*number);
    return true;
  }
  [[nodiscard]] static bool assign(const RealField<S>& field,
                                   S& settings,
                                   const boost::json::value& value) {
    boost::system::error_code failure;
    const double number = value.to_number<double>(failure);
    if (failure || !(number >= field.least && number <= field.most)) {
      return false;
    }
    settings.*field.member = number;
    return true;
  }
  [[nodiscard]] static bool assign(const FlagField<S>& field,
                                   S& settings,
                                   const boost::json::value& value) {
    if (!value.is_bool()) {
      return false;
    }
    settings.*field.member = value.get_bool();
    return true;
  }
  [[nodiscard]] static bool assign(const TextMapField<S>& field,
                                   S& settings,
                                   const boost::json::value& value) {
    if (!value.is_object()) {
      return false;
    }
    std::map<std::string, std::string, std::less<>> texts;
    for (const auto& [name, text] : value.get_object()) {
      if (!text.is_string()) {
        return false;
      }
      texts.emplace(name, text.get_string());
    }
    settings.*field.member = std::move(texts);
    return true;
  }
  [[nodiscard]] static bool assign(const MillisField<S>& field,
                                   S& settings,
                                   const boost::json::value& value) {
    const std::optional<std::int64_t> number = whole_number(value);
    if (!number || *number < field.least.count() ||
        *number > field.most.count()) {
      return false;
    }
    settings.*field.member = std::chrono::milliseconds(*number);
    return true;
  }
  [[nodiscard]] static bool assign(const SecondsField<S>& field,
                                   S& settings,
                                   const boost::json::value& value) {
    boost::system::error_code failure;
    const std::chrono::duration<double> time(value.to_number<double>(failure));
    if (failure || !(time >= field.least && time <= field.most)) {
      return false;
    }
    settings.*field.member =
        std::chrono::round<std::chrono::milliseconds>(time);
    return true;
  }

  [[nodiscard]] static boost::json::value read(const TextField<S>& field,
                                               const S& settings) {
    return boost::json::value(settings.*field.member);
  }
  [[nodiscard]] static boost::json::value read(const NumberField<S>& field,
                                               const S& settings) {
    return settings.*field.member;
  }
  [[nodiscard]] static boost::json::value read(const RealField<S>& field,
                                               const S& settings) {
    return settings.*field.member;
  }
  [[nodiscard]] static boost::json::value read(const FlagField<S>& field,
                                               const S& settings) {
    return settings.*field.member;
  }
  [[nodiscard]] static boost::json::value read(const TextMapField<S>& field,
                                               const S& settings) {
    boost::json::object texts;
    for (const auto& [name, text] : settings.*field.member) {
      texts[name] = text;
    }
    return texts;
  }
  [[nodiscard]] static boost::json::value read(const MillisField<S>& field,
                                               const S& settings) {
    return (settings.*field.member).count();
  }
  [[nodiscard]] static boost::json::value read(const SecondsField<S>& field,
                                               const S& settings) {
    return in_seconds(settings.*field.member);
  }
};

}  // namespace ibismux::settings

#endif  // IBISMUX_SETTINGS_FIELD_H_
