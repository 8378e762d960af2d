/// @file
/// Keeps all VMs together within the rate limits that targets state: spreads
/// the limits among the VMs, requests permits from issuers and issues them.

#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include "goldcrestnotch/backend/target_set.hpp"
#include "goldcrestnotch/http/message.hpp"
#include "goldcrestnotch/ratelimit/message.hpp"
#include "goldcrestnotch/ratelimit/permit_issuer.hpp"
#include "goldcrestnotch/roster/homes.hpp"
#include "goldcrestnotch/telemetry/metrics.hpp"

namespace goldcrestnotch::ratelimit {

/// @brief One VM's part in limiting the requests to targets. A lost datagram
/// costs a permit and never adds one.
class Permits {
public:
  using Issuers = roster::Homes<TargetId>;

  /// @param Listen The local address, and the port that all VMs use.
  /// @param TargetIssuers The issuers of each target, as this VM sees them.
  /// @throws boost::system::system_error if the address can't be bound.
  Permits(boost::asio::io_context &Loop, const http::Endpoint &Listen,
          backend::TargetSet &Targets, Issuers &TargetIssuers,
          Metrics &Counters);

  /// @brief The port that the socket is bound to.
  [[nodiscard]] std::uint16_t port() const {
    return Socket.local_endpoint().port();
  }
  /// @brief Starts to receive messages.
  /// @param IssueFrom Before this instant this VM issues nothing, since it does
  /// not know the other VMs yet.
  void start(Instant IssueFrom);
  /// @brief Replaces the list of the other live VMs.
  /// @param Addresses IP addresses; those that can't be parsed are skipped.
  void updatePeers(const std::vector<std::string> &Addresses);

  /// @brief Obtains the right to send one request to a target with a limit.
  /// @param MaxWait Longest delay that the request bears. Zero asks one issuer,
  /// and after a refusal sets the target's `PermitRetry`.
  /// @return Whether the request may be sent, and after which delay.
  [[nodiscard]] Permit acquire(boost::asio::yield_context Yield,
                               backend::Target &Target, Millis MaxWait);
  /// @brief Takes what the head of a target's response states.
  /// @param Stated The limit, or nothing if the response states none.
  /// @param Sent When the request was sent; a limit that was learned later is
  /// not revoked by its response.
  void observe(backend::Target &Target, std::optional<RequestRate> Stated,
               Instant Sent);
  /// @brief Repeats the limits of the targets that this VM issues permits of,
  /// for VMs that have started or were cut off, and drops old schedules.
  void maintain(Instant Now);

private:
  /// @brief A request for a permit that has no response yet.
  struct PendingRequest {
    boost::asio::steady_timer Timer;
    std::optional<Permit> Result;
  };
  using UdpEndpoint = boost::asio::ip::udp::endpoint;

  void receive();
  void handle(const PermitRequest &Request);
  void handle(const PermitResponse &Response);
  void handle(const LimitNotice &Notice);
  void send(const Message &Content, const UdpEndpoint &To);
  void announce(const backend::Target &Target);
  /// @brief Whether this VM issues permits of a target.
  [[nodiscard]] bool issues(const TargetId &Name);
  [[nodiscard]] Permit issue(Instant Now, const TargetId &Name,
                             RequestRate Limit, Millis MaxWait);
  /// @brief Asks another VM for a permit.
  /// @return Nothing if it does not respond in time.
  [[nodiscard]] std::optional<Permit> ask(boost::asio::yield_context Yield,
                                          const std::string &ControlAddress,
                                          const TargetId &Name,
                                          RequestRate Limit, Millis MaxWait);
  /// @brief Sets or revokes the limit of a target, and logs the change.
  void apply(backend::Target &Target, std::optional<RequestRate> Limit,
             const char *Source);

  boost::asio::io_context &Loop;
  boost::asio::ip::udp::socket Socket;
  std::uint16_t Port;
  backend::TargetSet &Targets;
  Issuers &TargetIssuers;
  Metrics &Counters;
  PermitIssuer Issuer;
  std::vector<UdpEndpoint> Peers;
  std::map<std::uint64_t, PendingRequest *> Pending; ///< By nonce.
  /// Issuers that did not respond are not asked until then.
  std::map<std::string, Instant> SilentUntil;
  std::array<unsigned char, MaxMessageBytes> Incoming{};
  UdpEndpoint Sender;
  Instant IssueDeadline{}; ///< Nothing is issued before.
  Instant NextNotice{};
  std::mt19937_64 Random{std::random_device{}()};
};

} // namespace goldcrestnotch::ratelimit
