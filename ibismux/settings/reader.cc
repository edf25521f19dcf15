#include "ibismux/settings/reader.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <set>

#include "ibismux/settings/field.h"

namespace ibismux::settings {

namespace {

const Field* find_field(std::string_view key) {
  const auto all = fields();
  const auto found = std::find_if(all.begin(), all.end(),
                                  [&](const Field& f) { return f.key == key; });
  return found == all.end() ? nullptr : &*found;
}

bool is_group(std::string_view key) {
  const std::string prefix = std::string(key) + ".";
  const auto all = fields();
  return std::any_of(all.begin(), all.end(),
                     [&](const Field& f) { return f.key.starts_with(prefix); });
}

/// Goes through a settings document and gathers what is wrong with it.
class Walk {
 public:
  explicit Walk(const jsonc::Document& document) : document(document) {}

  void object(const boost::json::object& object, const std::string& prefix) {
    for (const auto& [name, value] : object) {
      this->entry(prefix + std::string(name), value);
    }
  }

  void require_all() {
    for (const Field& field : fields()) {
      if (field.required && !this->seen.contains(field.key)) {
        this->wrong(field.key, "is missing; it takes " + field.allowed());
      }
    }
  }

  void wrong(std::string_view key, const std::string& message) {
    this->errors.push_back(this->document.locate(key, message));
  }

  Settings settings;
  std::vector<std::string> errors;

 private:
  void entry(const std::string& key, const boost::json::value& value) {
    if (const Field* field = find_field(key)) {
      this->seen.insert(field->key);
      if (!field->set(this->settings, value)) {
        this->wrong(key, boost::json::serialize(value) +
                             " is not allowed; it takes " + field->allowed());
      }
      return;
    }
    if (!is_group(key)) {
      this->wrong(key, "no such key; --print-defaults lists those there are");
      return;
    }
    if (!value.is_object()) {
      this->wrong(key, "is a group; it takes an object");
      return;
    }
    this->object(value.as_object(), key + ".");
  }

  const jsonc::Document& document;
  std::set<std::string_view> seen;
};

}  // namespace

tl::expected<Settings, std::vector<std::string>> read(
    const jsonc::Document& document) {
  Walk walk(document);
  if (!document.root.is_object()) {
    walk.wrong("", "settings are one JSON object");
  } else {
    walk.object(document.root.as_object(), "");
    walk.require_all();
  }
  if (!walk.errors.empty()) {
    return tl::unexpected(std::move(walk.errors));
  }
  return walk.settings;
}

std::string print_defaults() {
  const Settings defaults;
  std::string text = "{\n";
  std::string_view group;
  for (const Field& field : fields()) {
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
