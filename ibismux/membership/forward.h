#ifndef IBISMUX_MEMBERSHIP_FORWARD_H_
#define IBISMUX_MEMBERSHIP_FORWARD_H_

namespace ibismux::membership {

struct Member;
struct MembershipView;

}  // namespace ibismux::membership

#endif  // IBISMUX_MEMBERSHIP_FORWARD_H_
