/// @file
/// Opens connections to targets for VMs that have lost their links to them, and
/// copies the bytes.

#pragma once

#include <cstddef>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/http/message.hpp"
#include "goldcrestnotch/proxy/target_paths.hpp"

namespace goldcrestnotch::proxy {

/// @brief Relays for other VMs, within limits: the VM's own callers come first.
class RelayListener {
public:
  /// A loop that is late by more has no room for requests of other VMs.
  static constexpr Millis MaxLoopDelay{150};

  /// @param MaxTunnels Largest number of connections that are relayed at a
  /// time.
  /// @throws boost::system::system_error if the address can't be bound.
  RelayListener(ProxyContext &Context, TargetPaths &Paths,
                const http::Endpoint &Where, std::size_t MaxTunnels);

  void start();
  [[nodiscard]] std::uint16_t port() const {
    return Acceptor.local_endpoint().port();
  }

  /// @brief Number of requests of other VMs that are served now.
  [[nodiscard]] std::size_t tunnels() const noexcept { return Tunnels; }

private:
  using ConnectionPointer = std::shared_ptr<TargetConnection>;

  void accept(boost::asio::yield_context Yield);
  void serve(const ConnectionPointer &Client, boost::asio::yield_context Yield);
  /// @brief Opens the connection that a VM asks for.
  /// @return The status of the answer; `Opened` is set if it is positive.
  [[nodiscard]] int connect(const ConnectionPointer &Client,
                            ConnectionPointer &Opened,
                            boost::asio::yield_context Yield);
  /// @brief Copies bytes until one side ends. A reset is passed on as one.
  void copy(const ConnectionPointer &From, const ConnectionPointer &To,
            boost::asio::yield_context Yield);

  ProxyContext &Context;
  TargetPaths &Paths;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::size_t MaxTunnels;
  std::size_t Tunnels = 0; ///< Clients that are served now.
};

} // namespace goldcrestnotch::proxy
