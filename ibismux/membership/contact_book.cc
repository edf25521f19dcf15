#include "ibismux/membership/contact_book.h"

#include <set>
#include <utility>

namespace ibismux::membership {

std::vector<std::string> ContactBook::untried(const MemberTable& table) const {
  std::set<std::string> names;
  std::set<std::pair<std::string, std::uint16_t>> met;
  for (const auto& [name, row] : table.rows()) {
    const Member& member = row.record.member;
    if (member.state == Member::State::kFailed) {
      names.insert(name);
    } else {
      met.emplace(member.address, member.port);
    }
  }
  for (const Contact& contact : this->listed) {
    const auto* row = table.find(contact.name);
    const bool live =
        row != nullptr && row->record.member.state != Member::State::kFailed;
    if (!live && !met.contains({contact.address, contact.port})) {
      names.insert(contact.name);
    }
  }
  return {names.begin(), names.end()};
}

}  // namespace ibismux::membership
