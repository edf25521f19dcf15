#ifndef IBISMUX_QUERY_FORWARD_H_
#define IBISMUX_QUERY_FORWARD_H_

namespace ibismux::query {

struct Coverage;
struct Hit;
struct QueryAnswer;
struct QueryRequest;
class QueryEngine;

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_FORWARD_H_
