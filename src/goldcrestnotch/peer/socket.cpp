/// @file
/// Peer connections over websocketpp. Compiled as C++17, since websocketpp
/// doesn't compile as C++20.

#include "goldcrestnotch/peer/socket.hpp"

#include <map>
#include <stdexcept>
#include <utility>

#include <boost/asio.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace goldcrestnotch {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;

class PeerHub::State : public std::enable_shared_from_this<PeerHub::State> {
public:
  State(boost::asio::io_context &Context, PeerHooks Hooks, PeerBounds Bounds)
      : Hooks{std::move(Hooks)}, Bounds{Bounds} {
    prepare(Incoming, Context);
    prepare(Outgoing, Context);
    Incoming.set_reuse_addr(true);
  }

  std::uint16_t listen(const std::string &Address, std::uint16_t Port) {
    watch(Incoming, false);
    websocketpp::lib::error_code Failure;
    Incoming.listen(
        boost::asio::ip::tcp::endpoint{boost::asio::ip::make_address(Address),
                                       Port},
        Failure);
    if (Failure) {
      throw std::runtime_error{"cannot listen for peer connections: " +
                               Failure.message()};
    }
    Incoming.start_accept();
    boost::system::error_code Ignored;
    return Incoming.get_local_endpoint(Ignored).port();
  }

  PeerHandle connect(const std::string &Address, std::uint16_t Port) {
    if (!Watched) {
      watch(Outgoing, true);
      Watched = true;
    }
    const auto Handle = ++Last;
    websocketpp::lib::error_code Failure;
    auto Link = Outgoing.get_connection(
        "ws://" + Address + ":" + std::to_string(Port) + "/peer", Failure);
    if (Failure) {
      return Handle;
    }
    Handles[Link->get_handle()] = Handle;
    Links[Handle] = Link->get_handle();
    IsOutgoing[Handle] = true;
    Outgoing.connect(Link);
    return Handle;
  }

  bool send(PeerHandle To, const std::string &Message) {
    const auto It = Links.find(To);
    if (It == Links.end()) {
      return false;
    }
    return IsOutgoing[To] ? sendOn(Outgoing, It->second, Message)
                          : sendOn(Incoming, It->second, Message);
  }

  void close(PeerHandle Which) {
    const auto It = Links.find(Which);
    if (It == Links.end()) {
      return;
    }
    const auto Link = It->second;
    websocketpp::lib::error_code Ignored;
    constexpr auto Code = websocketpp::close::status::policy_violation;
    if (IsOutgoing[Which]) {
      Outgoing.close(Link, Code, "", Ignored);
    } else {
      Incoming.close(Link, Code, "", Ignored);
    }
  }

  void stop() {
    Hooks = {};
    websocketpp::lib::error_code Ignored;
    if (Incoming.is_listening()) {
      Incoming.stop_listening(Ignored);
    }
  }

private:
  template <typename Endpoint>
  void prepare(Endpoint &End, boost::asio::io_context &Context) {
    End.clear_access_channels(websocketpp::log::alevel::all);
    End.clear_error_channels(websocketpp::log::elevel::all);
    End.init_asio(&Context);
    End.set_max_message_size(Bounds.MessageBytes);
  }

  template <typename Endpoint> void watch(Endpoint &End, bool Out) {
    std::weak_ptr<State> Weak = shared_from_this();
    End.set_open_handler([Weak, Out](connection_hdl Link) {
      if (const auto Self = Weak.lock()) {
        Self->opened(Link, Out);
      }
    });
    End.set_message_handler(
        [Weak](connection_hdl Link, typename Endpoint::message_ptr Message) {
          if (const auto Self = Weak.lock()) {
            Self->received(Link, Message->get_payload());
          }
        });
    const auto Gone = [Weak](connection_hdl Link) {
      if (const auto Self = Weak.lock()) {
        Self->closed(Link);
      }
    };
    End.set_close_handler(Gone);
    End.set_fail_handler(Gone);
  }

  void opened(const connection_hdl &Link, bool Out) {
    const auto It = Handles.find(Link);
    const auto Handle = It == Handles.end() ? ++Last : It->second;
    Handles[Link] = Handle;
    Links[Handle] = Link;
    IsOutgoing[Handle] = Out;
    if (Hooks.Opened) {
      Hooks.Opened(Handle, Out);
    }
  }

  void received(const connection_hdl &Link, const std::string &Message) {
    const auto It = Handles.find(Link);
    if (It != Handles.end() && Hooks.Received) {
      Hooks.Received(It->second, Message);
    }
  }

  void closed(const connection_hdl &Link) {
    const auto It = Handles.find(Link);
    if (It == Handles.end()) {
      return;
    }
    const auto Handle = It->second;
    Handles.erase(It);
    Links.erase(Handle);
    IsOutgoing.erase(Handle);
    if (Hooks.Closed) {
      Hooks.Closed(Handle);
    }
  }

  template <typename Endpoint>
  bool sendOn(Endpoint &End, const connection_hdl &Link,
              const std::string &Message) {
    websocketpp::lib::error_code Failure;
    const auto Open = End.get_con_from_hdl(Link, Failure);
    if (Failure || Open->get_buffered_amount() > Bounds.QueuedBytes) {
      return false;
    }
    End.send(Link, Message, websocketpp::frame::opcode::binary, Failure);
    return !Failure;
  }

  PeerHooks Hooks;
  PeerBounds Bounds;
  Server Incoming;
  Client Outgoing;
  bool Watched = false;
  PeerHandle Last = 0;
  std::map<connection_hdl, PeerHandle, std::owner_less<connection_hdl>> Handles;
  std::map<PeerHandle, connection_hdl> Links;
  std::map<PeerHandle, bool> IsOutgoing;
};

PeerHub::PeerHub(boost::asio::io_context &Context, PeerHooks Hooks,
                 PeerBounds Bounds)
    : Self{std::make_shared<State>(Context, std::move(Hooks), Bounds)} {}

PeerHub::~PeerHub() { Self->stop(); }

std::uint16_t PeerHub::listen(const std::string &Address, std::uint16_t Port) {
  return Self->listen(Address, Port);
}

PeerHandle PeerHub::connect(const std::string &Address, std::uint16_t Port) {
  return Self->connect(Address, Port);
}

bool PeerHub::send(PeerHandle To, const std::string &Message) {
  return Self->send(To, Message);
}

void PeerHub::close(PeerHandle Which) { Self->close(Which); }

} // namespace goldcrestnotch
