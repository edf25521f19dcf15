#ifndef IBISMUX_MEMBERSHIP_COMMANDS_H_
#define IBISMUX_MEMBERSHIP_COMMANDS_H_

#include <string>
#include <vector>

#include "ibismux/membership/messages.h"

namespace ibismux::membership {

/// What the engine wants sent. Each probe and each indirect probe gets exactly
/// one result back, unless the daemon ends.
struct Commands {
  struct Probe {
    std::string target;
    ProbeMessage message;
  };
  struct Indirect {
    std::string helper;
    std::string target;
  };
  struct Gossip {
    std::string to;
    std::vector<MemberRecord> records;
  };

  std::vector<Probe> probes;
  std::vector<Indirect> indirect;
  std::vector<Gossip> gossip;
};

}  // namespace ibismux::membership

#endif  // IBISMUX_MEMBERSHIP_COMMANDS_H_
