#ifndef IBISMUX_STORE_STORE_DIALECT_H_
#define IBISMUX_STORE_STORE_DIALECT_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/time.h"
#include "ibismux/http/message.h"
#include "ibismux/store/host_entry.h"
#include "ibismux/store/stored_object.h"

namespace ibismux::store {

/// A part of a listing.
struct ListingPage {
  Listing listing;
  /// The name after which the next part begins; absent on the last part.
  std::optional<std::string> next_after;
};

/// How one object API spells its calls and answers over HTTP.
///
/// A strategy of `HttpObjectStore`, which keeps the connections, the budget of
/// calls and the health. Everything is const and thread safe. An answer that
/// can't be read is a kProtocolError; nothing of it is taken over.
class StoreDialect {
 public:
  virtual ~StoreDialect() = default;

  /// @name Requests
  /// @{
  [[nodiscard]] virtual http::Request get(std::string_view collection,
                                          std::string_view name) const = 0;
  /// @param after Where the part begins; empty for the first one.
  [[nodiscard]] virtual http::Request list(std::string_view collection,
                                           std::string_view after) const = 0;
  [[nodiscard]] virtual http::Request watch(
      std::string_view collection,
      Version since,
      std::chrono::milliseconds wait) const = 0;
  /// @param expected The version to replace; 0 where the object must not exist.
  [[nodiscard]] virtual http::Request put(std::string_view collection,
                                          std::string_view name,
                                          std::string value,
                                          Version expected) const = 0;
  [[nodiscard]] virtual http::Request remove(std::string_view collection,
                                             std::string_view name,
                                             Version expected) const = 0;
  /// Absent where the API has no list of hosts.
  [[nodiscard]] virtual std::optional<http::Request> hosts() const = 0;

  /// A read that may be answered from old state and costs the store little, or
  /// an ordinary one where there is none.
  [[nodiscard]] virtual http::Request stale_get(std::string_view collection,
                                                std::string_view name) const {
    return this->get(collection, name);
  }
  /// The same of a part of a listing.
  [[nodiscard]] virtual http::Request stale_list(std::string_view collection,
                                                 std::string_view after) const {
    return this->list(collection, after);
  }
  /// The same of the changes after `since`, without waiting for one.
  [[nodiscard]] virtual http::Request stale_changes(std::string_view collection,
                                                    Version since) const {
    return this->watch(collection, since, std::chrono::milliseconds::zero());
  }
  /// @}

  /// @name Answers with status 200
  /// @{

  /// How often the store has been restored from an older copy, as it says in
  /// each answer of any status; 0 where the API says nothing of it. Versions in
  /// answers and requests are revisions of that era.
  [[nodiscard]] virtual Result<std::uint64_t> read_era(
      const http::Response&) const {
    return 0;
  }
  /// The status of a call whose condition on the version didn't hold.
  [[nodiscard]] virtual int conflict_status() const noexcept = 0;
  [[nodiscard]] virtual Result<StoredObject> read_object(
      std::string_view collection,
      std::string_view name,
      const http::Response& response) const = 0;
  [[nodiscard]] virtual Result<ListingPage> read_listing(
      std::string_view collection,
      const http::Response& response) const = 0;
  /// @param since What was asked for: an answer that goes back behind it can't
  /// be one to this question.
  [[nodiscard]] virtual Result<WatchBatch> read_watch(
      std::string_view collection,
      Version since,
      const http::Response& response) const = 0;
  /// The version that a write made.
  [[nodiscard]] virtual Result<Version> read_written(
      const http::Response& response) const = 0;
  [[nodiscard]] virtual Result<std::vector<HostEntry>> read_hosts(
      const http::Response& response) const = 0;
  /// @}

 protected:
  /// A request without fields or body.
  [[nodiscard]] static http::Request request_to(std::string method,
                                                std::string target) {
    http::Request request;
    request.method = std::move(method);
    request.target = std::move(target);
    return request;
  }
};

}  // namespace ibismux::store

#endif  // IBISMUX_STORE_STORE_DIALECT_H_
