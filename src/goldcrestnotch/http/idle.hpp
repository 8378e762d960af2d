/// @file
/// Checks whether a connection may be used for another request.

#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include "goldcrestnotch/http/read_buffer.hpp"

namespace goldcrestnotch::http {

/// @brief Whether a connection is open and has no unread bytes. Bytes that came
/// without a request belong to no response.
template <typename Executor>
[[nodiscard]] bool
idle(boost::asio::basic_stream_socket<boost::asio::ip::tcp, Executor> &Socket,
     const ReadBuffer &Received) {
  char Byte = 0;
  boost::system::error_code Failure;
  Socket.non_blocking(true, Failure);
  if (Failure) {
    return false;
  }
  Socket.receive(boost::asio::buffer(&Byte, 1),
                 boost::asio::ip::tcp::socket::message_peek, Failure);
  return Failure == boost::asio::error::would_block && Received.size() == 0;
}

} // namespace goldcrestnotch::http
