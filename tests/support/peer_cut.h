#ifndef TESTS_SUPPORT_PEER_CUT_H_
#define TESTS_SUPPORT_PEER_CUT_H_

#include <array>
#include <boost/asio.hpp>
#include <cstdlib>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <tuple>
#include <utility>
#include <vector>

namespace ibismux::testing {

/// A network between daemons that can be cut in two: a forwarder through which
/// daemons of the program "ibismuxd-cut" connect to each other
/// (cut_connect.cc). Daemon `i` has 127.0.3.(i+1) to itself, so both ends of a
/// connection show. Used from one thread.
class PeerCut {
 public:
  enum class Mode {
    kReset,  ///< Ends connections, and each new one, with a TCP reset.
    kStall,  ///< Accepts and acknowledges, and passes nothing on.
  };

  PeerCut() : acceptor(loop, {Tcp::v4(), 0}), changed(loop) {
    this->changed.expires_at(boost::asio::steady_timer::time_point::max());
    boost::asio::co_spawn(this->loop, this->accept(), boost::asio::detached);
    this->thread = std::thread([this] { this->loop.run(); });
  }
  ~PeerCut() {
    this->loop.stop();
    this->thread.join();
  }

  /// Peer address of a daemon. Precondition: `daemon` < 100.
  static std::string address_of(std::size_t daemon) {
    return "127.0.3." + std::to_string(daemon + 1);
  }
  /// Tells the program that is started next that it is `daemon`.
  void prepare(std::size_t daemon) const {
    const auto port = this->acceptor.local_endpoint().port();
    ::setenv("IBISMUX_CUT_PORT", std::to_string(port).c_str(), 1);
    ::setenv("IBISMUX_CUT_DAEMON", std::to_string(daemon).c_str(), 1);
  }

  /// Cuts the daemons in `wanted` off from all others, before it returns.
  void cut(Mode how, std::set<std::size_t> wanted) {
    const auto change = [&] {
      this->mode = how;
      this->half = std::move(wanted);
      for (const auto& weak : this->flows) {
        const auto flow = weak.lock();
        if (flow && how == Mode::kReset && this->is_cut(*flow)) {
          flow->reset();
        }
      }
      this->changed.cancel();
    };
    boost::asio::post(this->loop, boost::asio::use_future(change)).get();
  }
  /// What stalled goes on.
  void heal() { this->cut(Mode::kStall, {}); }

 private:
  using Tcp = boost::asio::ip::tcp;
  using Error = boost::system::error_code;
  template <class T>
  using Task = boost::asio::awaitable<T>;
  static constexpr auto kAwait =
      boost::asio::as_tuple(boost::asio::use_awaitable);

  struct Flow {
    Tcp::socket dialled;
    Tcp::socket onward;
    std::size_t from;
    std::size_t to;

    void reset() {
      for (Tcp::socket* socket : {&this->dialled, &this->onward}) {
        Error ignored;
        socket->set_option(Tcp::socket::linger(true, 0), ignored);
        socket->close(ignored);
      }
    }
  };

  [[nodiscard]] bool is_cut(const Flow& flow) const {
    return this->half.contains(flow.from) != this->half.contains(flow.to);
  }
  /// Waits while `flow` stalls. @return False where it has to end.
  Task<bool> passes(const Flow& flow) {
    while (this->is_cut(flow) && this->mode == Mode::kStall) {
      co_await this->changed.async_wait(kAwait);
    }
    co_return !this->is_cut(flow);
  }
  Task<void> accept() {
    for (;;) {
      auto [error, socket] = co_await this->acceptor.async_accept(kAwait);
      boost::asio::co_spawn(this->loop, this->serve(std::move(socket)),
                            boost::asio::detached);
    }
  }
  Task<void> serve(Tcp::socket socket) {
    const auto own = socket.local_endpoint().address().to_v4().to_bytes();
    const auto peer = socket.remote_endpoint().address().to_v4().to_bytes();
    const std::size_t from = peer[3] - std::size_t{1};
    const auto flow = std::make_shared<Flow>(
        Flow{std::move(socket), Tcp::socket(this->loop), from, own[1]});
    this->flows.push_back(flow);
    const Tcp::endpoint target(
        boost::asio::ip::make_address(address_of(flow->to)),
        static_cast<std::uint16_t>(own[2] * 256 + own[3]));
    Error error = boost::asio::error::connection_reset;
    if (co_await this->passes(*flow)) {
      std::tie(error) = co_await flow->onward.async_connect(target, kAwait);
    }
    if (error) {
      flow->reset();
      co_return;
    }
    boost::asio::co_spawn(this->loop,
                          this->pump(flow, flow->dialled, flow->onward),
                          boost::asio::detached);
    co_await this->pump(flow, flow->onward, flow->dialled);
  }
  Task<void> pump(std::shared_ptr<Flow> flow, Tcp::socket& a, Tcp::socket& b) {
    std::array<char, 16384> block;
    Error error;
    while (!error) {
      std::size_t size = 0;
      std::tie(error, size) =
          co_await a.async_read_some(boost::asio::buffer(block), kAwait);
      // An end is news as well: it does not pass a cut either.
      if (!co_await this->passes(*flow)) {
        error = boost::asio::error::connection_reset;
      }
      if (!error) {
        std::tie(error, size) = co_await boost::asio::async_write(
            b, boost::asio::buffer(block.data(), size), kAwait);
      }
    }
    if (error == boost::asio::error::eof) {
      b.shutdown(Tcp::socket::shutdown_send, error);
    } else {
      flow->reset();
    }
  }

  boost::asio::io_context loop{1};
  Tcp::acceptor acceptor;
  boost::asio::steady_timer changed;
  Mode mode = Mode::kStall;
  std::set<std::size_t> half;  ///< Empty: whole.
  std::vector<std::weak_ptr<Flow>> flows;
  std::thread thread;
};

}  // namespace ibismux::testing

#endif  // TESTS_SUPPORT_PEER_CUT_H_
