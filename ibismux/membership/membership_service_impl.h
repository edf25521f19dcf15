#ifndef IBISMUX_MEMBERSHIP_MEMBERSHIP_SERVICE_IMPL_H_
#define IBISMUX_MEMBERSHIP_MEMBERSHIP_SERVICE_IMPL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "ibismux/base/ids.h"
#include "ibismux/base/io_pool.h"
#include "ibismux/base/task.h"
#include "ibismux/membership/membership_engine.h"
#include "ibismux/membership/membership_metrics.h"
#include "ibismux/membership/membership_service.h"
#include "ibismux/peer/peer_network.h"
#include "ibismux/store/object_store.h"

namespace ibismux::membership {

/// All state belongs to the pool's first loop.
class MembershipService::Impl
    : public std::enable_shared_from_this<MembershipService::Impl> {
 public:
  Impl(MembershipSettings settings,
       IoPool& pool,
       peer::PeerNetwork& network,
       store::ObjectStore& platform,
       RcuCell<MembershipView>& view,
       prometheus::Registry& registry,
       ContactSink sink)
      : settings(settings),
        loop(pool.at(0)),
        network(network),
        platform(platform),
        view(view),
        metrics(registry),
        sink(std::move(sink)),
        tick_timer(loop),
        list_timer(loop) {}

  [[nodiscard]] const Incarnation& identity() const noexcept {
    return this->network.self();
  }
  void register_handlers();
  void start(Member self);
  [[nodiscard]] double advertised_link() const noexcept {
    return this->settings.link_mbps;
  }
  void announce_leaving();
  void stop();

  std::vector<Contact> static_contacts;
  std::vector<ViewListener> listeners;

 private:
  using Self = std::shared_ptr<Impl>;

  static Task<void> run(Self self);
  static Task<void> read_host_list(Self self);
  static Task<void> send_probe(Self self, Commands::Probe probe);
  static Task<void> send_indirect(Self self, Commands::Indirect indirect);
  /// Runs `work` on the loop of `self` and gives its result to the caller's.
  static Task<Result<std::string>> serve_on_loop(
      Self self,
      Task<Result<std::string>> work);
  static Task<Result<std::string>> answer_probe(Self self,
                                                Incarnation from,
                                                std::string payload);
  static Task<Result<std::string>> answer_indirect(Self self,
                                                   std::string payload);
  Task<std::optional<ProbeAnswer>> exchange(std::string target,
                                            ProbeMessage message);
  void take_contacts(const std::vector<store::HostEntry>& hosts,
                     ContactSource source);
  void carry_out();
  void publish();
  /// Runs `action` on the loop if the service has started and not stopped.
  template <class Action>
  void on_loop(Action action);

  const MembershipSettings settings;
  boost::asio::io_context& loop;
  peer::PeerNetwork& network;
  store::ObjectStore& platform;
  RcuCell<MembershipView>& view;
  MembershipMetrics metrics;
  ContactSink sink;
  boost::asio::steady_timer tick_timer;
  boost::asio::steady_timer list_timer;
  std::optional<MembershipEngine> engine;
  std::uint64_t published = 0;
  bool stopped = false;
};

template <class Action>
void MembershipService::Impl::on_loop(Action action) {
  boost::asio::post(this->loop, [self = this->shared_from_this(),
                                 action = std::move(action)]() mutable {
    if (self->engine && !self->stopped) {
      action(*self->engine);
      self->carry_out();
    }
  });
}

}  // namespace ibismux::membership

#endif  // IBISMUX_MEMBERSHIP_MEMBERSHIP_SERVICE_IMPL_H_
