#ifndef IBISMUX_SETTINGS_FIELD_READER_H_
#define IBISMUX_SETTINGS_FIELD_READER_H_

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/jsonc/document.h"
#include "ibismux/settings/field.h"

namespace ibismux::settings {

/// Goes through a settings document, reads it into an `S` and gathers what is
/// wrong with it. Used once; not thread safe.
template <class S>
class FieldReader {
 public:
  using Fields = std::span<const Field<S>>;

  FieldReader(const jsonc::Document& document, Fields fields)
      : document(document), fields(fields) {}

  /// The settings, or one line for each thing that is wrong, all of them.
  [[nodiscard]] tl::expected<S, std::vector<std::string>> read() {
    if (!this->document.root.is_object()) {
      this->wrong("", "settings are one JSON object");
    } else {
      this->object(this->document.root.as_object(), "");
      this->require_all();
    }
    if (!this->errors.empty()) {
      return tl::unexpected(std::move(this->errors));
    }
    return std::move(this->settings);
  }

 private:
  void object(const boost::json::object& object, const std::string& prefix) {
    for (const auto& [name, value] : object) {
      this->entry(prefix + std::string(name), value);
    }
  }

  void entry(const std::string& key, const boost::json::value& value) {
    if (const Field<S>* field = this->find(key)) {
      this->seen.insert(field->key);
      if (!field->set(this->settings, value)) {
        this->wrong(key, boost::json::serialize(value) +
                             " is not allowed; it takes " + field->allowed());
      }
      return;
    }
    if (!this->is_group(key)) {
      this->wrong(key, "no such key; --print-defaults lists those there are");
      return;
    }
    if (!value.is_object()) {
      this->wrong(key, "is a group; it takes an object");
      return;
    }
    this->object(value.as_object(), key + ".");
  }

  void require_all() {
    for (const Field<S>& field : this->fields) {
      if (field.required && !this->seen.contains(field.key)) {
        this->wrong(field.key, "is missing; it takes " + field.allowed());
      }
    }
  }

  void wrong(std::string_view key, const std::string& message) {
    this->errors.push_back(this->document.locate(key, message));
  }

  [[nodiscard]] const Field<S>* find(std::string_view key) const {
    const auto found =
        std::find_if(this->fields.begin(), this->fields.end(),
                     [&](const Field<S>& field) { return field.key == key; });
    return found == this->fields.end() ? nullptr : &*found;
  }

  [[nodiscard]] bool is_group(std::string_view key) const {
    const std::string prefix = std::string(key) + ".";
    return std::any_of(
        this->fields.begin(), this->fields.end(),
        [&](const Field<S>& field) { return field.key.starts_with(prefix); });
  }

  const jsonc::Document& document;
  const Fields fields;
  S settings;
  std::vector<std::string> errors;
  std::set<std::string_view> seen;
};

/// A settings file with every key of `fields` at its default and a comment over
/// it, which a `FieldReader` takes once the required keys are filled in. Thread
/// safe.
template <class S>
[[nodiscard]] std::string print_defaults_of(std::span<const Field<S>> fields) {
  const S defaults;
  std::string text = "{\n";
  std::string_view group;
  for (const Field<S>& field : fields) {
    const std::size_t dot = field.key.find('.');
    const std::string_view next =
        dot == std::string_view::npos ? "" : field.key.substr(0, dot);
    if (next != group) {
      text += group.empty() ? "\n" : "  },\n\n";
      text += next.empty() ? "" : "  \"" + std::string(next) + "\": {\n";
      group = next;
    }
    const std::string indent = group.empty() ? "  " : "    ";
    const std::string_view name = field.key.substr(dot + 1);
    text += indent + "// " + std::string(field.comment) + " Takes " +
            field.allowed() + (field.required ? ". Required.\n" : ".\n");
    text += indent + "\"" + std::string(name) +
            "\": " + boost::json::serialize(field.get(defaults)) + ",\n";
  }
  text += group.empty() ? "}\n" : "  },\n}\n";
  return text;
}

}  // namespace ibismux::settings

#endif  // IBISMUX_SETTINGS_FIELD_READER_H_
