#ifndef IBISMUX_EDGE_ADAPTERS_H_
#define IBISMUX_EDGE_ADAPTERS_H_

#include <memory>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/directory/leaf_entry.h"
#include "ibismux/directory/refused_entry.h"
#include "ibismux/dispatch/answer.h"
#include "ibismux/dispatch/caller_request.h"
#include "ibismux/dispatch/leaf_link.h"
#include "ibismux/http/forward.h"
#include "ibismux/http/message.h"
#include "ibismux/routing/route_table.h"
#include "ibismux/store/store_dialect.h"

namespace ibismux::edge {

/// Decodes the configuration from its object in the store. Thread safe.
class ConfigurationDecoder {
 public:
  virtual ~ConfigurationDecoder() = default;
  /// Errors: kInvalidRequest; the message names the invalid key.
  [[nodiscard]] virtual Result<std::shared_ptr<const routing::RouteTable>>
  decode(const store::StoredObject& object) const = 0;
};

/// Decodes a leaf's entry in the registry. Thread safe.
class LeafEntryDecoder {
 public:
  virtual ~LeafEntryDecoder() = default;
  [[nodiscard]] virtual tl::expected<directory::LeafEntry,
                                     directory::RefusedEntry>
  decode(const store::StoredObject& object) const = 0;
};

/// Decodes callers' requests and encodes the responses. Thread safe.
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;
  /// Errors: kInvalidRequest.
  [[nodiscard]] virtual Result<dispatch::CallerRequest> read(
      std::shared_ptr<const http::Request> request,
      TimePoint received) const = 0;
  [[nodiscard]] virtual http::Response write(
      dispatch::Outcome outcome) const = 0;
};

/// The platform-specific parts of a daemon: its protocols and the locations of
/// its data in the store.
struct Adapters {
  std::unique_ptr<const store::StoreDialect> store_dialect;
  std::unique_ptr<const dispatch::LeafConnector> leaf_connector;
  /// What the responses on the connector's links take; null: not known.
  std::shared_ptr<http::ResponseMemory> response_memory;
  std::unique_ptr<const CallerProtocol> caller_protocol;
  std::unique_ptr<const ConfigurationDecoder> configuration;
  std::unique_ptr<const LeafEntryDecoder> leaf_entries;

  /// @name Locations in the store
  /// @{
  std::string configuration_collection;
  std::string configuration_name;
  std::string leaf_collection;
  /// Each object has the name of an evacuated zone: no requests may be sent to
  /// its leafs.
  std::string evacuation_collection;
  std::string contact_collection;  ///< Contact entries of daemons.
  /// Each object has as its name the digest of a request that crashes leafs.
  std::string quarantine_collection;
  std::string checkpoint_collection;  ///< The leafs that run, in one object.
  /// @}
};

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_ADAPTERS_H_
