#ifndef IBISMUX_OPERATOR_HANDLERS_H_
#define IBISMUX_OPERATOR_HANDLERS_H_

#include <array>
#include <atomic>
#include <boost/json/object.hpp>
#include <functional>
#include <memory>
#include <string>

#include "ibismux/base/task.h"
#include "ibismux/http/cancel_token.h"
#include "ibismux/http/message.h"
#include "ibismux/operator/object_writer.h"
#include "ibismux/operator/operator_ports.h"
#include "ibismux/operator/routes.h"
#include "ibismux/release/audit_trail.h"
#include "ibismux/release/object_codec.h"
#include "ibismux/release/object_status.h"

namespace ibismux::operators {

/// One request on its way through the interface.
struct Call {
  std::shared_ptr<const http::Request> request;
  std::shared_ptr<http::CancelToken> client;
  Route route;
};

/// What each route does. Thread safe.
class Handlers : public std::enable_shared_from_this<Handlers> {
 public:
  explicit Handlers(OperatorPorts ports);

  /// Routes the request and answers it. Keeps `self` alive.
  static Task<http::Response> serve(
      std::shared_ptr<Handlers> self,
      std::shared_ptr<const http::Request> request,
      std::shared_ptr<http::CancelToken> client);

 private:
  using Method = Task<http::Response> (Handlers::*)(Call);

  static const std::array<Method, kOperations> kMethods;

  /// @name Objects
  /// @{
  Task<http::Response> list_all(Call call);
  Task<http::Response> list_kind(Call call);
  Task<http::Response> get(Call call);
  Task<http::Response> put(Call call);
  Task<http::Response> remove(Call call);
  Task<http::Response> object_status(Call call);
  Task<http::Response> validate(Call call);
  Task<http::Response> watch(Call call);
  /// @}

  /// @name The daemon and the fleet
  /// @{
  Task<http::Response> status(Call call);
  Task<http::Response> audit(Call call);
  Task<http::Response> drain(Call call);
  Task<http::Response> metrics(Call call);
  Task<http::Response> health(Call call);
  Task<http::Response> ready(Call call);
  /// @}

  [[nodiscard]] http::Response list(
      std::optional<release::ObjectKind> kind) const;
  [[nodiscard]] boost::json::object status_of(const release::ObjectKey& key,
                                              store::Version written) const;
  [[nodiscard]] http::Response stored_object(
      const release::ObjectKey& key,
      const store::StoredObject& stored) const;
  [[nodiscard]] http::Response accepted_object(
      const release::ObjectKey& key) const;
  [[nodiscard]] http::Response verdicts(
      const std::vector<release::ObjectRecord>& records) const;
  Task<http::Response> write(release::ObjectRecord record, Call call);
  [[nodiscard]] Result<void> sign(const http::Request& request,
                                  release::ObjectRecord& record);
  [[nodiscard]] boost::json::object events_since(Generation since) const;
  [[nodiscard]] boost::json::object release_json() const;
  /// At least the changes in [first, end) that there are.
  Task<Result<release::AuditEntries>> audit_entries(std::uint64_t first,
                                                    std::uint64_t end);

  /// Waits until `reached` says so, the client goes or `wait` is over.
  static Task<void> poll(std::function<bool()> reached,
                         std::shared_ptr<http::CancelToken> client,
                         std::chrono::milliseconds wait);

  const OperatorPorts ports;
  ObjectWriter writer;
  std::atomic<std::uint64_t> changes{0};
};

}  // namespace ibismux::operators

#endif  // IBISMUX_OPERATOR_HANDLERS_H_
