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

class PeerTransport::State
    : public std::enable_shared_from_this<PeerTransport::State> {
public:
  State(boost::asio::io_context &Context, PeerCallbacks Callbacks,
        PeerLimits Limits)
      : Callbacks{std::move(Callbacks)}, Limits{Limits} {
    configure(IncomingEndpoint, Context);
    configure(OutgoingEndpoint, Context);
    IncomingEndpoint.set_reuse_addr(true);
  }

  std::uint16_t listen(const std::string &Address, std::uint16_t Port) {
    setHandlers(IncomingEndpoint, false);
    websocketpp::lib::error_code Failure;
    IncomingEndpoint.listen(
        boost::asio::ip::tcp::endpoint{boost::asio::ip::make_address(Address),
                                       Port},
        Failure);
    if (Failure) {
      throw std::runtime_error{"cannot listen for peer connections: " +
                               Failure.message()};
    }
    IncomingEndpoint.start_accept();
    boost::system::error_code Ignored;
    return IncomingEndpoint.get_local_endpoint(Ignored).port();
  }

  PeerHandle connect(const std::string &Address, std::uint16_t Port) {
    if (!HandlersSet) {
      setHandlers(OutgoingEndpoint, true);
      HandlersSet = true;
    }
    const auto Handle = ++LastHandle;
    websocketpp::lib::error_code Failure;
    auto Connection = OutgoingEndpoint.get_connection(
        "ws://" + Address + ":" + std::to_string(Port) + "/peer", Failure);
    if (Failure) {
      return Handle;
    }
    Handles[Connection->get_handle()] = Handle;
    Connections[Handle] = Connection->get_handle();
    IsOutgoing[Handle] = true;
    OutgoingEndpoint.connect(Connection);
    return Handle;
  }

  bool send(PeerHandle To, const std::string &Message) {
    const auto It = Connections.find(To);
    if (It == Connections.end()) {
      return false;
    }
    return IsOutgoing[To] ? sendThrough(OutgoingEndpoint, It->second, Message)
                          : sendThrough(IncomingEndpoint, It->second, Message);
  }

  void close(PeerHandle Handle) {
    const auto It = Connections.find(Handle);
    if (It == Connections.end()) {
      return;
    }
    const auto Connection = It->second;
    websocketpp::lib::error_code Ignored;
    constexpr auto Code = websocketpp::close::status::policy_violation;
    if (IsOutgoing[Handle]) {
      OutgoingEndpoint.close(Connection, Code, "", Ignored);
    } else {
      IncomingEndpoint.close(Connection, Code, "", Ignored);
    }
  }

  void stop() {
    Callbacks = {};
    websocketpp::lib::error_code Ignored;
    if (IncomingEndpoint.is_listening()) {
      IncomingEndpoint.stop_listening(Ignored);
    }
  }

private:
  template <typename Endpoint>
  void configure(Endpoint &SocketEndpoint, boost::asio::io_context &Context) {
    SocketEndpoint.clear_access_channels(websocketpp::log::alevel::all);
    SocketEndpoint.clear_error_channels(websocketpp::log::elevel::all);
    SocketEndpoint.init_asio(&Context);
    SocketEndpoint.set_max_message_size(Limits.MaxMessageBytes);
  }

  template <typename Endpoint>
  void setHandlers(Endpoint &SocketEndpoint, bool IsOutgoingConnection) {
    std::weak_ptr<State> Weak = shared_from_this();
    SocketEndpoint.set_open_handler(
        [Weak, IsOutgoingConnection](connection_hdl Connection) {
          if (const auto Self = Weak.lock()) {
            Self->opened(Connection, IsOutgoingConnection);
          }
        });
    SocketEndpoint.set_message_handler(
        [Weak](connection_hdl Connection,
               typename Endpoint::message_ptr Message) {
          if (const auto Self = Weak.lock()) {
            Self->received(Connection, Message->get_payload());
          }
        });
    const auto OnClose = [Weak](connection_hdl Connection) {
      if (const auto Self = Weak.lock()) {
        Self->closed(Connection);
      }
    };
    SocketEndpoint.set_close_handler(OnClose);
    SocketEndpoint.set_fail_handler(OnClose);
  }

  void opened(const connection_hdl &Connection, bool IsOutgoingConnection) {
    const auto It = Handles.find(Connection);
    const auto Handle = It == Handles.end() ? ++LastHandle : It->second;
    Handles[Connection] = Handle;
    Connections[Handle] = Connection;
    IsOutgoing[Handle] = IsOutgoingConnection;
    if (Callbacks.Opened) {
      Callbacks.Opened(Handle, IsOutgoingConnection);
    }
  }

  void received(const connection_hdl &Connection, const std::string &Message) {
    const auto It = Handles.find(Connection);
    if (It != Handles.end() && Callbacks.Received) {
      Callbacks.Received(It->second, Message);
    }
  }

  void closed(const connection_hdl &Connection) {
    const auto It = Handles.find(Connection);
    if (It == Handles.end()) {
      return;
    }
    const auto Handle = It->second;
    Handles.erase(It);
    Connections.erase(Handle);
    IsOutgoing.erase(Handle);
    if (Callbacks.Closed) {
      Callbacks.Closed(Handle);
    }
  }

  template <typename Endpoint>
  bool sendThrough(Endpoint &SocketEndpoint, const connection_hdl &Connection,
                   const std::string &Message) {
    websocketpp::lib::error_code Failure;
    const auto Opened = SocketEndpoint.get_con_from_hdl(Connection, Failure);
    if (Failure || Opened->get_buffered_amount() > Limits.MaxQueuedBytes) {
      return false;
    }
    SocketEndpoint.send(Connection, Message, websocketpp::frame::opcode::binary,
                        Failure);
    return !Failure;
  }

  PeerCallbacks Callbacks;
  PeerLimits Limits;
  Server IncomingEndpoint;
  Client OutgoingEndpoint;
  bool HandlersSet = false;
  PeerHandle LastHandle = 0;
  std::map<connection_hdl, PeerHandle, std::owner_less<connection_hdl>> Handles;
  std::map<PeerHandle, connection_hdl> Connections;
  std::map<PeerHandle, bool> IsOutgoing;
};

PeerTransport::PeerTransport(boost::asio::io_context &Context,
                             PeerCallbacks Callbacks, PeerLimits Limits)
    : Impl{std::make_shared<State>(Context, std::move(Callbacks), Limits)} {}

PeerTransport::~PeerTransport() { Impl->stop(); }

std::uint16_t PeerTransport::listen(const std::string &Address,
                                    std::uint16_t Port) {
  return Impl->listen(Address, Port);
}

PeerHandle PeerTransport::connect(const std::string &Address,
                                  std::uint16_t Port) {
  return Impl->connect(Address, Port);
}

bool PeerTransport::send(PeerHandle To, const std::string &Message) {
  return Impl->send(To, Message);
}

void PeerTransport::close(PeerHandle Handle) { Impl->close(Handle); }

} // namespace goldcrestnotch
