#ifndef IBISMUX_APPS_IBISMUXCTL_TABLE_H_
#define IBISMUX_APPS_IBISMUXCTL_TABLE_H_

#include <boost/json/value.hpp>
#include <string>
#include <vector>

namespace ibismux::ctl {

/// Rows of text, printed in columns.
class Table {
 public:
  explicit Table(std::vector<std::string> header) {
    this->rows.push_back(std::move(header));
  }

  void add(std::vector<std::string> row) {
    this->rows.push_back(std::move(row));
  }

  void print() const;

 private:
  std::vector<std::vector<std::string>> rows;
};

/// The value at `path` ("status.in_force.reached") as plain text; empty where
/// it is absent.
[[nodiscard]] std::string text_at(const boost::json::value& value,
                                  const std::string& path);

/// "5/7" out of an object's `in_force`; empty where it is absent.
[[nodiscard]] std::string in_force_text(const boost::json::value& value,
                                        const std::string& path);

/// `value` on several lines, indented.
[[nodiscard]] std::string pretty(const boost::json::value& value);

}  // namespace ibismux::ctl

#endif  // IBISMUX_APPS_IBISMUXCTL_TABLE_H_
