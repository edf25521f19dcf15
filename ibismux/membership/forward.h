#ifndef IBISMUX_MEMBERSHIP_FORWARD_H_
#define IBISMUX_MEMBERSHIP_FORWARD_H_

namespace ibismux::membership {

struct Commands;
struct Contact;
struct Member;
struct MemberRecord;
struct MembershipSettings;
struct MembershipView;
struct ProbeAnswer;
struct ProbeMessage;
class MemberTable;
class MembershipEngine;
class MembershipService;
class SpreadTree;

}  // namespace ibismux::membership

#endif  // IBISMUX_MEMBERSHIP_FORWARD_H_
