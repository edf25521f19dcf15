#ifndef IBISMUX_RESERVATION_FORWARD_H_
#define IBISMUX_RESERVATION_FORWARD_H_

namespace ibismux::reservation {

struct ReservationAnswer;
struct ReservationRequest;
class ReservationEngine;

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_FORWARD_H_
