/// @file
/// Addresses of other VMs as endpoints for datagrams.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/ip/udp.hpp>

namespace goldcrestnotch::roster {

/// @brief Returns the endpoints at one port of several VMs.
/// @param Addresses IP addresses; those that can't be parsed are skipped.
[[nodiscard]] inline std::vector<boost::asio::ip::udp::endpoint>
udpEndpoints(const std::vector<std::string> &Addresses, std::uint16_t Port) {
  std::vector<boost::asio::ip::udp::endpoint> Result;
  Result.reserve(Addresses.size());
  for (const auto &Text : Addresses) {
    boost::system::error_code Failure;
    const auto Address = boost::asio::ip::make_address(Text, Failure);
    if (!Failure) {
      Result.emplace_back(Address, Port);
    }
  }
  return Result;
}

} // namespace goldcrestnotch::roster
