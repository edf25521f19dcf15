#ifndef IBISMUX_ADMISSION_FORWARD_H_
#define IBISMUX_ADMISSION_FORWARD_H_

namespace ibismux::admission {

struct AdmissionRequest;
class Admission;
class Permit;

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_FORWARD_H_
