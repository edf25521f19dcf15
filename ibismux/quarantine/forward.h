#ifndef IBISMUX_QUARANTINE_FORWARD_H_
#define IBISMUX_QUARANTINE_FORWARD_H_

namespace ibismux::quarantine {

struct RequestContent;
class RequestDigest;

}  // namespace ibismux::quarantine

#endif  // IBISMUX_QUARANTINE_FORWARD_H_
