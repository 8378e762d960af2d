/// @file
/// Opening and keeping connections.

#include "goldcrestnotch/proxy/link.hpp"

#include <algorithm>
#include <utility>

#include "goldcrestnotch/core/error.hpp"

namespace goldcrestnotch::proxy {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace internal {

/// Unanswered bytes end a connection after this: it has gone silent.
static constexpr int SilentMs = 3'000;
/// Idle links to one target beyond this many are closed.
static constexpr std::size_t MostIdle = 32;

} // namespace internal

bool Link::quiet() {
  auto &Raw = Socket.socket();
  char Byte = 0;
  boost::system::error_code Failure;
  Raw.non_blocking(true, Failure);
  if (Failure) {
    return false;
  }
  Raw.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Failure);
  return Failure == asio::error::would_block && Buffer.size() == 0;
}

std::shared_ptr<Link> LinkPool::take(Instant Now,
                                     const backend::Registration &To) {
  const auto It = Idle.find({To.Name, To.Incarnation});
  if (It == Idle.end()) {
    return nullptr;
  }
  while (!It->second.empty()) {
    auto Found = std::move(It->second.back());
    It->second.pop_back();
    if (Now < Found->ReuseDeadline && Found->quiet()) {
      return Found;
    }
  }
  return nullptr;
}

std::shared_ptr<Link> LinkPool::connect(asio::yield_context Yield,
                                        const backend::Registration &To,
                                        Instant Until) {
  auto Fresh = std::make_shared<Link>(Loop);
  boost::system::error_code Failure;
  const auto Address = asio::ip::make_address(To.Endpoint.Address, Failure);
  if (!Failure) {
    Fresh->Socket.expires_at(socketTime(Until));
    Fresh->Socket.async_connect(tcp::endpoint{Address, To.Endpoint.Port},
                                Yield[Failure]);
  }
  if (Failure) {
    throw Error{503, "target_unreachable",
                "cannot connect to " + To.Endpoint.str() + ": " +
                    Failure.message()};
  }
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  boost::system::error_code Ignored; // Only speeds up the loss of a peer.
  Fresh->Socket.socket().set_option(tcp::no_delay(true), Ignored);
  Fresh->Socket.socket().set_option(UserTimeout{internal::SilentMs}, Ignored);
  return Fresh;
}

void LinkPool::put(const backend::Registration &To,
                   std::shared_ptr<Link> Kept) {
  Kept->Socket.expires_never();
  auto &Row = Idle[{To.Name, To.Incarnation}];
  Row.push_back(std::move(Kept));
  if (Row.size() > internal::MostIdle) {
    Row.pop_front();
  }
}

void LinkPool::expire(Instant Now) {
  for (auto It = Idle.begin(); It != Idle.end();) {
    std::erase_if(It->second, [&](const std::shared_ptr<Link> &One) {
      return Now >= One->ReuseDeadline;
    });
    It = It->second.empty() ? Idle.erase(It) : std::next(It);
  }
}

} // namespace goldcrestnotch::proxy
