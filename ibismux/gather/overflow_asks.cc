#include "ibismux/gather/overflow_asks.h"

#include <algorithm>
#include <iterator>

namespace ibismux::gather {

std::vector<std::string> OverflowAsks::on_unavailable(TimePoint now) {
  std::vector<std::string> asked;
  if (now < this->next_round) {
    return asked;
  }
  this->next_round = now + kInterval;
  std::sample(this->gatherers.begin(), this->gatherers.end(),
              std::back_inserter(asked), kAsked, this->random);
  return asked;
}

}  // namespace ibismux::gather
