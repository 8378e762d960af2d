/// @file
/// The buffer that HTTP messages are parsed from.

#pragma once

#include <algorithm>
#include <cstddef>

#include <boost/beast/core/flat_buffer.hpp>

namespace goldcrestnotch::http {

/// @brief Received bytes that the parser has not consumed yet.
///
/// Body bytes are consumed as they arrive. Heads, chunk heads and trailer
/// sections are consumed as a whole, so the buffer bounds what a peer can make
/// this process hold by never ending one. A read beyond the bound fails with
/// `boost::beast::http::error::buffer_overflow`.
class ReadBuffer : public boost::beast::flat_buffer {
public:
  /// Lower limit of the bound. Chunk heads with their extensions and trailer
  /// sections of sound peers are far smaller.
  static constexpr std::size_t MinBound = 16U << 10U;

  /// @param MaxHeadBytes Largest head that the parser accepts.
  explicit ReadBuffer(std::size_t MaxHeadBytes = 0) { admit(MaxHeadBytes); }

  /// @brief Changes the bound, so that heads of a size fit.
  void admit(std::size_t MaxHeadBytes) noexcept {
    max_size(std::max({MinBound, MaxHeadBytes, size()}));
  }
};

} // namespace goldcrestnotch::http
