/// @file
/// Connections to other VMs for loans, kept between calls.

#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/http/session.hpp"

namespace goldcrestnotch::escrow {

/// @brief Calls VMs over kept connections. One thread uses it.
class LoanLinks {
public:
  explicit LoanLinks(boost::asio::io_context &Loop) : Loop{Loop} {}

  /// @brief Sends a request and reads its whole answer.
  /// @throws Error whose verdict is `not-run` only if no byte was sent.
  [[nodiscard]] http::Response call(boost::asio::yield_context Yield,
                                    const std::string &Address,
                                    const http::Request &Asked);
  /// @brief Closes what has been idle too long.
  void expire(Instant Now);

private:
  struct Kept {
    std::unique_ptr<http::Session> Link;
    Instant IdleDeadline{};
  };

  boost::asio::io_context &Loop;
  std::map<std::string, std::deque<Kept>> Idle; ///< By address.
};

} // namespace goldcrestnotch::escrow
