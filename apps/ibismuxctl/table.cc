#include "table.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <iostream>
#include <sstream>

namespace ibismux::ctl {
namespace {

namespace json = boost::json;

constexpr std::size_t kGap = 2;
constexpr std::size_t kIndent = 2;

const json::value* find(const json::value& value, const std::string& path) {
  const json::value* found = &value;
  std::istringstream parts(path);
  for (std::string part; std::getline(parts, part, '.');) {
    if (!found->is_object()) {
      return nullptr;
    }
    found = found->get_object().if_contains(part);
    if (found == nullptr) {
      return nullptr;
    }
  }
  return found;
}

void append(std::string& out, const json::value& value, std::size_t depth);

/// The items of an array or object between its brackets, one a line.
template <class Items, class Item>
void append_items(std::string& out,
                  const Items& items,
                  std::size_t depth,
                  Item item) {
  std::size_t left = items.size();
  for (const auto& each : items) {
    out += "\n" + std::string((depth + 1) * kIndent, ' ');
    item(each);
    out += --left > 0 ? "," : "";
  }
  out += items.empty() ? "" : "\n" + std::string(depth * kIndent, ' ');
}

void append(std::string& out, const json::value& value, std::size_t depth) {
  if (value.is_object()) {
    out += "{";
    append_items(out, value.get_object(), depth, [&](const auto& field) {
      out += json::serialize(json::value(field.key())) + ": ";
      append(out, field.value(), depth + 1);
    });
    out += "}";
  } else if (value.is_array()) {
    out += "[";
    append_items(out, value.get_array(), depth, [&](const json::value& item) {
      append(out, item, depth + 1);
    });
    out += "]";
  } else {
    out += json::serialize(value);
  }
}

}  // namespace

void Table::print() const {
  std::vector<std::size_t> widths(this->rows.front().size(), 0);
  for (const auto& row : this->rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : this->rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] - row[i].size() + kGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    std::cout << line << "\n";
  }
}

std::string text_at(const json::value& value, const std::string& path) {
  const json::value* found = find(value, path);
  if (found == nullptr) {
    return "";
  }
  return found->is_string() ? std::string(found->get_string())
                            : json::serialize(*found);
}

std::string in_force_text(const json::value& value, const std::string& path) {
  const std::string reached = text_at(value, path + ".reached");
  return reached.empty() ? ""
                         : reached + "/" + text_at(value, path + ".members");
}

std::string pretty(const json::value& value) {
  std::string out;
  append(out, value, 0);
  return out;
}

}  // namespace ibismux::ctl
